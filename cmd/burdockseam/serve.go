package main

import (
	"context"

	"burdockseam/io/instance"
)

// runServe runs one instance. The first signal starts a graceful shutdown, and the second
// ends the instance at once.
func runServe(ctx context.Context, secondSignal <-chan struct{}, c *serveCommand) error {
	settings, err := instance.ReadSettings(c.Config)
	if err != nil {
		return err
	}
	log, closeLog := newLogger(ctx)
	defer closeLog()
	inst, err := instance.New(settings, log)
	if err != nil {
		return err
	}
	s := inst.Settings()
	log.Info("instance: started", "instance", s.Name, "domain", s.Domain, "callers", s.Listen, "peer", s.Peer, "operator", s.Operator)
	go func() {
		<-secondSignal
		log.Info("shutdown: ended by a second signal", "cut", inst.Running())
		inst.Kill()
	}()
	return inst.Run(ctx)
}
