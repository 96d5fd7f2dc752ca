package charter

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

func read(t testing.TB, path, text string) *File {
	t.Helper()
	f, err := Read(path, []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return f
}

const root = `format = "ivybank/fleet/charter/1"
namespace = "r"
team = "platform"
[claims]
tenants = ["t1", "t2"]
rulesets = ["s1", "s2"]
zones = ["z1", "z2"]
[[window]]
name = "night"
from = "22:00"
until = "06:00"
[[window]]
name = "weekend"
days = ["sat", "sun"]
from = "00:00"
until = "23:59"
[[delegate]]
to = "a"
[[delegate]]
to = "b"
until = 2026-07-01T00:00:00Z
[[rule]]
id = "all"
kind = "limit"
unit = "reqs"
per = "second"
number = 100
`

func child(name, more string) string {
	return fmt.Sprintf("format = \"ivybank/fleet/charter/1\"\nnamespace = %q\nteam = %q\nparent = \"r\"\n%s",
		name, name, more)
}

func kindOf(id, kind, more string) string {
	return fmt.Sprintf("[[rule]]\nid = %q\nkind = %q\n%s\n", id, kind, more)
}

const ownsT1, ownsT2 = "[claims]\ntenants = [\"t1\"]\n", "[claims]\ntenants = [\"t2\"]\n"

var now = time.Date(2026, 3, 2, 12, 0, 0, 0, time.UTC).UnixNano() // a Monday

// Each class, told with both places and a witness.
func TestConflicts(t *testing.T) {
	sure := func(id string, n int, more string) string {
		return kindOf(id, "guarantee", fmt.Sprintf("unit = \"reqs\"\nnumber = %d\n%s", n, more))
	}
	for name, c := range map[string]struct {
		a, b string
		want []string
	}{
		"nothing": {ownsT1 + sure("g", 60, ""), ownsT2 + sure("g", 40, "until = 2026-07-01T00:00:00Z"), nil},
		"claimed twice": {ownsT1, ownsT1,
			[]string{"refused: claimed twice: a.toml:6, b.toml:6: tenant t1: a and b; at 2026-03-02T12:00:00Z by " +
				"the name t1"}},
		"guarantees above a limit at night": {ownsT1 + sure("g", 60, "window = \"night\""), ownsT2 + sure("g", 50,
			"until = 2026-07-01T00:00:00Z"),
			[]string{"refused: guaranteed above the limit: r.toml:23, a.toml:8: limit r/all, guarantees of " +
				"a.toml:8, b.toml:8; " +
				"at 2026-03-02T22:00:00Z a req of tenant t1 110 against 100"}},
		"required and forbidden": {ownsT1 + kindOf("q", "require", "zones = [\"z1\"]\nrulesets = [\"s1\"]"),
			"[claims]\nrulesets = [\"s2\"]\n" + kindOf("f", "never", "zones = [\"z1\"]\nuntil = 2026-07-01T00:00:00Z"),
			nil},
		"required and forbidden for one req": {ownsT1 + kindOf("q", "require", "zones = [\"z1\"]"),
			"[claims]\nrulesets = [\"s2\"]\n" + kindOf("f", "never", "zones = [\"z1\"]\nuntil = 2026-07-01T00:00:00Z"),
			[]string{"refused: required and forbidden: a.toml:8, b.toml:8: a/q requires what b/f forbids; " +
				"at 2026-03-02T12:00:00Z a req of tenant t1 of rule set s2 by the name z1"}},
		"nowhere to run": {ownsT1 + kindOf("o", "only", "zones = [\"z1\"]"),
			"[claims]\nrulesets = [\"s2\"]\n" + kindOf("f", "never",
				"zones = [\"z1\"]\nwindow = \"weekend\"\nuntil = 2026-07-01T00:00:00Z"),
			[]string{"refused: nowhere to run: a.toml:8, b.toml:8: nothing is left by a/o, b/f; " +
				"at 2026-03-07T00:00:00Z a req of tenant t1 of rule set s2"}},
		"can never apply": {ownsT1 + kindOf("v", "value", "number = 1\nuntil = 2026-03-01T00:00:00Z"), "",
			[]string{"warned: can never apply: a.toml:8, a.toml:8: rule a/v is in force at no moment from now on; " +
				"at 2026-03-02T12:00:00Z"}},
		"a window that misses its span": {ownsT1 + kindOf("v", "value",
			"number = 1\nwindow = \"weekend\"\nuntil = 2026-03-06T00:00:00Z"), "",
			[]string{"warned: can never apply: a.toml:8, a.toml:8: rule a/v is in force at no moment from now on; " +
				"at 2026-03-02T12:00:00Z"}},
		"windows with other values": {ownsT1 + kindOf("n", "value", "number = 1\nwindow = \"night\"") + kindOf("w",
			"value", "number = 2\nwindow = \"weekend\""), "",
			[]string{"warned: overlap with other values: a.toml:8, a.toml:13: a/n and a/w: the lower counts; " +
				"at 2026-03-07T00:00:00Z a req of tenant t1 2 against 1"}},
		"past the end of a delegation": {"", ownsT2 + kindOf("v", "value", "number = 1"),
			[]string{"warned: used past its end: b.toml:8, r.toml:20: rule b/v goes on past 2026-07-01T00:00:00Z; " +
				"at 2026-07-01T00:00:00Z"}},
		"a grant revoked": {"[claims]\nrulesets = [\"s1\"]\n[[grant]]\nid = \"g\"\nto = \"b\"\nrulesets = " +
			"[\"s1\"]\nrevoked = 2026-03-01T00:00:00Z\n",
			ownsT2 + kindOf("v", "value", "number = 1\nrulesets = [\"s1\"]"),
			[]string{"refused: used past its end: b.toml:8, a.toml:8: rule b/v goes on past 2026-03-01T00:00:00Z; " +
				"at 2026-03-02T12:00:00Z"}},
		"no grant": {"[claims]\nrulesets = [\"s1\"]\n", ownsT2 + kindOf("v", "value",
			"number = 1\nrulesets = [\"s1\"]"),
			[]string{"refused: not owned: b.toml:8, a.toml:6: rule v names rule set s1, which b neither owns nor " +
				"was granted; " +
				"at 2026-03-02T12:00:00Z by the name s1"}},
		"no such name": {ownsT1 + kindOf("v", "value", "number = 1\nrulesets = [\"s9\"]"), "",
			[]string{"refused: no such name: a.toml:8, a.toml:8: rule set s9 of rule v; at 2026-03-02T12:00:00Z by " +
				"the name s9"}},
		"a freeze against a plan": {kindOf("z", "freeze", "zones = [\"z2\"]"), "",
			[]string{"refused: freeze against a running plan: a.toml:6, plan kernel:0: rule a/z forbids work at " +
				"zone z2, plan kernel runs there; " +
				"at 2026-03-02T12:00:00Z by the name z2"}},
	} {
		t.Run(name, func(t *testing.T) {
			files := []*File{read(t, "r.toml", root), read(t, "a.toml", child("a", c.a)), read(t, "b.toml", child("b",
				c.b))}
			got := Merge(files, now, []Running{{Plan: "kernel", Names: Names{Zones: []string{"z2"}}}}).Conflicts
			all := make([]string, len(got))
			for i, x := range got {
				all[i] = x.String()
			}
			if strings.Join(all, "\n") != strings.Join(c.want, "\n") {
				t.Errorf("got  %s\nwant %s", strings.Join(all, "\n     "), strings.Join(c.want, "\n     "))
			}
		})
	}
}

func TestCircle(t *testing.T) {
	a, b := child("a", "[[delegate]]\nto = \"b\"\n"), child("b", "[[delegate]]\nto = \"a\"\n")
	a, b = strings.Replace(a, "\"r\"", "\"b\"", 1), strings.Replace(b, "\"r\"", "\"a\"", 1)
	c := Merge([]*File{read(t, "b.toml", b), read(t, "r.toml", root), read(t, "a.toml", a)}, now, nil)
	want := "refused: circle of delegation: a.toml:2, b.toml:2: a under b under a; at 2026-03-02T12:00:00Z"
	if len(c.Conflicts) != 1 || c.Conflicts[0].String() != want {
		t.Errorf("got %v, want %s", c.Conflicts, want)
	}
}

// A picture names 256 places at the most, one of each kind for all that nobody claims.
func TestTooMany(t *testing.T) {
	var names []string
	for i := range mostPlaces {
		names = append(names, fmt.Sprintf("%q", fmt.Sprint("k", i)))
	}
	with := func(n int) *Charter {
		return Merge([]*File{read(t, "r.toml", root+"[[rule]]\nid = \"k\"\nkind = \"never\"\nzones = [\"z2\"]\n"),
			read(t, "a.toml", child("a", "[claims]\nkinds = ["+strings.Join(names[:n], ",")+"]\n")), read(t, "b.toml",
				child("b", ""))}, now, nil)
	}
	if c := with(mostPlaces - 5); len(c.Refused()) != 0 {
		t.Errorf("got %v", c.Conflicts)
	}
	if c := with(mostPlaces - 4); len(c.Refused()) != 1 || c.Conflicts[0].Class != TooMany {
		t.Errorf("got %v, want too many places", c.Conflicts)
	}
}

func TestFaults(t *testing.T) {
	for change, want := range map[string]string{
		"namespace = \"r\" -> namespace = \"\"": "r.toml:2: namespace: expected a name",
		"team = \"platform\" -> team = \"\"":    "r.toml:3: team: expected who owns it",
		"charter/1 -> charter/2":                "r.toml:1: format: expected",
		"\"t1\", \"t2\" -> \"t1\", \"t1\"": "r.toml:5: claims.tenants: \"t1\": " +
			"expected names, each once",
		"name = \"weekend\" -> name = \"night\"": "r.toml:13: window.1.name: expected " +
			"a name of its own",
		"from = \"22:00\" -> from = \"22\"": "r.toml:10: window.0.from: expected " +
			"days as",
		"\"sat\", \"sun\" -> \"saturday\"": "r.toml:14: window.1.days: expected " +
			"days as",
		"kind = \"limit\" -> kind = \"cap\"": "r.toml:24: rule.0.kind: expected " +
			"one of",
		"unit = \"reqs\" -> unit = \"bytes\"": "r.toml:25: rule.0.unit: expected " +
			"reqs, cost",
		"per = \"second\" -> per = \"day\"": "r.toml:26: rule.0.per: expected " +
			"second",
		"number = 100 -> number = -1": "r.toml:27: rule.0.number: expected " +
			"0 or more",
		"number = 100 -> number = nan": "r.toml:27: rule.0.number: expected " +
			"0 or more",
		"number = 100 -> number = 1\nzones = [\"z1\"]\ntenants = [\"t1\"]": "r.toml:28: rule.0.zones: expected " +
			"either",
		"number = 100 -> number = 1\nspeed = 2":       "r.toml:28: rule.speed: no such field",
		"2026-07-01T00:00:00Z -> 2026-07-01T00:00:00": "r.toml:21: delegate.1.until: expected an offset",
		"2026-07-01T00:00:00Z -> 2026-07-01":          "r.toml:21: delegate.1.until: expected an offset",
		"to = \"b\" -> to = \"a\"": "r.toml:20: delegate.1.to: expected " +
			"another namespace, once",
		"number = 100 -> number = 1\nsince = 2026-03-01T00:00:00Z\nuntil = 2026-03-01T00:00:00Z": "r.toml:29: " +
			"rule.0.until: expected a moment after",
	} {
		t.Run(change, func(t *testing.T) {
			from, to, _ := strings.Cut(change, " -> ")
			if !strings.Contains(root, from) {
				t.Fatalf("%q is not there", from)
			}
			if _, err := Read("r.toml", []byte(strings.Replace(root, from, to, 1))); err == nil ||
				!strings.Contains(err.Error(), want) {
				t.Errorf("got %v, want %s", err, want)
			}
		})
	}
}

// The example that comes along is sound, and what it comes to is told with where it comes from.
func TestExample(t *testing.T) {
	paths, err := filepath.Glob("../../deploy/charter/*.toml")
	if err != nil || len(paths) < 2 {
		t.Fatalf("got %v, %v", paths, err)
	}
	var files []*File
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		files = append(files, read(t, filepath.Base(path), string(text)))
	}
	c := Merge(files, now, nil)
	var told strings.Builder
	c.WriteReport(&told, now)
	if len(c.Refused()) != 0 {
		t.Errorf("got %v", c.Conflicts)
	}
	for _, want := range []string{
		"tenant acme rule set filing: limit reqs second = 200\n    counts filing.toml:18 filing/acme: 200\n    " +
			"lost   fleet.toml:22 fleet/all: 1000, above filing/acme at filing.toml:18\n",
		"tenant acme rule set filing: quota reqs day = none\n    lost   filing.toml:35 filing/late: outside its " +
			"window night\n",
	} {
		if !strings.Contains(told.String(), want) {
			t.Errorf("no %q in\n%s", want, told.String())
		}
	}
}
