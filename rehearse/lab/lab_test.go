package lab

import (
	"bytes"
	"encoding/csv"
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"ivybank/balance"
	"ivybank/rehearse/emu"
)

// text returns a small experiment file; each of with replaces one occurrence, as "from -> to".
func text(with ...string) string {
	s := `format = "ivybank/experiment/1"
name = "small"
mode = "virtual"
seeds = [1, 2]
length = "6s"
[fleet]
balancers = 2
zones = ["a", "b"]
queue = 50
one_way = "300us"
cross = "1ms"
told = "200ms"
grace = "1s"
ramp = "10s"
start_capacity = 0.2
fall_over = 3.0
fall_after = "2s"
[[fleet.machine]]
count = 4
cores = 1
speed = 1.0
share = 1.0
[load]
rate = 60.0
keys = 50
skew = 0.8
work = "20ms"
spread = "uniform"
timeout = "1s"
retries = 1
wait = "50ms"
[[ruleset]]
name = "once"
effect = "non-replayable"
response_target = "400ms"
value = 1.0
share = 0.5
[[ruleset]]
name = "again"
effect = "replayable"
response_target = "400ms"
value = 1.0
share = 0.5
[[fault]]
kind = "crash"
at = "2s"
for = "1s"
servers = ["s-001"]
[[variant]]
name = "module"
policy = "module"
`
	for _, x := range with {
		from, to, _ := strings.Cut(x, " -> ")
		s = strings.Replace(s, from, to, 1)
	}
	return s
}

func read(t *testing.T, with ...string) *Experiment {
	t.Helper()
	e, err := Read("small.toml", []byte(text(with...)))
	if err != nil {
		t.Fatal(err)
	}
	return e
}

func TestExperimentFaults(t *testing.T) {
	read(t)
	for change, want := range map[string]string{
		"mode = \"virtual\" -> mode = \"both\"":               "small.toml:3: mode: expected virtual, sockets or processes",
		"seeds = [1, 2] -> seeds = []":                        "small.toml:4: seeds: expected one seed at least",
		"length = \"6s\" -> length = \"soon\"":                "small.toml:5: length: \"soon\" is not a duration: expected one such as \"1.5s\" or \"80ms\"",
		"length = \"6s\" -> lengths = \"6s\"":                 "small.toml:5: lengths: no such field",
		"cores = 1 -> cores = 0":                              "small.toml:20: fleet.machine.0.cores: expected a number above 0",
		"rate = 60.0 -> rate = -1.0":                          "small.toml:24: load.rate: expected a number above 0",
		"effect = \"replayable\" -> effect = \"maybe\"":       "small.toml:40: ruleset.1.effect: expected replayable, uniqued or non-replayable",
		"name = \"again\" -> name = \"once\"":                 "small.toml:39: ruleset.1.name: expected a name of its own",
		"kind = \"crash\" -> kind = \"flood\"":                "small.toml:45: fault.0.kind: no such kind of fault",
		"kind = \"crash\" -> kind = \"slow\"":                 "small.toml:44: fault.0.size: expected a number above 0",
		"policy = \"module\" -> policy = \"best\"":            "small.toml:51: variant.0.policy: expected one of [module random least two oracle]",
		"format = \"ivybank/experiment/1\" -> format = \"x\"": "small.toml:1: format: expected \"ivybank/experiment/1\"",
		"name = \"small\" -> name = \"../small\"":             "small.toml:2: name: expected a name that can be a folder's",
		"start_capacity = 0.2 -> start_capacity = 1.2":        "small.toml:15: fleet.start_capacity: expected a part above 0 to 1",
	} {
		if _, err := Read("small.toml", []byte(text(change))); err == nil || err.Error() != want {
			t.Errorf("%s: got %q, want %q", change, err, want)
		}
	}
}

