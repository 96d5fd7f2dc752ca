// Package process is the common start of the fleet's programs: settings, log, signals and exit status.
package process

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v3"

	"ivybank/settings"
)

// exitUsage is the exit status after invalid settings or an invalid command line.
const exitUsage = 2

// Program runs until its context ends. It receives the settings that are loaded again after SIGHUP from reloads.
type Program func(ctx context.Context, s *settings.Settings, reloads <-chan *settings.Settings, log hclog.Logger) error

// Main runs a command line. On an error it prints one line to stderr and exits.
func Main(root *cli.Command) {
	if err := root.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", root.Name, err)
		os.Exit(exitUsage)
	}
}

// Action turns a program, which ends on SIGTERM or SIGINT, into the action of a command.
func Action(run Program) cli.ActionFunc {
	return func(ctx context.Context, _ *cli.Command) error {
		reloads := make(chan *settings.Settings, 1)
		hangup := make(chan os.Signal, 1)
		signal.Notify(hangup, syscall.SIGHUP)
		s, err := settings.Load(settings.Path())
		if err != nil {
			return err
		}
		log := hclog.New(&hclog.LoggerOptions{Name: s.NodeName, Level: hclog.Info, Output: os.Stderr})
		ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
		defer stop()
		go reload(ctx, hangup, reloads, log)
		return run(ctx, s, reloads, log)
	}
}

// reload loads the settings again at each SIGHUP. It logs a warning if they are invalid, and the old ones stay in use.
func reload(ctx context.Context, hangup <-chan os.Signal, reloads chan<- *settings.Settings, log hclog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		}
		s, err := settings.Load(settings.Path())
		if err != nil {
			log.Warn("settings not reloaded; the previous settings stay in use", "error", err)
			continue
		}
		select {
		case reloads <- s:
		default: // the program takes no new settings, or has some waiting
		}
	}
}
