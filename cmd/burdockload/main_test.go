package main

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"testing"

	"burdockseam/io/load"
)

// validRunCommand returns arguments that pass validation.
func validRunCommand() *runCommand {
	return &runCommand{
		Deployment: "ensayo", Scenario: "none", Seconds: 1, Rate: 1, Reads: "session", Queue: "fair", Acks: "majority",
	}
}

// Guards against invalid arguments that are accepted or give another exit status than
// exitUsage.
func TestInvalidArguments(t *testing.T) {
	if _, err := loadOptions(validRunCommand()); err != nil {
		t.Fatal(err)
	}
	for name, change := range map[string]func(*runCommand){
		"deployment":               func(c *runCommand) { c.Deployment = "other" },
		"scenario":                 func(c *runCommand) { c.Scenario = "other" },
		"seconds":                  func(c *runCommand) { c.Seconds = 0 },
		"rate":                     func(c *runCommand) { c.Rate = -1 },
		"reads":                    func(c *runCommand) { c.Reads = "other" },
		"queue":                    func(c *runCommand) { c.Queue = "other" },
		"acks":                     func(c *runCommand) { c.Acks = "other" },
		"processes without binary": func(c *runCommand) { c.Processes = true },
		"needs processes":          func(c *runCommand) { c.Scenario = "instance-paused" },
		"needs one process": func(c *runCommand) {
			c.Scenario, c.Processes, c.Binary = "region-cut", true, "burdockseam"
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := validRunCommand()
			change(c)
			if code := reportError(runLoad(context.Background(), c, &bytes.Buffer{})); code != exitUsage {
				t.Errorf("exit status %d, want %d", code, exitUsage)
			}
		})
	}
}

// Guards against exit codes that hide a broken promise or a failed start.
func TestExitCodes(t *testing.T) {
	for want, err := range map[int]error{0: nil, exitViolation: errPromiseBroken, exitSetup: errors.New("the deployment did not start")} {
		if got := reportError(err); got != want {
			t.Errorf("%v: exit status %d, want %d", err, got, want)
		}
	}
}

// Guards against a text that leaves out a promise, and against a plot with unescaped text.
func TestResultOutput(t *testing.T) {
	res := load.Result{Seconds: 1, BrokenPromises: map[load.Promise]int{load.LostWrites: 3}, Marks: []load.Mark{{Text: "a < b"}}, Series: make([]load.Point, 5)}
	var text, svg bytes.Buffer
	if err := errors.Join(res.WriteText(&text), res.SVG(&svg)); err != nil {
		t.Fatal(err)
	}
	for _, p := range load.Promises {
		if !strings.Contains(text.String(), string(p)) {
			t.Errorf("the text lacks %q", p)
		}
	}
	if !strings.Contains(svg.String(), "a &lt; b") || res.Violations() != 3 {
		t.Error("the plot lacks an escaped mark, or the violations are not summed")
	}
}
