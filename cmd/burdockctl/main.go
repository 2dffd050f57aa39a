// Command burdockctl is the operators' client.
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
	exitOK         = 0
	exitFailed     = 1 // the command failed
	exitUsage      = 2 // the arguments or the settings are wrong
	exitConflict   = 3 // another operator changed the same files
	exitInvalid    = 4 // the configuration has faults; nothing was applied
	exitNotInForce = 5 // accepted, but not reported by every instance in time
	exitUnknown    = 6 // whether the change was accepted is not known
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
	if err := a.complete(); err != nil {
		fmt.Fprintln(errOut, "burdockctl:", err)
		return exitUsage
	}
	ctx, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	client, end := a.client()
	defer end()
	err = command.do(&session{ctx: ctx, client: client, out: out, errOut: errOut, json: a.JSON})
	if err != nil {
		fmt.Fprintln(errOut, "burdockctl:", err)
	}
	return exitCode(err)
}

func exitCode(err error) int {
	var conflict config.ConflictError
	var faults config.FaultsError
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, config.ErrOutcomeUnknown):
		return exitUnknown
	case errors.As(err, &conflict):
		return exitConflict
	case errors.As(err, &faults):
		return exitInvalid
	case ctl.NotInForce.Has(err):
		return exitNotInForce
	case ctl.Usage.Has(err):
		return exitUsage
	}
	return exitFailed
}
