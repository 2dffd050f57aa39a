package ctl

// The last windows of the usage reports.

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"burdockseam/core/usage"
)

// UsageReport is what the asked instances know about the last windows.
type UsageReport struct {
	Windows []usage.Summary `json:"windows"`
	// Errors says which instances did not answer, by address. Their windows may be missing.
	Errors map[string]string `json:"errors,omitempty"`
}

// Usage asks the operators' ports for the last windows. A window is known by the instance that
// reported it, so all instances should be given.
func (c *Client) Usage(ctx context.Context, limit int) (UsageReport, error) {
	if len(c.Operators) == 0 {
		return UsageReport{}, ErrUsage.New("the address of an operators' port is needed (--operator)")
	}
	out := UsageReport{Errors: make(map[string]string)}
	var errAll error
	var mu sync.Mutex
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentCalls)
	for _, address := range c.Operators {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			var s struct {
				Usage usage.Status `json:"usage"`
			}
			err := getJSON(ctx, address, "/status", &s)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				out.Errors[address] = err.Error()
				errAll = errors.Join(errAll, err)
				return
			}
			out.Windows = usage.MergeHistory(out.Windows, s.Usage.Windows, limit)
		})
	}
	wg.Wait()
	if len(out.Errors) == len(c.Operators) {
		return out, Error.Wrap(errAll)
	}
	return out, nil
}

// PrintUsage writes the windows, one per line, and the instances that did not answer.
func PrintUsage(w io.Writer, r UsageReport) error {
	rows := [][]string{{"WINDOW", "END", "REQUESTS", "TEAMS", "FROM", "LACKING", "HOLDER", "TOKEN", "OUTCOME", "AFTER"}}
	for _, s := range r.Windows {
		rows = append(rows, []string{
			formatUint(s.Window), s.End.Format(time.TimeOnly), formatUint(s.Requests), fmt.Sprint(s.Teams), fmt.Sprint(s.From), fmt.Sprint(s.Lacking),
			s.Holder, formatUint(s.Token), string(s.Outcome), fmt.Sprintf("%.1fs", s.After),
		})
	}
	for address, err := range r.Errors {
		rows = append(rows, []string{"no answer: " + address + ": " + err})
	}
	return writeTable(w, rows)
}
