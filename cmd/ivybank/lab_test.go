package main

import (
	"encoding/csv"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// ivybank runs the program to its end.
func ivybank(t *testing.T, folder string, args ...string) (out, errs string, code int) {
	t.Helper()
	cmd := exec.Command(binary, args...)
	var o, e strings.Builder
	cmd.Dir, cmd.Stdout, cmd.Stderr = folder, &o, &e
	cmd.Env = append(os.Environ(), "GW_CONFIG=")
	_ = cmd.Run()
	return o.String(), e.String(), cmd.ProcessState.ExitCode()
}

func write(t *testing.T, folder, name, text string) string {
	t.Helper()
	path := filepath.Join(folder, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Bad use is one plain line that names what is wrong, and status 2; help is help, and 0.
func TestCommandLine(t *testing.T) {
	folder := t.TempDir()
	write(t, folder, "bad.toml", "format = \"ivybank/experiment/1\"\nname = \"x\"\nmode = \"dream\"\n")
	write(t, folder, "odd.toml", "format = \"ivybank/other/1\"\n")
	write(t, folder, "bad.json", "{")
	for line, want := range map[string]string{
		"":                           "GW_CONFIG names no file",
		"serve":                      "GW_CONFIG names no file",
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
		"check odd.toml":             "format \"ivybank/other/1\" is not known",
		"check bad.json":             "bad.json",
		"check bad.toml":             "bad.toml:3: mode",
	} {
		out, errs, code := ivybank(t, folder, strings.Fields(line)...)
		if code != 2 || strings.Count(errs, "\n") != 1 || !strings.Contains(errs, want) || out != "" {
			t.Errorf("%q: got %d, %q, %q, want 2 and one line with %q", line, code, out, errs, want)
		}
	}
	for _, line := range []string{"--help", "serve --help", "check --help", "lab --help", "lab run --help", "lab replay --help", "lab report --help", "lab trace --help"} {
		if out, errs, code := ivybank(t, folder, strings.Fields(line)...); code != 0 || errs != "" || !strings.Contains(out, "Usage:") {
			t.Errorf("%q: got %d, %q", line, code, errs)
		}
	}
	if _, _, code := ivybank(t, "../..", "check", "deploy/operator.toml"); code != 0 {
		t.Error("the operator file that comes along is not sound")
	}
}

// A charter's files are checked together: what contradicts and where each value comes from is printed.
func TestCheckCharter(t *testing.T) {
	out, errs, code := ivybank(t, "../../deploy/charter", "check", "fleet.toml", "filing.toml")
	lost := "    lost   fleet.toml:22 fleet/all: 1000, above filing/acme at filing.toml:18\n"
	if code != 0 || !strings.Contains(out, lost) ||
		!strings.HasSuffix(out, "a sound charter of 2 namespaces\n") {
		t.Errorf("got %d, %q, %q", code, out, errs)
	}
	out, errs, code = ivybank(t, "../../deploy/charter", "check", "filing.toml")
	refused := "refused: no such name: filing.toml:3, filing.toml:3: namespace fleet; at "
	if code != 2 || !strings.HasPrefix(out, refused) ||
		errs != "ivybank: the charter is refused: 1 conflicts\n" {
		t.Errorf("without its parent: got %d, %q, %q", code, out, errs)
	}
	if _, errs, code = ivybank(t, "../../deploy/charter", "check", "filing.toml", "filing.toml"); code != 2 ||
		errs != "ivybank: filing.toml:3: namespace: filing is that of filing.toml:3\n" {
		t.Errorf("the same twice: got %d, %q", code, errs)
	}
}

// The experiments that come along are sound.
func TestExperiments(t *testing.T) {
	files, err := filepath.Glob("../../rehearse/lab/experiments/*.toml")
	if err != nil || len(files) == 0 {
		t.Fatalf("got %v, %v", files, err)
	}
	for _, f := range files {
		if _, errs, code := ivybank(t, ".", "check", f); code != 0 {
			t.Errorf("%s: %s", f, errs)
		}
	}
}

// played reads the runs that an experiment left, each by the names of its columns.
func played(t *testing.T, folder, name string) (runs []map[string]string) {
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

// rehearsed plays an experiment of so many runs to its end.
func rehearsed(t *testing.T, folder, text, name string, runs int) (rows []map[string]string, out string) {
	t.Helper()
	write(t, folder, "small.toml", text)
	out, errs, code := ivybank(t, folder, "lab", "run", "small.toml")
	if code != 0 {
		t.Fatalf("got %d: %s%s", code, out, errs)
	}
	if rows = played(t, folder, name); len(rows) != runs {
		t.Fatalf("got %d runs, want %d", len(rows), runs)
	}
	return rows, out
}

// The built program is played against stand-ins on loopback, and table and chart are kept.
func TestLabSockets(t *testing.T) {
	text, err := os.ReadFile("../../rehearse/lab/experiments/sockets.toml")
	if err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	small := strings.NewReplacer("seeds = [1, 2, 3]", "seeds = [1]", "length = \"20s\"", "length = \"4s\"", "at = \"6s\"", "at = \"1s\"",
		"for = \"5s\"", "for = \"1s\"", "rate = 120.0", "rate = 60.0").Replace(string(text))
	if strings.Contains(small, "20s\"\nwarm") || !strings.Contains(small, "seeds = [1]") {
		t.Fatal("the experiment is not what this test makes smaller")
	}
	rows, out := rehearsed(t, folder, small, "sockets", 1)
	got := rows[0]
	for _, rule := range []string{"breaches_1", "breaches_2", "breaches_3", "breaches_4"} {
		if got[rule] != "0" {
			t.Errorf("%s=%s: %s", rule, got[rule], out)
		}
	}
	if got["asks"] == "0" || got["done"] == "0" || got["executions"] == "0" {
		t.Errorf("got %v, want reqs asked, run and done", got)
	}
	if svg, err := os.ReadFile(filepath.Join(folder, "found", "sockets", "service.svg")); err != nil || !strings.HasPrefix(string(svg), "<svg") {
		t.Errorf("got no chart: %v", err)
	}
	if out, _, code := ivybank(t, folder, "lab", "report", "found/sockets"); code != 0 || !strings.Contains(out, "proxy") {
		t.Errorf("got %d, %q", code, out)
	}
}

// A replay is the same twice, tells each bad row, and stops with status 1 past as many as are allowed.
func TestReplay(t *testing.T) {
	folder := t.TempDir()
	experiment, err := os.ReadFile("../../rehearse/lab/experiments/replay.toml")
	if err != nil {
		t.Fatal(err)
	}
	rows, _, code := ivybank(t, folder, "lab", "trace", "--rows", "2000")
	if code != 0 {
		t.Fatal("no trace was made")
	}
	write(t, folder, "made.csv", rows)
	text := strings.Replace(string(experiment), "../traces/azure-made.csv", "made.csv", 1)
	write(t, folder, "replay.toml", text)
	hash := ""
	for range 2 {
		out, errs, code := ivybank(t, folder, "lab", "replay", "replay.toml")
		if code != 0 {
			t.Fatalf("got %d: %s", code, errs)
		}
		kept, err := os.ReadFile(filepath.Join(folder, "found", "replay", "runs.csv"))
		if err != nil {
			t.Fatal(err)
		}
		if hash != "" && string(kept) != hash {
			t.Errorf("got\n%s, then\n%s\n%s", hash, kept, out)
		}
		hash = string(kept)
	}
	lines := strings.SplitAfter(rows, "\n")
	lines[10], lines[20], lines[30] = "app1,func1,soon,1\n", lines[5], "app1,func1\n"
	write(t, folder, "made.csv", strings.Join(lines, ""))
	write(t, folder, "replay.toml", strings.Replace(text, "problems = 10", "problems = 2", 1))
	out, errs, code := ivybank(t, folder, "lab", "replay", "replay.toml")
	if code != 1 || !strings.Contains(errs, "too many bad rows") || strings.Count(errs, "\n") != 1 {
		t.Errorf("got %d, %q, want 1 and why", code, errs)
	}
	for _, want := range []string{"line 11: ", "line 21: out of time order", "line 31: missing columns"} {
		if !strings.Contains(out, want) {
			t.Errorf("got %q, want %q told", out, want)
		}
	}
}
