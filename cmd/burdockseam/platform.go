package main

// The platform's machines link Go programs against the C library, which takes a
// reference to it in the main package.

import "C"

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-logr/logr"

	"burdockseam/io/logs"
	"burdockseam/platform"
)

// runPlatform runs one instance on the users' platform. SIGHUP reads the settings again.
// Repeated signals during the shutdown change nothing; the platform ends the process.
func runPlatform(ctx context.Context, _ <-chan struct{}, c *platformCommand) error {
	path := c.Config
	if path == "" {
		path = os.Getenv(platform.SettingsVariable)
	}
	out, end := logs.NewBackgroundWriter(os.Stdout)
	defer end()
	log := logr.FromSlogHandler(logs.New(slog.NewJSONHandler(out, &slog.HandlerOptions{Level: logs.LevelRoutine}), logs.NewLimiter(logs.RequestLimit), time.Now))
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	reload := make(chan struct{}, 1)
	go func() {
		for range hangups {
			select {
			case reload <- struct{}{}:
			default: // one is waiting, and it reads the newest file
			}
		}
	}()
	return platform.Run(ctx, path, reload, log)
}
