package main

// This file owns the commands on plans by which servers go out for work: each is one call at a proxy's door. They must never decide what
// a plan may do.

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
	group := &cobra.Command{Use: "plan", Short: "Take servers out for work by a plan that the proxies carry through among themselves", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return errors.New("plan: expected check, submit, show, pause, resume, abandon or done")
		}}
	var door string
	group.PersistentFlags().StringVar(&door, "door", os.Getenv("GW_ADMIN_ADDR"), "the door of any proxy, address:port")
	check := &cobra.Command{Use: "check FILE", Short: "Check a plan's file", Args: cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
		_, _, err := readPlan(args[0])
		if err == nil {
			fmt.Fprintf(c.OutOrStdout(), "%s: a sound plan\n", args[0])
		}
		return err
	}}
	submit := &cobra.Command{Use: "submit FILE", Short: "Hand a plan in; handed in twice it is one", Args: cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
		p, text, err := readPlan(args[0])
		if err != nil {
			return err
		}
		return put(c.OutOrStdout(), door, "/plans/"+url.PathEscape(p.ID), text)
	}}
	var whole bool
	show := &cobra.Command{Use: "show [ID]", Short: "Print where all plans stand, or one", Args: cobra.MaximumNArgs(1), RunE: func(c *cobra.Command, args []string) error {
		path := "/plans"
		if len(args) > 0 {
			path += "/" + url.PathEscape(args[0])
		}
		text, err := knockAt(http.MethodGet, door, path, nil)
		if err != nil {
			return err
		}
		if whole {
			_, err = c.OutOrStdout().Write(text)
			return err
		}
		return showPlans(c.OutOrStdout(), text)
	}}
	show.Flags().BoolVar(&whole, "json", false, "all of it, as JSON")
	group.AddCommand(check, submit, show)
	for verb, what := range map[string]string{"pause": "Begin nothing new; what is out goes on", "resume": "Go on with a plan that is paused", "abandon": "Begin nothing new for good; what is out comes back"} {
		group.AddCommand(&cobra.Command{Use: verb + " ID", Short: what, Args: cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
			return put(c.OutOrStdout(), door, "/plans/"+url.PathEscape(args[0])+"/"+verb, nil)
		}})
	}
	group.AddCommand(&cobra.Command{Use: "done ID SERVER", Short: "Say that the work at a server is done", Args: cobra.ExactArgs(2), RunE: func(c *cobra.Command, args []string) error {
		return put(c.OutOrStdout(), door, "/plans/"+url.PathEscape(args[0])+"/done/"+url.PathEscape(args[1]), nil)
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

// knockAt makes one call at a door.
func knockAt(method, door, path string, body []byte) ([]byte, error) {
	if door == "" {
		return nil, errors.New("--door: expected the address of a proxy's door")
	}
	q, err := http.NewRequest(method, "http://"+door+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	a, err := (&http.Client{Timeout: 2 * time.Second}).Do(q)
	if err != nil {
		return nil, status{err, 1}
	}
	defer a.Body.Close()
	text, err := io.ReadAll(a.Body)
	if err == nil && a.StatusCode >= 300 {
		err = errors.New(strings.TrimSpace(string(text)))
	}
	if err != nil {
		return nil, status{err, 1}
	}
	return text, nil
}

func put(w io.Writer, door, path string, body []byte) error {
	text, err := knockAt(http.MethodPut, door, path, body)
	if err == nil {
		_, err = w.Write(text)
	}
	return err
}

// showPlans prints a table.
func showPlans(w io.Writer, text []byte) error {
	var all []planexec.Status
	if err := json.Unmarshal(text, &all); err != nil {
		return status{err, 1}
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, p := range all {
		leads := fmt.Sprintf("member %d leads", p.Leader)
		if p.Leader < 0 {
			leads = "nobody is known to lead: nothing new goes out"
		}
		fmt.Fprintf(t, "%s\t%s %s\t%s\n", p.Plan, p.State, p.Reason, leads)
		for _, s := range p.Steps {
			fmt.Fprintf(t, "  %s\t%s %s\t%s\n", s.Server, s.Phase, s.Note, strings.Join(s.WaitingFor, "; "))
		}
	}
	return t.Flush()
}
