// Command burdockload applies load to a deployment on loopback, injects one fault, and prints
// what it measured.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/go-logr/logr"

	"burdockseam/core/queue"
	"burdockseam/core/route"
	"burdockseam/io/fleet"
	"burdockseam/io/instance"
	"burdockseam/io/load"
)

// Exit codes.
const (
	exitViolation = 1 // a promise was broken
	exitUsage     = 2 // the arguments are wrong
	exitSetup     = 3 // the deployment did not start or did not recover
)

var errPromiseBroken = errors.New("a promise was broken: see the counts")

type runCommand struct {
	Deployment string        `arg:"--deployment" default:"saajghar" placeholder:"NAME" help:"saajghar or ensayo"`
	Scenario   string        `arg:"--scenario" default:"none" placeholder:"NAME" help:"the scenario with its fault; see --list"`
	Seconds    float64       `arg:"--seconds" default:"15" placeholder:"N" help:"seconds during which requests arrive"`
	Rate       float64       `arg:"--rate" default:"300" placeholder:"R" help:"requests per second, all teams together"`
	Seed       uint64        `arg:"--seed" default:"1" placeholder:"S" help:"seed of the schedule and the callers"`
	Lag        time.Duration `arg:"--lag" default:"5ms" placeholder:"D" help:"replica lag"`
	Exec       time.Duration `arg:"--exec" default:"2ms" placeholder:"D" help:"execution time of a statement"`
	Reads      string        `arg:"--reads" default:"session" placeholder:"MODE" help:"where reads may run: session, primary or any"`
	Queue      string        `arg:"--queue" default:"fair" placeholder:"POLICY" help:"queue policy: fair or fifo"`
	Acks       string        `arg:"--acks" default:"majority" placeholder:"RULE" help:"who must acknowledge a commit: majority or primary"`
	Processes  bool          `arg:"--processes" help:"run each instance in its own process; needs --binary"`
	Binary     string        `arg:"--binary" placeholder:"PATH" help:"burdockseam binary for --processes"`
	JSON       bool          `arg:"--json" help:"print the result as JSON"`
	SVG        string        `arg:"--svg" placeholder:"FILE" help:"write a plot over time"`
	List       bool          `arg:"--list" help:"list the scenarios"`
	Verbose    bool          `arg:"-v,--verbose" help:"write the instances' logs to standard error"`
}

type failoversCommand struct {
	Deployment string        `arg:"--deployment" default:"saajghar" placeholder:"NAME" help:"saajghar or ensayo"`
	Count      int           `arg:"--count" default:"30" placeholder:"N" help:"number of failovers"`
	Seed       uint64        `arg:"--seed" default:"1" placeholder:"S" help:"seed that chooses the times and the groups"`
	Lag        time.Duration `arg:"--lag" default:"5ms" placeholder:"D" help:"replica lag"`
	JSON       bool          `arg:"--json" help:"print the result as JSON"`
	Verbose    bool          `arg:"-v,--verbose" help:"write the instances' logs to standard error"`
}

type arguments struct {
	Run       *runCommand       `arg:"subcommand:run" help:"apply load with one fault"`
	Failovers *failoversCommand `arg:"subcommand:failovers" help:"cut off primaries one after the other, and measure for how long writes stop"`
}

// Version returns the text that --version prints.
func (arguments) Version() string { return "burdockload 0.1.0" }

// Epilogue returns the end of the help text.
func (arguments) Epilogue() string {
	return `Examples:
  burdockload run --list
  burdockload run --deployment ensayo --scenario primary-cut --seconds 15 --seed 1
  burdockload failovers --deployment saajghar --count 30

Exit status: 0 if every promise held, 1 if one was broken, 2 on wrong
arguments, 3 if the deployment did not start or did not recover.`
}

func main() {
	var args arguments
	parser, err := arg.NewParser(arg.Config{Exit: func(code int) {
		if code != 0 {
			code = exitUsage
		}
		os.Exit(code)
	}}, &args)
	if err != nil {
		fmt.Fprintln(os.Stderr, "burdockload:", err)
		os.Exit(exitSetup)
	}
	parser.MustParse(os.Args[1:])
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := exitUsage
	switch {
	case args.Run != nil:
		code = reportError(runLoad(ctx, args.Run, os.Stdout))
	case args.Failovers != nil:
		code = reportError(runFailovers(ctx, args.Failovers, os.Stdout))
	default:
		parser.WriteHelp(os.Stderr)
	}
	stop()
	os.Exit(code)
}

