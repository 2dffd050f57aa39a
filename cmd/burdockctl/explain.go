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

// do reads the log files and prints what they say about the request.
func (c *explainCommand) do(s *session) error {
	var lines []explain.Line
	for _, name := range c.Files {
		list, skipped, err := readLog(name)
		if err != nil {
			return ctl.Error.Wrap(err)
		}
		if skipped > 0 {
			fmt.Fprintf(s.errOut, "burdockctl: warning: %s: %d lines are not log lines\n", name, skipped)
		}
		lines = append(lines, list...)
	}
	e, ok := explain.Explain(lines, c.ID)
	if !ok {
		return ctl.Error.New("no line has the id %s; a line that was left out is counted in the next one of its kind", c.ID)
	}
	return s.show(e, func(w io.Writer) error {
		if _, err := fmt.Fprintf(w, "cause: %s (code %q, ran %q)\n", e.Cause, e.Code, e.Ran); err != nil {
			return err
		}
		for _, l := range e.Lines {
			if _, err := fmt.Fprintln(w, l); err != nil {
				return err
			}
		}
		return nil
	})
}

func readLog(name string) ([]explain.Line, int, error) {
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
