// Command burdockseam is the proxy daemon. It also validates configuration folders and runs
// demonstration deployments.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/go-logr/logr"

	"burdockseam/io/logs"
)

// Exit codes.
const (
	exitFailed = 1 // the command failed, or the demo saw a broken promise
	exitUsage  = 2 // the arguments are wrong
)

type serveCommand struct {
	Config string `arg:"--config,required" placeholder:"FILE" help:"settings of this instance (INI)"`
}

type checkCommand struct {
	Dir  string `arg:"positional,required" placeholder:"DIR" help:"configuration folder"`
	JSON bool   `arg:"--json" help:"print the merged configuration as JSON"`
}

type demoCommand struct {
	Deployment string `arg:"--deployment" default:"saajghar" placeholder:"NAME" help:"saajghar or ensayo"`
	Seconds    int    `arg:"--seconds" placeholder:"N" help:"run the booking workload with faults for N seconds"`
	Verbose    bool   `arg:"-v,--verbose" help:"write the instances' logs to standard error"`
}

type platformCommand struct {
	Config string `arg:"--config" placeholder:"FILE" help:"settings of this instance (INI); by default the file that the platform names in the environment"`
}

type arguments struct {
	Serve    *serveCommand    `arg:"subcommand:serve" help:"run one instance"`
	Platform *platformCommand `arg:"subcommand:platform" help:"run one instance on the users' platform"`
	Check    *checkCommand    `arg:"subcommand:check" help:"validate a configuration folder and print the merged result"`
	Demo     *demoCommand     `arg:"subcommand:demo" help:"run a whole deployment on loopback, with stand-ins for the upstreams and the store"`
}

// Version returns the text that --version prints.
func (arguments) Version() string { return "burdockseam 0.1.0" }

// Epilogue returns the end of the help text.
func (arguments) Epilogue() string {
	return `Examples:
  burdockseam demo --deployment ensayo
  burdockseam demo --seconds 10
  burdockseam check ./config
  burdockseam serve --config /etc/burdockseam.ini

Exit status: 0 on success, 1 on failure, 2 on wrong arguments.`
}

func main() {
	var args arguments
	parser, err := arg.NewParser(arg.Config{Exit: os.Exit}, &args)
	if err != nil {
		fmt.Fprintln(os.Stderr, "burdockseam:", err)
		os.Exit(exitFailed)
	}
	parser.MustParse(os.Args[1:])
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	secondSignal := handleSignals(stop)
	switch {
	case args.Serve != nil:
		err = runServe(ctx, secondSignal, args.Serve)
	case args.Platform != nil:
		err = runPlatform(ctx, secondSignal, args.Platform)
	case args.Check != nil:
		err = runCheck(args.Check, os.Stdout)
	case args.Demo != nil:
		err = runDemo(ctx, args.Demo, os.Stdout)
	default:
		parser.WriteHelp(os.Stderr)
		stop()
		os.Exit(exitUsage)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "burdockseam:", err)
		stop()
		os.Exit(exitFailed)
	}
}

// handleSignals calls stop at the first SIGINT or SIGTERM and closes the returned channel
// at the second. A single goroutine counts the signals, so that the first cannot be taken
// for the second.
func handleSignals(stop func()) <-chan struct{} {
	received := make(chan os.Signal, 2)
	signal.Notify(received, os.Interrupt, syscall.SIGTERM)
	second := make(chan struct{})
	go func() {
		<-received
		stop()
		<-received
		close(second)
	}()
	return second
}

// logFlushInterval is the time between two reports of how many repeated log lines were
// left out.
const logFlushInterval = 5 * time.Second

// newLogger returns a logger that writes to standard error and limits repeated lines. closeLog
// writes the last counts of lines that were left out.
func newLogger(ctx context.Context) (log logr.Logger, closeLog func()) {
	h := logs.New(slog.NewTextHandler(os.Stderr, nil), logs.NewLimiter(logs.DefaultLimit), time.Now)
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	done := make(chan struct{})
	go func() {
		defer close(done)
		// An error means that standard error is closed, so it cannot be reported.
		_ = h.Run(ctx, logFlushInterval)
	}()
	return logr.FromSlogHandler(h), func() {
		cancel()
		<-done
	}
}