func run(t *testing.T, e *Experiment, policy func(t balance.Config, now int64) emu.Policy) *Figures {
	t.Helper()
	f, err := runVirtual(e, e.Variants[0], 7, policy, &Problems{Tell: func(what string) { t.Log(what) }})
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// The seed determines the whole run: two runs are equal up to the last decision, and another seed gives other
// decisions.
func TestRepeatable(t *testing.T) {
	for _, policy := range Policies {
		e := read(t, "policy = \"module\" -> policy = \""+policy+"\"")
		one, two := run(t, e, nil), run(t, e, nil)
		one.Wall, two.Wall = 0, 0
		if a, b := fmt.Sprintf("%+v", one), fmt.Sprintf("%+v", two); a != b {
			t.Errorf("%s: got\n%s, then\n%s", policy, a, b)
		}
		other, err := runVirtual(e, e.Variants[0], 8, nil, &Problems{})
		if err != nil || other.Hash == one.Hash {
			t.Errorf("%s: got the same decisions from another seed", policy)
		}
		if one.Asks < 300 || one.Done+one.Denied+one.Aborted+one.Unanswered != one.Asks {
			t.Errorf("%s: got %+v, want each ask to end in one way", policy, one)
		}
	}
}

// faulty is a policy whose decisions are changed by spoil.
type faulty struct {
	emu.Policy
	spoil func(d balance.Decision) []balance.Decision
	todo  []balance.Decision
}

func (f *faulty) Next(now int64) (balance.Decision, bool) {
	if len(f.todo) == 0 {
		d, ok := f.Policy.Next(now)
		if !ok {
			return d, ok
		}
		if f.todo = f.spoil(d); len(f.todo) == 0 {
			return f.Next(now)
		}
	}
	d := f.todo[0]
	f.todo = f.todo[1:]
	return d, true
}

// A policy that breaks a rule on purpose is detected by what servers and clients saw; the unchanged module breaks none.
func TestPlanted(t *testing.T) {
	module := func(t balance.Config, now int64) emu.Policy { return balance.New(t, now) }
	spoilt := func(spoil func(d balance.Decision) []balance.Decision) func(balance.Config, int64) emu.Policy {
		return func(t balance.Config, now int64) emu.Policy { return &faulty{Policy: module(t, now), spoil: spoil} }
	}
	as := func(change func(*balance.Decision)) func(d balance.Decision) []balance.Decision {
		return func(d balance.Decision) []balance.Decision { change(&d); return []balance.Decision{d} }
	}
	for name, x := range map[string]struct {
		with   []string
		policy func(balance.Config, int64) emu.Policy
		rule   int
	}{
		"none": {nil, module, 0},
		"forgets to answer": {[]string{"rate = 60.0 -> rate = 600.0"}, spoilt(func(d balance.Decision) []balance.Decision {
			if d.Kind == balance.Deny || d.Kind == balance.Abort {
				return nil
			}
			return []balance.Decision{d}
		}), 1},
		"answers twice": {[]string{"rate = 60.0 -> rate = 600.0"}, spoilt(func(d balance.Decision) []balance.Decision {
			if d.Kind == balance.Deny {
				return []balance.Decision{d, d}
			}
			return []balance.Decision{d}
		}), 1},
		"dispatches twice": {nil, spoilt(func(d balance.Decision) []balance.Decision {
			if d.Kind == balance.Dispatch {
				other := d
				other.Server = "s-004"
				return []balance.Decision{d, other}
			}
			return []balance.Decision{d}
		}), 2},
		"does not hear of drains": {[]string{"kind = \"crash\" -> kind = \"drain\"", "for = \"1s\" -> for = \"4s\""},
			func(t balance.Config, now int64) emu.Policy { return &deaf{module(t, now)} }, 3},
		// The module would reduce its dispatches once answers are late, so the random policy is changed here.
		"floods a cold server": {[]string{"rate = 60.0 -> rate = 400.0"}, func(t balance.Config, now int64) emu.Policy {
			return &faulty{Policy: newPolicy("random", nil)(t, now), spoil: as(func(d *balance.Decision) {
				if d.Kind == balance.Dispatch {
					d.Server = "s-001"
				}
			})}
		}, 4},
	} {
		t.Run(name, func(t *testing.T) {
			f := run(t, read(t, x.with...), x.policy)
			for rule := 1; rule <= 4; rule++ {
				if rule == x.rule && f.Breaches[rule] == 0 {
					t.Errorf("got %v, want rule %d broken", f.Breaches, rule)
				}
				if x.rule == 0 && f.Breaches[rule] > 0 {
					t.Errorf("got %v: %v", f.Breaches, f.Notes)
				}
			}
		})
	}
}

// deaf ignores all changes of the server list.
type deaf struct{ emu.Policy }

func (d *deaf) UpdateList(form balance.ListForm, entries []balance.Server, now int64) {
	if form == balance.ListRestored {
		d.Policy.UpdateList(form, entries, now)
	}
}

func TestBaselines(t *testing.T) {
	figure := func(policy string) float64 {
		e := read(t, "policy = \"module\" -> policy = \""+policy+"\"", "rate = 60.0 -> rate = 150.0", "kind = \"crash\" -> kind = \"slow\"", "for = \"1s\" -> for = \"4s\"\nsize = 8.0")
		return run(t, e, nil).Service
	}
	if random, oracle := figure("random"), figure("oracle"); random >= oracle {
		t.Errorf("got %.3f from the random policy and %.3f from the oracle", random, oracle)
	}
}

func TestTraces(t *testing.T) {
	folder := t.TempDir()
	rows := "app,func,end_timestamp,duration\n"
	for i := range 200 {
		rows += fmt.Sprintf("a%d,f%d,%.3f,0.030\n", i%3, i%7, 100+float64(i)*0.05)
	}
	play := func(csv string, problems int) (*Figures, []string, error) {
		if err := os.WriteFile(filepath.Join(folder, "t.csv"), []byte(csv), 0o600); err != nil {
			t.Fatal(err)
		}
		e := read(t, "[[fault]] -> [trace]\nfile = \"t.csv\"\nlayout = \"azure-2021-invocations\"\nspeed = 2.0\npart = 1.0\nwork = 0.5\nmost_work = \"1s\"\n"+
			fmt.Sprintf("problems = %d\n", problems)+"[trace.rulesets]\nf1 = \"once\"\n\"*\" = \"again\"\n[[fault]]")
		e.path = filepath.Join(folder, "small.toml")
		var told []string
		f, err := runVirtual(e, e.Variants[0], 1, nil, &Problems{Tell: func(what string) { told = append(told, what) }})
		return f, told, err
	}
	one, told, err := play(rows, 0)
	if err != nil || one.Asks != 200 || len(told) > 0 {
		t.Fatalf("got %+v, %v, %v", one, told, err)
	}
	if two, _, _ := play(rows, 0); two.Hash != one.Hash || two.Service != one.Service {
		t.Error("two replays differ")
	}
	bad := strings.Replace(rows, "0.030\na1,", "never\na1,", 1)
	if f, told, err := play(bad, 1); err != nil || f.Asks != 199 || f.Problems != 1 || len(told) != 1 || told[0] != `t.csv: line 2: duration="never" is no number` {
		t.Errorf("got %+v, %q, %v, want one row reported and left out", f, told, err)
	}
	if _, _, err := play(bad, 0); !errors.Is(err, ErrProblems) {
		t.Errorf("got %v, want the run stopped", err)
	}
	if f, told, err := play(rows[:len(rows)-5], 1); err != nil || f.Asks != 200 || len(told) != 1 || !strings.Contains(told[0], "cut") {
		t.Errorf("got %+v, %q, %v, want a last line without line end reported", f, told, err)
	}
}

func TestReport(t *testing.T) {
	r := &Result{Experiment: "x", Mode: "virtual", Commit: "abc1234", Variants: []string{"m", "n"}}
	for i, s := range []float64{0.90, 0.92, 0.94, 0.10} {
		f := &Figures{Seed: uint64(i), Variant: "m", Service: s, Asks: 10, Line: []float64{s, s, s}}
		if s < 0.5 {
			f.Unusable = "late"
		}
		r.Runs = append(r.Runs, f)
	}
	r.Runs = append(r.Runs, &Figures{Variant: "n", Service: 0.5, Breaches: [5]int{0, 0, 2, 0, 0}, Line: []float64{0.5, 0.5}})
	s := r.Summaries()
	// By hand: mean 0.92, deviation 0.02, t of two degrees of freedom 4.303.
	if m := s[0]; m.Runs != 4 || m.Unusable != 1 || math.Abs(m.Median-0.92) > 1e-9 || m.Low != 0.90 || m.High != 0.94 ||
		math.Abs(m.From-(0.92-4.303*0.02/math.Sqrt(3))) > 1e-4 {
		t.Errorf("got %+v", m)
	}
	if s[1].Breaches[2] != 2 || !math.IsInf(s[1].From, -1) {
		t.Errorf("got %+v", s[1])
	}
	folder := t.TempDir()
	if err := r.Write(folder); err != nil {
		t.Fatal(err)
	}
	for name, rows := range map[string]int{"runs.csv": 6, "summary.csv": 3} {
		f, err := os.Open(filepath.Join(folder, name))
		if err != nil {
			t.Fatal(err)
		}
		got, err := csv.NewReader(f).ReadAll()
		if err != nil || len(got) != rows || got[1][0] != "x" || got[1][2] != "abc1234" {
			t.Errorf("%s: got %d rows, %v, want %d with experiment and commit", name, len(got), err, rows)
		}
		_ = f.Close()
	}
	svg, err := os.ReadFile(filepath.Join(folder, "service.svg"))
	if err != nil {
		t.Fatal(err)
	}
	lines := 0
	for d := xml.NewDecoder(bytes.NewReader(svg)); ; {
		x, err := d.Token()
		if err == io.EOF {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		if e, ok := x.(xml.StartElement); ok && e.Name.Local == "path" {
			lines++
		}
	}
	if lines < 4 || !bytes.Contains(svg, []byte("abc1234")) {
		t.Errorf("got %d paths, want axes and a line for each variant under the commit", lines)
	}
	again, err := ReadResult(folder)
	if err != nil || len(again.Runs) != 5 || again.Summaries()[0].Median != s[0].Median {
		t.Errorf("got %+v, %v", again, err)
	}
}

// The generated load has the configured rate, mean work and key skew, and is in time order.
func TestLoad(t *testing.T) {
	e := read(t, "length = \"6s\" -> length = \"100s\"")
	g, n, work, keys := newGeneratedLoad(e, 3), 0, 0.0, map[string]int{}
	for last := int64(0); ; n++ {
		a, at, err := g.next()
		if err == io.EOF {
			break
		}
		if a.At < last || at < 0 || at > 1 {
			t.Fatalf("got %+v for balancer %d after %d", a, at, last)
		}
		last = a.At
		work += float64(a.Work)
		keys[a.Key]++
	}
	if math.Abs(float64(n)/6000-1) > 0.05 || math.Abs(work/float64(n)/2e7-1) > 0.05 {
		t.Errorf("got %d asks of %.1f ms, want 6000 of 20", n, work/float64(n)/1e6)
	}
	if keys["k0"] < 2*keys["k9"] {
		t.Errorf("got %d for the first key, %d for the tenth: no skew", keys["k0"], keys["k9"])
	}
}

// A run in which the load generator was late is marked as unusable.
func TestUnusable(t *testing.T) {
	if unusable(1) != "" || !strings.Contains(unusable(40), "40 ms late") {
		t.Errorf("got %q, %q", unusable(1), unusable(40))
	}
}
