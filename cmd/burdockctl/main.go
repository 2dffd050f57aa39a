// Command burdockctl lets operators change the configuration of a fleet and see its state.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"burdockseam/core/config"
	"burdockseam/io/ctl"
)

// Exit codes.
const (
	exitOK             = 0
	exitFailed         = 1 // the command failed
	exitUsage          = 2 // the arguments or the settings are wrong
	exitConflict       = 3 // another operator has changed the same files
	exitInvalid        = 4 // the configuration has faults; nothing was applied
	exitNotInForce     = 5 // the change was accepted, but not every instance reported it in time
	exitOutcomeUnknown = 6 // the change may or may not have been accepted
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run executes one command and returns its exit code.
func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	var a arguments
	parser, err := arg.NewParser(arg.Config{Program: "burdockctl", Out: errOut, Exit: func(int) {}}, &a)
	if err != nil {
		fmt.Fprintln(errOut, "burdockctl:", err)
		return exitFailed
	}
	switch err := parser.Parse(args); {
	case errors.Is(err, arg.ErrHelp):
		if err := parser.WriteHelpForSubcommand(out, parser.SubcommandNames()...); err != nil {
			return exitFailed
		}
		return exitOK
	case errors.Is(err, arg.ErrVersion):
		fmt.Fprintln(out, a.Version())
		return exitOK
	case err != nil:
		fmt.Fprintln(errOut, "burdockctl:", err)
		return exitUsage
	}
	command, ok := parser.Subcommand().(command)
	if !ok {
		if err := parser.WriteHelpForSubcommand(errOut, parser.SubcommandNames()...); err != nil {
			return exitFailed
		}
		return exitUsage
	}
	if err := a.resolve(); err != nil {
		fmt.Fprintln(errOut, "burdockctl:", err)
		return exitUsage
	}
	ctx, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	client, closeClient := a.newClient()
	defer closeClient()
	err = command.run(&invocation{ctx: ctx, client: client, out: out, errOut: errOut, json: a.JSON})
	if err != nil {
		fmt.Fprintln(errOut, "burdockctl:", err)
	}
	return exitCode(err)
}

// exitCode returns the exit code for the error of a command.
func exitCode(err error) int {
	var conflict config.ConflictError
	var faults config.FaultsError
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, config.ErrOutcomeUnknown):
		return exitOutcomeUnknown
	case errors.As(err, &conflict):
		return exitConflict
	case errors.As(err, &faults):
		return exitInvalid
	case ctl.ErrNotInForce.Has(err):
		return exitNotInForce
	case ctl.ErrUsage.Has(err):
		return exitUsage
	}
	return exitFailed
}
