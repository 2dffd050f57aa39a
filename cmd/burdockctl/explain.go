package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"burdockseam/core/explain"
	"burdockseam/io/ctl"
)

// run reads the log files and prints the cause and the log lines of the request.
func (c *explainCommand) run(inv *invocation) error {
	var lines []explain.Line
	for _, name := range c.Files {
		list, skipped, err := readLogFile(name)
		if err != nil {
			return ctl.Error.Wrap(err)
		}
		if skipped > 0 {
			fmt.Fprintf(inv.errOut, "burdockctl: warning: %s: %d lines are not log lines\n", name, skipped)
		}
		lines = append(lines, list...)
	}
	explanation, ok := explain.Explain(lines, c.ID)
	if !ok {
		return ctl.Error.New("no log line has the id %s; its lines may have been left out, and the next line of the same kind counts them", c.ID)
	}
	return inv.printValue(explanation, func(w io.Writer) error {
		if _, err := fmt.Fprintf(w, "cause: %s (code %q, ran %q)\n", explanation.Cause, explanation.Code, explanation.Ran); err != nil {
			return err
		}
		for _, l := range explanation.Lines {
			if _, err := fmt.Fprintln(w, l); err != nil {
				return err
			}
		}
		return nil
	})
}

// readLogFile reads the log lines of a file, or of standard input if the name is "-". It also
// returns the number of lines that are not log lines.
func readLogFile(name string) ([]explain.Line, int, error) {
	if name == "-" {
		return explain.Read(os.Stdin, "stdin")
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, 0, err
	}
	defer f.Close()
	return explain.Read(f, strings.TrimSuffix(filepath.Base(name), filepath.Ext(name)))
}
