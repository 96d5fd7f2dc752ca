package main

// This file owns the commands that show a snapshot and say what a proxy would believe of it. They must never write one.

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
	group := &cobra.Command{Use: "state", Short: "Look at the snapshot that a proxy keeps", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return fmt.Errorf("state: expected show or check") }}
	var whole bool
	show := &cobra.Command{Use: "show FILE", Short: "Print what a snapshot holds; the file is only read", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			m, err := readState(args[0])
			if err != nil {
				return err
			}
			if whole {
				e := json.NewEncoder(c.OutOrStdout())
				e.SetIndent("", " ")
				return e.Encode(m)
			}
			return showState(c.OutOrStdout(), &m)
		}}
	show.Flags().BoolVar(&whole, "json", false, "all of it, as JSON")
	check := &cobra.Command{Use: "check FILE", Short: "Say whether a snapshot is whole, and how old", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			m, err := readState(args[0])
			if err != nil {
				return err
			}
			age, sound := m.Age(warmstart.Clocks{WallTime: time.Now().UnixNano()})
			if !sound {
				return status{fmt.Errorf("%s: from the future by %.1f s: a proxy starts without it", args[0], float64(m.WallTime-time.Now().UnixNano())/1e9), 1}
			}
			fmt.Fprintf(c.OutOrStdout(), "%s: whole, of %s, %.1f s old by the clock of the day\n", args[0], m.Proxy, float64(age)/1e9)
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
		return m, status{fmt.Errorf("%s: %w: a proxy starts without it", path, err), 1}
	}
	return m, nil
}

func showState(w io.Writer, m *warmstart.Snapshot) error {
	fmt.Fprintf(w, "snapshot %d of %s, life %d, written %s, %d servers on its list of generation %d\n", m.Number, m.Proxy, m.Incarnation,
		time.Unix(0, m.WallTime).UTC().Format(time.RFC3339Nano), len(m.List.Hosts), m.List.Generation)
	fmt.Fprintf(w, "%.1f answers a second, service %.3f, %d popular keys, %d hosts by hand\n", m.Balancer.Rate, m.Service, len(m.Balancer.Keys), len(m.Holds.Hosts))
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "SERVER\tLISTED AS\tHEALTH\tSTREAK\tOUT FOR\tEJECTIONS\tANSWER\tLAST MET")
	states := map[string]balance.State{}
	for _, h := range m.List.Hosts {
		states[h.ID] = h.State
	}
	for _, l := range m.Balancer.Servers {
		out, met := "-", "never"
		if l.EjectionLeft > 0 {
			out = time.Duration(l.EjectionLeft).Round(time.Millisecond).String()
		}
		if l.LastOutcomeAge >= 0 {
			met = time.Duration(l.LastOutcomeAge).Round(time.Millisecond).String()
		}
		fmt.Fprintf(t, "%s\t%s\t%.2f\t%d\t%s\t%d\t%s\t%s\n", l.ID, [...]string{"ready", "draining", "gone"}[states[l.ID]], l.Health, l.Streak, out, l.Ejections,
			time.Duration(l.Latency).Round(100*time.Microsecond), met)
	}
	return t.Flush()
}
