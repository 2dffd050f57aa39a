package main

// The platform's machines link Go programs against the C library. The import of "C" makes
// the main package refer to that library.

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

// runPlatform runs one instance on the users' platform. SIGHUP makes the instance read its
// settings again. A second signal during the shutdown has no effect, since the platform
// itself ends the process.
func runPlatform(ctx context.Context, _ <-chan struct{}, c *platformCommand) error {
	path := c.Config
	if path == "" {
		path = os.Getenv(platform.SettingsVariable)
	}
	out, closeOut := logs.NewBackgroundWriter(os.Stdout)
	defer closeOut()
	log := logr.FromSlogHandler(logs.New(slog.NewJSONHandler(out, &slog.HandlerOptions{Level: logs.LevelRoutine}), logs.NewLimiter(logs.RequestLimit), time.Now))
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	reload := make(chan struct{}, 1)
	go func() {
		for range hangups {
			select {
			case reload <- struct{}{}:
			default: // a reload is pending, and it will read the newest settings
			}
		}
	}()
	return platform.Run(ctx, path, reload, log)
}
