// Command ivyfleet runs the processes of the router machines of a fleet.
package main

import (
	"context"

	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v3"

	"ivybank/agent"
	"ivybank/internal/process"
	"ivybank/router"
	"ivybank/settings"
)

func main() {
	process.Main(&cli.Command{
		Name:  "ivyfleet",
		Usage: "run the processes of the router machines of a fleet",
		Description: "The environment variable " + settings.PathEnvVar + " holds the path of the settings file; the default is " +
			settings.DefaultPath + ".",
		Commands: []*cli.Command{
			{Name: "router", Usage: "serve client requests", Action: process.Action(runRouter)},
			{Name: "agent", Usage: "keep the connections to the control processes for the router of this machine",
				Action: process.Action(runAgent)},
		},
	})
}

func runRouter(ctx context.Context, s *settings.Settings, _ <-chan *settings.Settings, log hclog.Logger) error {
	return router.New(s, log).Run(ctx)
}

func runAgent(ctx context.Context, s *settings.Settings, reloads <-chan *settings.Settings, log hclog.Logger) error {
	return agent.NewProcess(s, log).Run(ctx, reloads)
}
