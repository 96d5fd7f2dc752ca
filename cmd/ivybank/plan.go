package main

// This file holds the commands for maintenance plans. Each makes one call to a proxy's admin address. They must not
// decide what a plan may do.

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"ivybank/fleet/plan"
	"ivybank/fleet/planexec"
)

func planCommands() *cobra.Command {
	group := &cobra.Command{Use: "plan",
		Short: "Take servers out of use for maintenance with a plan that the proxies carry out among themselves",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return errors.New("plan: expected check, submit, show, pause, resume, abandon or done")
		}}
	var admin string
	group.PersistentFlags().StringVar(&admin, "door", os.Getenv("GW_ADMIN_ADDR"),
		"the admin address of any proxy, address:port")
	check := &cobra.Command{Use: "check FILE", Short: "Check the file of a plan", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			_, _, err := readPlan(args[0])
			if err == nil {
				fmt.Fprintf(c.OutOrStdout(), "%s: a valid plan\n", args[0])
			}
			return err
		}}
	submit := &cobra.Command{Use: "submit FILE", Short: "Submit a plan; submitting it twice has no further effect",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			p, text, err := readPlan(args[0])
			if err != nil {
				return err
			}
			return putAdmin(c.OutOrStdout(), admin, "/plans/"+url.PathEscape(p.ID), text)
		}}
	var asJSON bool
	show := &cobra.Command{Use: "show [ID]", Short: "Print the status of all plans, or of one", Args: cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			path := "/plans"
			if len(args) > 0 {
				path += "/" + url.PathEscape(args[0])
			}
			text, err := callAdmin(http.MethodGet, admin, path, nil)
			if err != nil {
				return err
			}
			if asJSON {
				_, err = c.OutOrStdout().Write(text)
				return err
			}
			return showPlans(c.OutOrStdout(), text)
		}}
	show.Flags().BoolVar(&asJSON, "json", false, "print everything, as JSON")
	group.AddCommand(check, submit, show)
	for verb, short := range map[string]string{"pause": "Take no further servers out; work on those that are out goes on",
		"resume": "Resume a paused plan", "abandon": "End a plan for good; servers that are out come back"} {
		group.AddCommand(&cobra.Command{Use: verb + " ID", Short: short, Args: cobra.ExactArgs(1),
			RunE: func(c *cobra.Command, args []string) error {
				return putAdmin(c.OutOrStdout(), admin, "/plans/"+url.PathEscape(args[0])+"/"+verb, nil)
			}})
	}
	group.AddCommand(&cobra.Command{Use: "done ID SERVER", Short: "Report that the work on a server is done",
		Args: cobra.ExactArgs(2), RunE: func(c *cobra.Command, args []string) error {
			return putAdmin(c.OutOrStdout(), admin, "/plans/"+url.PathEscape(args[0])+"/done/"+url.PathEscape(args[1]), nil)
		}})
	return group
}

func readPlan(path string) (*plan.Plan, []byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	p, err := plan.Read(path, text)
	return p, text, err
}

// callAdmin makes one call to the admin address of a proxy and returns the body of the response. A call that fails is
// an exitError with status 1.
func callAdmin(method, admin, path string, body []byte) ([]byte, error) {
	if admin == "" {
		return nil, errors.New("--door: expected the admin address of a proxy")
	}
	request, err := http.NewRequest(method, "http://"+admin+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	response, err := (&http.Client{Timeout: 2 * time.Second}).Do(request)
	if err != nil {
		return nil, exitError{err, 1}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode >= 300 {
		err = errors.New(strings.TrimSpace(string(text)))
	}
	if err != nil {
		return nil, exitError{err, 1}
	}
	return text, nil
}

func putAdmin(w io.Writer, admin, path string, body []byte) error {
	text, err := callAdmin(http.MethodPut, admin, path, body)
	if err == nil {
		_, err = w.Write(text)
	}
	return err
}

// showPlans prints plans and their steps as a table.
func showPlans(w io.Writer, text []byte) error {
	var all []planexec.Status
	if err := json.Unmarshal(text, &all); err != nil {
		return exitError{err, 1}
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, p := range all {
		leader := fmt.Sprintf("member %d leads", p.Leader)
		if p.Leader < 0 {
			leader = "no leader is known: no further servers are taken out"
		}
		fmt.Fprintf(t, "%s\t%s %s\t%s\n", p.Plan, p.State, p.Reason, leader)
		for _, s := range p.Steps {
			fmt.Fprintf(t, "  %s\t%s %s\t%s\n", s.Server, s.Phase, s.Note, strings.Join(s.WaitingFor, "; "))
		}
	}
	return t.Flush()
}
