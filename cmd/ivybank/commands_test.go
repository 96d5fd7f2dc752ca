package main

import (
	"encoding/csv"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// runCommand runs the program to its end.
func runCommand(t *testing.T, folder string, args ...string) (out, errs string, code int) {
	t.Helper()
	cmd := exec.Command(binary, args...)
	var o, e strings.Builder
	cmd.Dir, cmd.Stdout, cmd.Stderr = folder, &o, &e
	cmd.Env = append(os.Environ(), "GW_CONFIG=")
	_ = cmd.Run()
	return o.String(), e.String(), cmd.ProcessState.ExitCode()
}

func writeFile(t *testing.T, folder, name, text string) string {
	t.Helper()
	path := filepath.Join(folder, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Wrong use prints one line that names the error and exits with status 2. Help exits with status 0.
func TestCommandLine(t *testing.T) {
	folder := t.TempDir()
	writeFile(t, folder, "bad.toml", "format = \"ivybank/experiment/1\"\nname = \"x\"\nmode = \"dream\"\n")
	writeFile(t, folder, "odd.toml", "format = \"ivybank/other/1\"\n")
	writeFile(t, folder, "bad.json", "{")
	for line, want := range map[string]string{
		"":                           "GW_CONFIG is not set",
		"serve":                      "GW_CONFIG is not set",
		"serve --operator gone.toml": "gone.toml",
		"nosuch":                     "unknown command",
		"serve more":                 "unknown command",
		"lab":                        "expected run, replay or report",
		"lab run":                    "accepts 1 arg",
		"lab run gone.toml":          "gone.toml",
		"lab run bad.toml":           "bad.toml:3: mode: expected virtual, sockets or processes",
		"lab run --speed bad.toml":   "unknown flag",
		"lab report gone":            "result.json",
		"lab trace --layout nosuch":  "layout \"nosuch\"",
		"check odd.toml":             "unknown format \"ivybank/other/1\"",
		"check bad.json":             "bad.json",
		"check bad.toml":             "bad.toml:3: mode",
	} {
		out, errs, code := runCommand(t, folder, strings.Fields(line)...)
		if code != 2 || strings.Count(errs, "\n") != 1 || !strings.Contains(errs, want) || out != "" {
			t.Errorf("%q: got %d, %q, %q, want 2 and one line with %q", line, code, out, errs, want)
		}
	}
	for _, line := range []string{"--help", "serve --help", "check --help", "lab --help", "lab run --help",
		"lab replay --help", "lab report --help", "lab trace --help"} {
		if out, errs, code := runCommand(t, folder, strings.Fields(line)...); code != 0 || errs != "" ||
			!strings.Contains(out, "Usage:") {
			t.Errorf("%q: got %d, %q", line, code, errs)
		}
	}
	if _, _, code := runCommand(t, "../..", "check", "deploy/operator.toml"); code != 0 {
		t.Error("deploy/operator.toml is not valid")
	}
}

// A charter's files are checked together: conflicts and the origin of each value are printed.
func TestCheckCharter(t *testing.T) {
	out, errs, code := runCommand(t, "../../deploy/charter", "check", "fleet.toml", "filing.toml")
	lost := "    lost   fleet.toml:22 fleet/all: 1000, above filing/acme at filing.toml:18\n"
	if code != 0 || !strings.Contains(out, lost) ||
		!strings.HasSuffix(out, "a valid charter of 2 namespaces\n") {
		t.Errorf("got %d, %q, %q", code, out, errs)
	}
	out, errs, code = runCommand(t, "../../deploy/charter", "check", "filing.toml")
	refused := "refused: no such name: filing.toml:3, filing.toml:3: namespace fleet; at "
	if code != 2 || !strings.HasPrefix(out, refused) ||
		errs != "ivybank: the charter is rejected: 1 conflicts\n" {
		t.Errorf("without its parent: got %d, %q, %q", code, out, errs)
	}
	if _, errs, code = runCommand(t, "../../deploy/charter", "check", "filing.toml", "filing.toml"); code != 2 ||
		errs != "ivybank: filing.toml:3: namespace: filing is already used by filing.toml:3\n" {
		t.Errorf("the same file twice: got %d, %q", code, errs)
	}
}

// The experiments in the repository are valid.
func TestExperiments(t *testing.T) {
	files, err := filepath.Glob("../../rehearse/lab/experiments/*.toml")
	if err != nil || len(files) == 0 {
		t.Fatalf("got %v, %v", files, err)
	}
	for _, f := range files {
		if _, errs, code := runCommand(t, ".", "check", f); code != 0 {
			t.Errorf("%s: %s", f, errs)
		}
	}
}

// readRuns reads the runs that an experiment wrote, each by column name.
func readRuns(t *testing.T, folder, name string) (runs []map[string]string) {
	t.Helper()
	f, err := os.Open(filepath.Join(folder, "found", name, "runs.csv"))
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	rows, err := csv.NewReader(f).ReadAll()
	if err != nil || len(rows) == 0 {
		t.Fatalf("got %d rows, %v", len(rows), err)
	}
	for _, row := range rows[1:] {
		run := map[string]string{}
		for i, column := range rows[0] {
			run[column] = row[i]
		}
		runs = append(runs, run)
	}
	return runs
}

// runLab runs an experiment with the given number of runs to its end.
func runLab(t *testing.T, folder, text, name string, runs int) (rows []map[string]string, out string) {
	t.Helper()
	writeFile(t, folder, "small.toml", text)
	out, errs, code := runCommand(t, folder, "lab", "run", "small.toml")
	if code != 0 {
		t.Fatalf("got %d: %s%s", code, out, errs)
	}
	if rows = readRuns(t, folder, name); len(rows) != runs {
		t.Fatalf("got %d runs, want %d", len(rows), runs)
	}
	return rows, out
}

// An experiment runs the built program against fake servers on loopback and writes its table and chart.
func TestLabSockets(t *testing.T) {
	text, err := os.ReadFile("../../rehearse/lab/experiments/sockets.toml")
	if err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	small := strings.NewReplacer("seeds = [1, 2, 3]", "seeds = [1]", "length = \"20s\"", "length = \"4s\"",
		"at = \"6s\"", "at = \"1s\"",
		"for = \"5s\"", "for = \"1s\"", "rate = 120.0", "rate = 60.0").Replace(string(text))
	if strings.Contains(small, "20s\"\nwarm") || !strings.Contains(small, "seeds = [1]") {
		t.Fatal("the experiment no longer contains what this test makes smaller")
	}
	rows, out := runLab(t, folder, small, "sockets", 1)
	got := rows[0]
	for _, rule := range []string{"breaches_1", "breaches_2", "breaches_3", "breaches_4"} {
		if got[rule] != "0" {
			t.Errorf("%s=%s: %s", rule, got[rule], out)
		}
	}
	if got["asks"] == "0" || got["done"] == "0" || got["executions"] == "0" {
		t.Errorf("got %v, want requests asked, executed and done", got)
	}
	if svg, err := os.ReadFile(filepath.Join(folder, "found", "sockets", "service.svg")); err != nil ||
		!strings.HasPrefix(string(svg), "<svg") {
		t.Errorf("got no chart: %v", err)
	}
	if out, _, code := runCommand(t, folder, "lab", "report", "found/sockets"); code != 0 ||
		!strings.Contains(out, "proxy") {
		t.Errorf("got %d, %q", code, out)
	}
}

// Replaying a trace twice gives the same result. Each bad row is reported, and more than the allowed number end the
// replay with status 1.
func TestReplay(t *testing.T) {
	folder := t.TempDir()
	experiment, err := os.ReadFile("../../rehearse/lab/experiments/replay.toml")
	if err != nil {
		t.Fatal(err)
	}
	rows, _, code := runCommand(t, folder, "lab", "trace", "--rows", "2000")
	if code != 0 {
		t.Fatal("no trace was written")
	}
	writeFile(t, folder, "made.csv", rows)
	text := strings.Replace(string(experiment), "../traces/azure-made.csv", "made.csv", 1)
	writeFile(t, folder, "replay.toml", text)
	first := ""
	for range 2 {
		out, errs, code := runCommand(t, folder, "lab", "replay", "replay.toml")
		if code != 0 {
			t.Fatalf("got %d: %s", code, errs)
		}
		kept, err := os.ReadFile(filepath.Join(folder, "found", "replay", "runs.csv"))
		if err != nil {
			t.Fatal(err)
		}
		if first != "" && string(kept) != first {
			t.Errorf("got\n%s, then\n%s\n%s", first, kept, out)
		}
		first = string(kept)
	}
	lines := strings.SplitAfter(rows, "\n")
	lines[10], lines[20], lines[30] = "app1,func1,soon,1\n", lines[5], "app1,func1\n"
	writeFile(t, folder, "made.csv", strings.Join(lines, ""))
	writeFile(t, folder, "replay.toml", strings.Replace(text, "problems = 10", "problems = 2", 1))
	out, errs, code := runCommand(t, folder, "lab", "replay", "replay.toml")
	if code != 1 || !strings.Contains(errs, "too many bad rows") || strings.Count(errs, "\n") != 1 {
		t.Errorf("got %d, %q, want 1 and the reason", code, errs)
	}
	for _, want := range []string{"line 11: ", "line 21: out of time order", "line 31: missing columns"} {
		if !strings.Contains(out, want) {
			t.Errorf("got %q, want %q reported", out, want)
		}
	}
}
