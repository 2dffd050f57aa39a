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

// replicaLag is the lag of the demo's replicas.
const replicaLag = 5 * time.Millisecond

var errBroken = errors.New("a promise was broken: see lost, doubled and stale")

// demo runs a deployment until a signal, or the workload for some seconds.
func demo(ctx context.Context, c *demoCommand, out io.Writer) error {
	d, ok := fleet.Deployments[fleet.DeploymentName(c.Deployment)]
	if !ok {
		return fmt.Errorf("no deployment %q: choose saajghar or ensayo", c.Deployment)
	}
	log := logr.Discard()
	if c.Verbose {
		var end func()
		log, end = logger(ctx)
		defer end()
	}
	f, err := fleet.Start(ctx, d, fleet.Options{Log: log, ReplicaLag: replicaLag})
	if err != nil {
		return err
	}
	defer f.Close()
	ready, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	if err := f.WaitReady(ready); err != nil {
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
		return errBroken
	}
	return nil
}
