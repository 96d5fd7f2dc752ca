package main

// This file owns the command line beside serving: files to check, and the laboratory. It must never start a proxy by itself.

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime/debug"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"ivybank/conf"
	"ivybank/fleet/charter"
	"ivybank/rehearse/lab"
)

// status is an error with the exit status that it ends the program with.
type status struct {
	error
	code int
}

// commands is the command line. Without a command it serves, as it always has.
func commands() *cobra.Command {
	root := &cobra.Command{Use: "ivybank", Short: "A client proxy and load balancer beside every client process",
		Long: "ivybank takes the reqs of the application beside it and decides alone which server each goes to.\nWithout a command it serves.",
		Args: cobra.NoArgs, SilenceErrors: true, SilenceUsage: true,
		RunE: func(*cobra.Command, []string) error { return serve("") }}
	root.CompletionOptions.DisableDefaultCmd = true
	var operator string
	one := &cobra.Command{Use: "serve", Short: "Serve by the configuration that GW_CONFIG names", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return serve(operator) }}
	one.Flags().StringVar(&operator, "operator", "", "an operator file to put in force, see deploy/operator.toml")
	check := &cobra.Command{Use: "check FILE...",
		Short: "Check an operator file, an experiment, a configuration, or a charter's files together",
		Args:  cobra.MinimumNArgs(1), RunE: func(c *cobra.Command, args []string) error {
			var files []*charter.File
			for _, path := range args {
				kind, file, err := checked(path)
				if err != nil {
					return err
				}
				if file != nil {
					files = append(files, file)
					continue
				}
				fmt.Fprintf(c.OutOrStdout(), "%s: a sound %s\n", path, kind)
			}
			return checkCharter(c.OutOrStdout(), files, time.Now().UnixNano())
		}}
	root.AddCommand(one, check, labCommands(), ledgerCommand(), stateCommands(), planCommands())
	return root
}

// checked loads a file as what it says it is; one of a charter is for the caller to merge.
func checked(path string) (string, *charter.File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", nil, err
	}
	if strings.HasSuffix(path, ".json") {
		_, _, err := load(path)
		return "configuration", nil, err
	}
	switch format := conf.Format(text); format {
	case lab.Format:
		_, err = lab.Load(path)
		return "experiment", nil, err
	case charter.Format:
		f, err := charter.Read(path, text)
		return "charter", f, err
	case conf.OperatorFormat, "":
		o, err := conf.LoadOperator(path)
		kind := "operator file"
		if err == nil && o.Fleet != nil && o.Fleet.Limits != nil {
			for _, l := range o.Fleet.Limits.All {
				kind += "\n" + l.DescribeOvershoot(len(o.Fleet.Peers))
			}
		}
		return kind, nil, err
	default:
		return "", nil, fmt.Errorf("%s: format %q is not known: expected %q, %q or %q",
			path, format, conf.OperatorFormat, lab.Format, charter.Format)
	}
}

// checkCharter merges files and prints what contradicts, what is in force now and where each value comes from.
func checkCharter(w io.Writer, files []*charter.File, now int64) error {
	if len(files) == 0 {
		return nil
	}
	at := map[string]charter.Position{}
	for _, f := range files {
		if had, ok := at[f.Namespace]; ok {
			return fmt.Errorf("%s: namespace: %s is that of %s", f.At, f.Namespace, had)
		}
		at[f.Namespace] = f.At
	}
	c := charter.Merge(files, now, nil)
	c.WriteReport(w, now)
	if n := len(c.Refused()); n > 0 {
		return fmt.Errorf("the charter is refused: %d conflicts", n)
	}
	fmt.Fprintf(w, "a sound charter of %d namespaces\n", len(files))
	return nil
}

func labCommands() *cobra.Command {
	group := &cobra.Command{Use: "lab", Short: "Rehearse a fleet: experiments, traces and what came of them", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return errors.New("lab: expected run, replay or report") }}
	var out string
	run := &cobra.Command{Use: "run FILE", Short: "Play an experiment and keep tables and a chart", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			e, err := lab.Load(args[0])
			if err != nil {
				return err
			}
			return play(c, e, out)
		}}
	run.Flags().StringVar(&out, "out", "found", "the folder under which results are kept")
	var policy string
	replay := &cobra.Command{Use: "replay FILE", Short: "Play the trace of an experiment once, with one policy in virtual time",
		Args: cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
			e, err := lab.Load(args[0])
			if err != nil {
				return err
			}
			if e.Trace == nil {
				return fmt.Errorf("%s: trace: an experiment to replay names a trace", args[0])
			}
			if err := e.Once(policy); err != nil {
				return err
			}
			return play(c, e, out)
		}}
	replay.Flags().StringVar(&out, "out", "found", "the folder under which results are kept")
	replay.Flags().StringVar(&policy, "policy", "module", "what decides: "+strings.Join(lab.Policies, ", "))
	report := &cobra.Command{Use: "report FOLDER", Short: "Print a result that was kept, and write its tables and chart anew",
		Args: cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
			r, err := lab.ReadResult(args[0])
			if err != nil {
				return err
			}
			r.Table(c.OutOrStdout())
			return r.Write(args[0])
		}}
	var layout string
	var rows int
	var rate float64
	var seed uint64
	made := &cobra.Command{Use: "trace", Short: "Write a made trace in a public layout to standard output", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return lab.MakeTrace(c.OutOrStdout(), layout, rows, rate, seed)
		}}
	made.Flags().StringVar(&layout, "layout", lab.MadeLayouts[1], "one of "+strings.Join(lab.MadeLayouts, ", "))
	made.Flags().IntVar(&rows, "rows", 1000, "arrivals")
	made.Flags().Float64Var(&rate, "rate", 100, "arrivals a second")
	made.Flags().Uint64Var(&seed, "seed", 1, "what it is drawn by")
	group.AddCommand(run, replay, report, made)
	return group
}

// play runs an experiment and keeps its result. What was played before an error is kept too.
func play(c *cobra.Command, e *lab.Experiment, out string) error {
	w := c.OutOrStdout()
	runs, err := lab.Run(e, func(format string, a ...any) { fmt.Fprintf(w, format+"\n", a...) })
	folder := filepath.Join(out, e.Name)
	if len(runs) > 0 {
		r := lab.NewResult(e, commit(), runs)
		r.Table(w)
		if err := r.Write(folder); err != nil {
			return status{err, 1}
		}
		fmt.Fprintf(w, "kept in %s: runs.csv, summary.csv, service.svg, result.json\n", folder)
	}
	if err != nil {
		return status{err, 1}
	}
	return nil
}

// commit is what the program was built from. Where the build was told to leave that out, it is what the folder that the
// program stands in holds now.
func commit() string {
	at := map[string]string{}
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			at[s.Key] = s.Value
		}
	}
	if id := at["vcs.revision"]; len(id) >= 7 {
		if at["vcs.modified"] == "true" {
			return id[:7] + "+"
		}
		return id[:7]
	}
	if self, err := os.Executable(); err == nil {
		if out, err := exec.Command("git", "-C", filepath.Dir(self), "describe", "--always", "--abbrev=7", "--dirty=+").Output(); err == nil {
			return strings.TrimSpace(string(out))
		}
	}
	return "unknown"
}
