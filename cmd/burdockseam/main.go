// Command burdockseam is the daemon of the proxy.
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
	exitFailed = 1 // the command failed, or the demo found a broken promise
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
	Demo     *demoCommand     `arg:"subcommand:demo" help:"run a whole deployment on loopback with stand-ins"`
}

// Version implements the --version option.
func (arguments) Version() string { return "burdockseam 0.1.0" }

// Epilogue implements the end of the help text.
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
	second := signals(stop)
	switch {
	case args.Serve != nil:
		err = serve(ctx, second, args.Serve)
	case args.Platform != nil:
		err = runPlatform(ctx, second, args.Platform)
	case args.Check != nil:
		err = check(args.Check, os.Stdout)
	case args.Demo != nil:
		err = demo(ctx, args.Demo, os.Stdout)
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

// signals ends the context at the first signal and closes the returned channel at
// the second. One handler counts both, so that none is taken for the other.
func signals(stop func()) <-chan struct{} {
	arrived := make(chan os.Signal, 2)
	signal.Notify(arrived, os.Interrupt, syscall.SIGTERM)
	second := make(chan struct{})
	go func() {
		<-arrived
		stop()
		<-arrived
		close(second)
	}()
	return second
}

// quietEvery is the time between two looks for log lines that were left out.
const quietEvery = 5 * time.Second

// logger returns the log on standard error, with repeated lines bounded. end waits for the last count of lines left out.
func logger(ctx context.Context) (log logr.Logger, end func()) {
	h := logs.New(slog.NewTextHandler(os.Stderr, nil), logs.NewLimiter(logs.DefaultLimit), time.Now)
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	done := make(chan struct{})
	go func() {
		defer close(done)
		// An error means that standard error is closed, so nobody can be told.
		_ = h.Run(ctx, quietEvery)
	}()
	return logr.FromSlogHandler(h), func() {
		cancel()
		<-done
	}
}
