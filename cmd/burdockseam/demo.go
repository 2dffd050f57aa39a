package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/go-logr/logr"

	"burdockseam/io/fleet"
)

// replicaLag is the replication delay of the demo's replicas.
const replicaLag = 5 * time.Millisecond

var errPromiseBroken = errors.New("a promise was broken: see lost, doubled and stale")

// runDemo starts a deployment. It then runs the workload for the given time, or waits for a
// signal if there is no time given.
func runDemo(ctx context.Context, c *demoCommand, out io.Writer) error {
	d, ok := fleet.Deployments[fleet.DeploymentName(c.Deployment)]
	if !ok {
		return fmt.Errorf("unknown deployment %q: choose saajghar or ensayo", c.Deployment)
	}
	log := logr.Discard()
	if c.Verbose {
		var closeLog func()
		log, closeLog = newLogger(ctx)
		defer closeLog()
	}
	f, err := fleet.Start(ctx, d, fleet.Options{Log: log, ReplicaLag: replicaLag})
	if err != nil {
		return err
	}
	defer f.Close()
	startCtx, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	if err := f.WaitReady(startCtx); err != nil {
		return err
	}
	if err := f.PrintAddresses(out); err != nil {
		return err
	}
	if c.Seconds <= 0 {
		<-ctx.Done()
		return nil
	}
	counts, err := f.Demo(ctx, time.Duration(c.Seconds)*time.Second, out)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintln(out, counts); err != nil {
		return err
	}
	if counts.Violated() {
		return errPromiseBroken
	}
	return nil
}
