package main

// This file holds the commands that print a snapshot and check whether a proxy would use it. They must not write one.

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"ivybank/balance"
	"ivybank/fleet/snapshot"
	"ivybank/fleet/warmstart"
)

func stateCommands() *cobra.Command {
	group := &cobra.Command{Use: "state", Short: "Inspect the snapshot that a proxy writes", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return fmt.Errorf("state: expected show or check") }}
	var asJSON bool
	show := &cobra.Command{Use: "show FILE", Short: "Print the content of a snapshot; the file is only read",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			m, err := readState(args[0])
			if err != nil {
				return err
			}
			if asJSON {
				e := json.NewEncoder(c.OutOrStdout())
				e.SetIndent("", " ")
				return e.Encode(m)
			}
			return showState(c.OutOrStdout(), &m)
		}}
	show.Flags().BoolVar(&asJSON, "json", false, "print everything, as JSON")
	check := &cobra.Command{Use: "check FILE", Short: "Check whether a snapshot is intact, and print its age",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			m, err := readState(args[0])
			if err != nil {
				return err
			}
			age, valid := m.Age(warmstart.Clocks{WallTime: time.Now().UnixNano()})
			if !valid {
				return exitError{fmt.Errorf("%s: written %.1f s in the future: a proxy starts without it", args[0],
					float64(m.WallTime-time.Now().UnixNano())/1e9), 1}
			}
			fmt.Fprintf(c.OutOrStdout(), "%s: intact, written by %s, %.1f s old by the wall clock\n",
				args[0], m.Proxy, float64(age)/1e9)
			return nil
		}}
	group.AddCommand(show, check)
	return group
}

func readState(path string) (warmstart.Snapshot, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return warmstart.Snapshot{}, err
	}
	m, err := snapshot.Decode(b)
	if err != nil {
		return m, exitError{fmt.Errorf("%s: %w: a proxy starts without it", path, err), 1}
	}
	return m, nil
}

func showState(w io.Writer, m *warmstart.Snapshot) error {
	fmt.Fprintf(w, "snapshot %d of %s, life %d, written %s, %d servers in its host list of generation %d\n",
		m.Number, m.Proxy, m.Incarnation, time.Unix(0, m.WallTime).UTC().Format(time.RFC3339Nano), len(m.List.Hosts), m.List.Generation)
	fmt.Fprintf(w, "%.1f responses per second, service %.3f, %d popular keys, %d hosts taken out of use by operators\n",
		m.Balancer.Rate, m.Service, len(m.Balancer.Keys), len(m.Holds.Hosts))
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "SERVER\tLISTED AS\tHEALTH\tSTREAK\tOUT FOR\tEJECTIONS\tANSWER\tLAST MET")
	states := map[string]balance.State{}
	for _, h := range m.List.Hosts {
		states[h.ID] = h.State
	}
	for _, s := range m.Balancer.Servers {
		ejectedFor, lastOutcome := "-", "never"
		if s.EjectionLeft > 0 {
			ejectedFor = time.Duration(s.EjectionLeft).Round(time.Millisecond).String()
		}
		if s.LastOutcomeAge >= 0 {
			lastOutcome = time.Duration(s.LastOutcomeAge).Round(time.Millisecond).String()
		}
		fmt.Fprintf(t, "%s\t%s\t%.2f\t%d\t%s\t%d\t%s\t%s\n", s.ID,
			[...]string{"ready", "draining", "gone"}[states[s.ID]], s.Health, s.Streak, ejectedFor, s.Ejections,
			time.Duration(s.Latency).Round(100*time.Microsecond), lastOutcome)
	}
	return t.Flush()
}