// usageError is an error in the arguments.
type usageError struct{ error }

// reportError prints the error of a command and returns its exit code.
func reportError(err error) int {
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, "burdockload:", err)
	var usage usageError
	switch {
	case errors.Is(err, errPromiseBroken):
		return exitViolation
	case errors.As(err, &usage):
		return exitUsage
	}
	return exitSetup
}

// runLoad runs a scenario and prints its result, or lists the scenarios.
func runLoad(ctx context.Context, c *runCommand, out io.Writer) error {
	if c.List {
		for _, s := range load.Scenarios {
			if _, err := fmt.Fprintf(out, "%-18s %s\n", s.Name, s.Fault); err != nil {
				return err
			}
		}
		return nil
	}
	o, err := loadOptions(c)
	if err != nil {
		return usageError{err}
	}
	res, err := load.Execute(ctx, o)
	if err != nil {
		return err
	}
	if err := print(c, res, out); err != nil {
		return err
	}
	if res.Violations() > 0 {
		return errPromiseBroken
	}
	return nil
}

// print writes the plot if it was asked for, and prints the result as JSON or text.
func print(c *runCommand, res load.Result, out io.Writer) error {
	if c.SVG != "" {
		file, err := os.Create(c.SVG)
		if err != nil {
			return err
		}
		if err := errors.Join(res.SVG(file), file.Close()); err != nil {
			return err
		}
	}
	if c.JSON {
		return writeJSON(out, res)
	}
	return res.WriteText(out)
}

func writeJSON(out io.Writer, v any) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// loadOptions validates the arguments and returns the options of the run.
func loadOptions(c *runCommand) (load.Options, error) {
	o := load.Options{
		Scenario: c.Scenario, Length: time.Duration(c.Seconds * float64(time.Second)), Rate: c.Rate, Seed: c.Seed,
		Lag: c.Lag, Exec: c.Exec, Queue: queue.Policy(c.Queue), Acks: instance.Acks(c.Acks), Binary: c.Binary, Log: newLogger(c.Verbose),
	}
	var ok bool
	if o.Deployment, ok = fleet.Deployments[fleet.DeploymentName(c.Deployment)]; !ok {
		return o, fmt.Errorf("unknown deployment %q: choose saajghar or ensayo", c.Deployment)
	}
	s, ok := load.FindScenario(c.Scenario)
	switch {
	case !ok:
		return o, fmt.Errorf("unknown scenario %q: see --list", c.Scenario)
	case c.Processes != (c.Binary != ""):
		return o, errors.New("--processes and --binary need each other")
	case s.Processes && !c.Processes:
		return o, fmt.Errorf("scenario %s needs --processes", s.Name)
	case s.InProcess && c.Processes:
		return o, fmt.Errorf("scenario %s cannot run with --processes", s.Name)
	case c.Seconds <= 0 || c.Rate <= 0:
		return o, errors.New("--seconds and --rate must be above 0")
	case o.Queue != queue.Fair && o.Queue != queue.FIFO:
		return o, fmt.Errorf("unknown queue policy %q: choose fair or fifo", c.Queue)
	case o.Acks != instance.AckMajority && o.Acks != instance.AckPrimary:
		return o, fmt.Errorf("unknown acknowledgement rule %q: choose majority or primary", c.Acks)
	}
	switch c.Reads {
	case "session":
	case string(route.ModePrimary), string(route.ModeAny):
		o.Reads = route.Mode(c.Reads)
	default:
		return o, fmt.Errorf("unknown read mode %q: choose session, primary or any", c.Reads)
	}
	return o, nil
}

// runFailovers runs failovers one after the other and prints their times.
func runFailovers(ctx context.Context, c *failoversCommand, out io.Writer) error {
	d, ok := fleet.Deployments[fleet.DeploymentName(c.Deployment)]
	if !ok {
		return usageError{fmt.Errorf("unknown deployment %q: choose saajghar or ensayo", c.Deployment)}
	}
	if c.Count < 1 {
		return usageError{errors.New("--count must be above 0")}
	}
	res, err := load.Failovers(ctx, load.FailoverOptions{Deployment: d, Count: c.Count, Seed: c.Seed, Lag: c.Lag, Log: newLogger(c.Verbose)})
	if err != nil {
		return err
	}
	if c.JSON {
		return writeJSON(out, res)
	}
	return res.WriteText(out)
}

func newLogger(verbose bool) logr.Logger {
	if !verbose {
		return logr.Discard()
	}
	return logr.FromSlogHandler(slog.NewTextHandler(os.Stderr, nil))
}
