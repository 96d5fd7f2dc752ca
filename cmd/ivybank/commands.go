package main

// This file holds the command line: the root command, check and lab. Only the root command and serve start a proxy.

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

// exitError is an error with the process's exit status.
type exitError struct {
	error
	code int
}

// commands returns the root command. Without a subcommand it serves, as it did before there were any.
func commands() *cobra.Command {
	root := &cobra.Command{Use: "ivybank", Short: "A client proxy and load balancer beside every client process",
		Long: "ivybank takes the requests of the application beside it and decides by itself which server each goes to.\nWithout a command it serves.",
		Args: cobra.NoArgs, SilenceErrors: true, SilenceUsage: true,
		RunE: func(*cobra.Command, []string) error { return serve("") }}
	root.CompletionOptions.DisableDefaultCmd = true
	var operator string
	serving := &cobra.Command{Use: "serve", Short: "Serve with the configuration file that GW_CONFIG names",
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return serve(operator) }}
	serving.Flags().StringVar(&operator, "operator", "", "the operator file to use, see deploy/operator.toml")
	check := &cobra.Command{Use: "check FILE...",
		Short: "Check an operator file, an experiment, a configuration, or the files of a charter together",
		Args:  cobra.MinimumNArgs(1), RunE: func(c *cobra.Command, args []string) error {
			var files []*charter.File
			for _, path := range args {
				kind, file, err := checkFile(path)
				if err != nil {
					return err
				}
				if file != nil {
					files = append(files, file)
					continue
				}
				fmt.Fprintf(c.OutOrStdout(), "%s: a valid %s\n", path, kind)
			}
			return checkCharter(c.OutOrStdout(), files, time.Now().UnixNano())
		}}
	root.AddCommand(serving, check, labCommands(), ledgerCommand(), stateCommands(), planCommands())
	return root
}

// checkFile loads a file according to its format and returns its kind. A file of a charter is returned for the caller
// to merge with the others.
func checkFile(path string) (string, *charter.File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", nil, err
	}
	if strings.HasSuffix(path, ".json") {
		_, _, err := loadConfig(path)
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
		return "", nil, fmt.Errorf("%s: unknown format %q: expected %q, %q or %q",
			path, format, conf.OperatorFormat, lab.Format, charter.Format)
	}
}

// checkCharter merges the files of a charter and prints conflicts, the values in force at time now, and where each
// value comes from.
func checkCharter(w io.Writer, files []*charter.File, now int64) error {
	if len(files) == 0 {
		return nil
	}
	at := map[string]charter.Position{}
	for _, f := range files {
		if other, ok := at[f.Namespace]; ok {
			return fmt.Errorf("%s: namespace: %s is already used by %s", f.At, f.Namespace, other)
		}
		at[f.Namespace] = f.At
	}
	c := charter.Merge(files, now, nil)
	c.WriteReport(w, now)
	if n := len(c.Refused()); n > 0 {
		return fmt.Errorf("the charter is rejected: %d conflicts", n)
	}
	fmt.Fprintf(w, "a valid charter of %d namespaces\n", len(files))
	return nil
}

func labCommands() *cobra.Command {
	group := &cobra.Command{Use: "lab", Short: "Rehearse a fleet: run experiments, replay traces, print results",
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return errors.New("lab: expected run, replay or report") }}
	var out string
	run := &cobra.Command{Use: "run FILE", Short: "Run an experiment and write tables and a chart", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			e, err := lab.Load(args[0])
			if err != nil {
				return err
			}
			return runExperiment(c, e, out)
		}}
	run.Flags().StringVar(&out, "out", "found", "the folder under which results are written")
	var policy string
	replay := &cobra.Command{Use: "replay FILE",
		Short: "Replay the trace of an experiment once, with one policy in virtual time",
		Args:  cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
			e, err := lab.Load(args[0])
			if err != nil {
				return err
			}
			if e.Trace == nil {
				return fmt.Errorf("%s: trace: missing; replay requires an experiment with a trace", args[0])
			}
			if err := e.Once(policy); err != nil {
				return err
			}
			return runExperiment(c, e, out)
		}}
	replay.Flags().StringVar(&out, "out", "found", "the folder under which results are written")
	replay.Flags().StringVar(&policy, "policy", "module", "the balancing policy: "+strings.Join(lab.Policies, ", "))
	report := &cobra.Command{Use: "report FOLDER", Short: "Print a stored result, and rewrite its tables and chart",
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
	trace := &cobra.Command{Use: "trace", Short: "Write a synthetic trace in a public layout to standard output",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return lab.MakeTrace(c.OutOrStdout(), layout, rows, rate, seed)
		}}
	trace.Flags().StringVar(&layout, "layout", lab.MadeLayouts[1], "one of "+strings.Join(lab.MadeLayouts, ", "))
	trace.Flags().IntVar(&rows, "rows", 1000, "number of arrivals")
	trace.Flags().Float64Var(&rate, "rate", 100, "arrivals per second")
	trace.Flags().Uint64Var(&seed, "seed", 1, "seed of the random numbers")
	group.AddCommand(run, replay, report, trace)
	return group
}

// runExperiment runs an experiment and writes its result. Runs that ended before an error are written too.
func runExperiment(c *cobra.Command, e *lab.Experiment, out string) error {
	w := c.OutOrStdout()
	runs, err := lab.Run(e, func(format string, a ...any) { fmt.Fprintf(w, format+"\n", a...) })
	folder := filepath.Join(out, e.Name)
	if len(runs) > 0 {
		r := lab.NewResult(e, buildCommit(), runs)
		r.Table(w)
		if err := r.Write(folder); err != nil {
			return exitError{err, 1}
		}
		fmt.Fprintf(w, "written to %s: runs.csv, summary.csv, service.svg, result.json\n", folder)
	}
	if err != nil {
		return exitError{err, 1}
	}
	return nil
}

// buildCommit returns the commit that the program was built from, with a "+" if files were modified. If the build
// omitted it, it is the current commit of the folder that contains the program.
func buildCommit() string {
	settings := map[string]string{}
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			settings[s.Key] = s.Value
		}
	}
	if id := settings["vcs.revision"]; len(id) >= 7 {
		if settings["vcs.modified"] == "true" {
			return id[:7] + "+"
		}
		return id[:7]
	}
	if self, err := os.Executable(); err == nil {
		if out, err := exec.Command("git", "-C", filepath.Dir(self), "describe",
			"--always", "--abbrev=7", "--dirty=+").Output(); err == nil {
			return strings.TrimSpace(string(out))
		}
	}
	return "unknown"
}
