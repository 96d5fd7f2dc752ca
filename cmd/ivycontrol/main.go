// Command ivycontrol runs the control process of a router fleet, and checks its configuration and settings files.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v3"

	"ivybank/config/validate"
	"ivybank/control"
	"ivybank/internal/process"
	"ivybank/settings"
)

func main() {
	process.Main(&cli.Command{
		Name:  "ivycontrol",
		Usage: "control process of a router fleet",
		Description: "The environment variable " + settings.PathEnvVar + " names the settings file; the default is " +
			settings.DefaultPath + ".",
		Commands: []*cli.Command{
			{Name: "serve", Usage: "run the control process", Action: process.Action(serve)},
			{Name: "check", Usage: "check a configuration", ArgsUsage: "FILE", Action: check},
			{Name: "status", Usage: "show the status of a control process", ArgsUsage: "ADDRESS", Action: status},
			{Name: "check-settings", Usage: "check a settings file", ArgsUsage: "FILE", Action: checkSettings},
		},
	})
}

func serve(ctx context.Context, s *settings.Settings, reloads <-chan *settings.Settings, log hclog.Logger) error {
	controlProcess, err := control.New(s, log)
	if err != nil {
		return err
	}
	return controlProcess.Run(ctx, reloads)
}

const statusTimeout = 3 * time.Second

var errNoFile = errors.New("expected exactly one argument: FILE")

// check validates a configuration file.
func check(_ context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return errNoFile
	}
	path := c.Args().First()
	body, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if _, err := new(validate.Validator).Parse(body); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	fmt.Println(path, "is valid")
	return nil
}

// status prints the status of a control process as JSON.
func status(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return errors.New("expected exactly one argument: ADDRESS as host:port")
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.Args().First()+"/v1/Status", nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.Copy(os.Stdout, response.Body)
	return err
}

// checkSettings validates a settings file.
func checkSettings(_ context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return errNoFile
	}
	path := c.Args().First()
	if _, err := settings.Load(path); err != nil {
		return err
	}
	fmt.Println(path, "is sound")
	return nil
}
