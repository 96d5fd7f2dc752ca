package charter

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"
)

func change(path, text string) Change {
	name, _, _ := strings.Cut(strings.Split(text, "namespace = \"")[1], "\"")
	return Change{Namespace: name, Path: path, Text: []byte(text)}
}

func propose(base uint64, changes ...Change) *Command {
	return &Command{Kind: Propose, Base: base, Changes: changes, At: now}
}

// started is a history with one edition in force alone.
func started(t interface {
	Fatal(...any)
	Helper()
}, more ...string) *State {
	t.Helper()
	s := &State{}
	changes := []Change{change("r.toml", root)}
	for i, text := range more {
		changes = append(changes, change(fmt.Sprintf("%d.toml", i), text))
	}
	for _, name := range []string{"a", "b"} {
		if !slices.ContainsFunc(changes, func(c Change) bool { return c.Namespace == name }) {
			changes = append(changes, change(name+".toml", child(name, "")))
		}
	}
	if err := s.Apply(1, 1, propose(0, changes...), nil); err != nil {
		t.Fatal(err)
	}
	return s
}

func limitOf(s *State, tenant string) float64 {
	var e Effective
	(&Member{State: *s}).Picture(now).Of(tenant, "", &e)
	return e.Bound[Limit(0, 0)]
}

func tenantLimit(n int) string {
	return child("a", ownsT1+kindOf("l", "limit", fmt.Sprintf("unit = \"reqs\"\nper = \"second\"\nnumber = %d",
		n)))
}

func TestEditions(t *testing.T) {
	s := started(t, tenantLimit(50))
	if s.Newest() != 1 || limitOf(s, "t1") != 50 || limitOf(s, "t2") != 100 {
		t.Fatalf("edition %d: %v", s.Newest(), limitOf(s, "t1"))
	}
	// Looser: the old binds too until it is settled.
	if err := s.Apply(2, 1, propose(1, change("a.toml", tenantLimit(80))), nil); err != nil {
		t.Fatal(err)
	}
	if s.Newest() != 2 || limitOf(s, "t1") != 50 {
		t.Errorf("edition %d: %v, want the tighter of 50 and 80", s.Newest(), limitOf(s, "t1"))
	}
	for what, c := range map[string]*Command{"of another term": {Kind: Settle, Edition: 2, Term: 1},
		"of an old edition": {Kind: Settle, Edition: 1, Term: 2}} {
		if s.Apply(3, 2, c, nil) == nil || s.Binding != 2 {
			t.Errorf("settled by a command %s", what)
		}
	}
	if err := s.Apply(4, 2, &Command{Kind: Settle, Edition: 2, Term: 2}, nil); err != nil || limitOf(s,
		"t1") != 80 {
		t.Errorf("got %v, %v, want 80 alone", err, limitOf(s, "t1"))
	}
	// Going back is a proposal like another.
	if err := s.Apply(5, 2, &Command{Kind: Propose, Base: 2, Back: 1, At: now}, nil); err != nil ||
		s.Newest() != 3 || limitOf(s, "t1") != 50 {
		t.Errorf("got %v, edition %d, %v", err, s.Newest(), limitOf(s, "t1"))
	}
	if s.Apply(6, 2, &Command{Kind: Propose, Base: 2, Back: 1, At: now}, nil) == nil {
		t.Error("went back on an old base")
	}
	// A namespace that goes.
	before := s.Newest()
	if err := s.Apply(7, 2, propose(3, Change{Namespace: "a"}), nil); err == nil || s.Newest() != before {
		t.Errorf("%v: what is delegated to nobody is refused", err)
	}
	if err := s.Apply(8, 2, propose(3, Change{Namespace: "a"}, change("r.toml", strings.Replace(root,
		"[[delegate]]\nto = \"a\"\n", "", 1))), nil); err != nil || limitOf(s, "t2") != 100 {
		t.Errorf("got %v, %v", err, limitOf(s, "t2"))
	}
}

// Two proposals in one instant: the second's base is old. It is merged by rule where the first touched
// others, else refused with both places.
func TestTwoAtOnce(t *testing.T) {
	value := func(id string, n int) string { return kindOf(id, "value", fmt.Sprintf("number = %d", n)) }
	file := func(x, y int) string { return child("a", ownsT1+value("x", x)+value("y", y)) }
	for name, c := range map[string]struct {
		first, second string
		want          string
		x, y          float64
	}{
		"other rules": {file(2, 1), file(1, 3), "", 2, 3},
		"the same rule": {file(2, 1), file(3, 1), "refused: base no longer the newest: second.toml:8, " +
			"first.toml:8", 2, 1},
		"the same, alike":  {file(2, 1), file(2, 3), "", 2, 3},
		"one takes it out": {child("a", ownsT1+value("y", 1)), file(3, 1), "second.toml:8, gone:0", math.Inf(1), 1},
		"another's claims": {child("a", ownsT1+"zones = [\"z1\"]\n"+value("x", 1)+value("y", 1)), file(3, 1), "", 3,
			1},
	} {
		t.Run(name, func(t *testing.T) {
			s := started(t, file(1, 1))
			if err := s.Apply(2, 1, propose(1, change("first.toml", c.first)), nil); err != nil {
				t.Fatal(err)
			}
			err := s.Apply(3, 1, propose(1, change("second.toml", c.second)), nil)
			if (err == nil) != (c.want == "") || err != nil && !strings.Contains(err.Error(), c.want) {
				t.Fatalf("got %v, want %q", err, c.want)
			}
			got := map[string]float64{"x": math.Inf(1), "y": math.Inf(1)}
			for _, r := range s.Editions[len(s.Editions)-1].Files["a"].Rules {
				got[r.ID] = r.Number
			}
			if got["x"] != c.x || got["y"] != c.y {
				t.Errorf("got %v, want x %v, y %v", got, c.x, c.y)
			}
		})
	}
	s := started(t)
	for i := range uint64(mostEditions) {
		if s.Apply(2*i+2, 1, propose(s.Newest(), change("a.toml", tenantLimit(int(i)))), nil) != nil ||
			s.Apply(2*i+3, 1, &Command{Kind: Settle, Edition: s.Newest(), Term: 1}, nil) != nil {
			t.Fatal("no edition")
		}
	}
	var r *Refusal
	if err := s.Apply(99, 1, propose(1, change("b.toml", child("b", "")+"\n[claims]\ntenants = [\"t2\"]\n")),
		nil); !errors.As(err, &r) || r.Conflicts[0].Class != StaleBase {
		t.Errorf("got %v, want a base that is no longer remembered", err)
	}
}

// What two editions forbid together is refused before it is, though each alone is sound.
func TestJointConflicts(t *testing.T) {
	at := func(zone string) string { return child("a", ownsT1+kindOf("o", "only", "zones = [\""+zone+"\"]")) }
	s := started(t, at("z1"))
	err := s.Apply(2, 1, propose(1, change("a.toml", at("z2"))), nil)
	var r *Refusal
	if !errors.As(err, &r) || r.Conflicts[0].Class != Nowhere || s.Newest() != 1 {
		t.Errorf("got %v, want nowhere to run", err)
	}
	if err := s.Apply(3, 1, propose(1, change("a.toml", child("a", ownsT1))), nil); err != nil {
		t.Error(err)
	}
	if s.Apply(4, 1, propose(2, change("a.toml", at("z2"))), nil) == nil {
		t.Error("the edition before still binds")
	}
	if err := errors.Join(s.Apply(5, 1, &Command{Kind: Settle, Edition: 2, Term: 1}, nil), s.Apply(6, 1,
		propose(2, change("a.toml", at("z2"))), nil)); err != nil {
		t.Errorf("in two steps: %v", err)
	}
	s = started(t, child("a", ownsT1+kindOf("o", "never", "zones = [\"z1\"]")))
	if err := s.Apply(2, 1, propose(1, change("a.toml", child("a", ownsT1+kindOf("o", "require",
		"zones = [\"z1\"]")))), nil); !errors.As(err, &r) || r.Conflicts[0].Class != Torn {
		t.Errorf("got %v, want required and forbidden", err)
	}
}

// A command is written and read as those of other agreed parts are, and does the same then.
func TestCommandRides(t *testing.T) {
	for _, c := range []*Command{propose(1, change("a.toml", tenantLimit(20)), Change{Namespace: "b"}),
		{Kind: Settle, Edition: 7, Term: 3, At: now}, {Kind: Propose, Base: 4, Back: 2}} {
		body, err := cbor.Marshal(c)
		var got Command
		if err := errors.Join(err, cbor.Unmarshal(body, &got)); err != nil || !reflect.DeepEqual(&got, c) {
			t.Errorf("got %v, %v, want %v", got, err, *c)
		}
	}
}

// Editions that bind together name no more places than a picture holds.
func TestJointTooMany(t *testing.T) {
	claims := func(from int) string {
		var names []string
		for i := range 200 {
			names = append(names, fmt.Sprintf("%q", fmt.Sprint("k", from+i)))
		}
		return child("a", "[claims]\nkinds = ["+strings.Join(names, ",")+"]\n")
	}
	s := started(t, claims(0))
	var r *Refusal
	err := s.Apply(2, 1, propose(1, change("a.toml", claims(100))), nil)
	if !errors.As(err, &r) || r.Conflicts[0].Class != TooMany {
		t.Errorf("got %v, want too many places", err)
	}
	if err := s.Apply(3, 1, propose(1, change("a.toml", claims(20))), nil); err != nil {
		t.Error(err)
	}
}

// The moment of being applied counts: a plan that runs by then.
func TestCheckedWhenApplied(t *testing.T) {
	s := started(t)
	c := propose(1, change("a.toml", child("a", kindOf("z", "freeze", "zones = [\"z2\"]"))))
	if s.Apply(2, 1, c, []Running{{Plan: "p", Names: Names{Zones: []string{"z2"}}}}) == nil {
		t.Error("a freeze against a running plan")
	}
	if err := s.Apply(3, 1, c, nil); err != nil {
		t.Error(err)
	}
}

// fleet is a few members that apply one history, each as far as it has heard it. Time goes in whole steps; a
// member that has heard nothing for bound steps takes itself for cut off, the leader takes it for gone after
// grace.
type fleet struct {
	agreed  []*Command
	members []*Member
	applied []int // how many commands each has applied, after the one that all begin with
	links   []bool
	heard   []int // step at which each was last in touch
	now     int
	faulty  string
	limits  []float64 // of each edition
}

const bound, grace = 2, 3

func (f *fleet) apply(i, to int) {
	for f.applied[i] < to {
		c := f.agreed[f.applied[i]]
		f.applied[i]++
		m := f.members[i]
		if m.Apply(uint64(f.applied[i]+1), 1, c, nil) == nil && f.faulty == "no joint phase" && c.Kind == Propose {
			m.Binding = 1
		}
	}
}

// step takes a moment in which each member applies up to a place, if it is reached, and the leader does what
// it does.
func (f *fleet) step(to []int) {
	f.now++
	for i, m := range f.members {
		if f.links[i] {
			f.heard[i] = f.now
			agreed := uint64(len(f.agreed) + 1)
			if f.faulty == "reached is enough" {
				agreed = 0
			}
			m.Touch(now+int64(f.now), agreed)
			f.apply(i, to[i])
		}
	}
	f.apply(0, len(f.agreed)) // the leader has applied all
	agreed := &f.members[0].State
	var reports []Report
	for i := range f.members {
		reports = append(reports, Report{uint64(f.applied[i] + 1), int64(f.now - f.heard[i])})
		if f.faulty == "nobody asked" {
			reports[i].Applied = math.MaxInt64
		}
	}
	if c := agreed.Next(1, now, reports, grace); c != nil {
		f.agreed = append(f.agreed, c)
		f.apply(0, len(f.agreed))
	}
}

// unbound names two members, neither of which takes itself for cut off, with no edition that binds both.
func (f *fleet) unbound() string {
	at := now + int64(f.now)
	held := func(m *Member) (all []uint64) {
		for _, e := range m.Holds(at) {
			all = append(all, e.Number)
		}
		return all
	}
	for i, m := range f.members {
		for j, n := range f.members[:i] {
			common := func(x uint64) bool { return slices.Contains(held(n), x) }
			if !m.Cut(at) && !n.Cut(at) && !slices.ContainsFunc(held(m), common) {
				return fmt.Sprintf("member %d holds %v, member %d %v", i, held(m), j, held(n))
			}
		}
	}
	return ""
}

// wrong says what no fleet may come to: two members with nothing that binds both, or one that passes what it
// knows.
func (f *fleet) wrong() string {
	at := now + int64(f.now)
	for i, m := range f.members {
		var e Effective
		m.Picture(at).Of("t1", "", &e)
		for _, x := range m.Holds(at) {
			if got, most := e.Bound[Limit(0, 0)], f.limits[x.Number-1]; got > most {
				return fmt.Sprintf("member %d lets %v through where edition %d allows %v", i, got, x.Number, most)
			}
		}
	}
	return f.unbound()
}

func played(t *rapid.T, faulty string) string {
	f := &fleet{faulty: faulty, limits: []float64{50}}
	start := started(t, tenantLimit(50))
	for range 3 {
		f.members = append(f.members, &Member{State: *start, Bound: bound, sure: now})
		f.applied, f.links, f.heard = append(f.applied, 0), append(f.links, true), append(f.heard, 0)
	}
	for range 30 {
		switch rapid.IntRange(0, 4).Draw(t, "event") {
		case 0:
			n := rapid.IntRange(10, 90).Draw(t, "limit")
			was := f.members[0].Newest()
			c := propose(was, change("a.toml", tenantLimit(n)))
			for _, m := range f.members { // heard of before it is agreed on, by some
				if rapid.Bool().Draw(t, "told") {
					m.Hear(c, nil)
				}
			}
			f.agreed = append(f.agreed, c)
			f.apply(0, len(f.agreed))
			if f.members[0].Newest() != was {
				f.limits = append(f.limits, float64(n))
			}
		case 1:
			i := rapid.IntRange(1, 2).Draw(t, "link")
			f.links[i] = !f.links[i]
		default:
			var to []int
			for i := range f.members {
				to = append(to, rapid.IntRange(f.applied[i], len(f.agreed)).Draw(t, "hears"))
			}
			f.step(to)
		}
		if wrong := f.wrong(); wrong != "" {
			return wrong
		}
	}
	return ""
}

func TestJointPhase(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if wrong := played(t, ""); wrong != "" {
			t.Error(wrong)
		}
	})
}

// A history without the joint phase, and a leader that asks nobody, are found.
func TestBrokenHistories(t *testing.T) {
	for _, faulty := range []string{"no joint phase", "nobody asked", "reached is enough"} {
		tried := rapid.Custom(func(t *rapid.T) string { return played(t, faulty) })
		found := false
		for seed := 0; seed < 200 && !found; seed++ {
			if wrong := tried.Example(seed); wrong != "" {
				t.Logf("%s, run %d: %s", faulty, seed, wrong)
				found = true
			}
		}
		if !found {
			t.Errorf("%s: not found", faulty)
		}
	}
}

// A proxy that is cut off keeps what it heard of, if that is tighter, until the history tells what came of
// it.
func TestCutOff(t *testing.T) {
	m := &Member{State: *started(t, tenantLimit(50)), Bound: 10}
	if !m.Cut(now) {
		t.Error("it knows of nothing yet")
	}
	m.Touch(now, 1)
	at := now
	limit := func() float64 {
		var e Effective
		m.Picture(at).Of("t1", "", &e)
		return e.Bound[Limit(0, 0)]
	}
	c := propose(1, change("a.toml", tenantLimit(20)))
	m.Hear(c, nil)
	// would be refused
	m.Hear(propose(1, change("a.toml", strings.Replace(tenantLimit(1), "\"t1\"", "\"t9\", \"t1\"",
		1)+"[[rule]]\nid = \"z\"\nkind = \"never\"\nzones = [\"z9\"]\n")), nil)
	if limit() != 50 || len(m.Holds(at)) != 1 {
		t.Errorf("reached: %v of %d editions", limit(), len(m.Holds(at)))
	}
	if at += 10; !m.Cut(at) || limit() != 20 {
		t.Errorf("cut off: %v, want the tighter that it heard of", limit())
	}
	m.Touch(at, 2)
	if !m.Cut(at) {
		t.Error("reached, but it has not caught up")
	}
	if err := m.Apply(2, 1, propose(1, change("a.toml", tenantLimit(70))), nil); err != nil {
		t.Fatal(err)
	}
	if m.Cut(at) || limit() != 50 {
		t.Errorf("caught up: %v", limit())
	}
	if at += 10; !m.Cut(at) || limit() != 50 {
		t.Errorf("cut off again: %v, want the joint phase's 50", limit())
	}
}

// A proxy that comes back with an older edition applies what it missed and holds what all do.
func TestBackWithOlder(t *testing.T) {
	one, late := started(t, tenantLimit(50)), started(t, tenantLimit(50))
	for i, c := range []*Command{propose(1, change("a.toml", tenantLimit(70))), {Kind: Settle, Edition: 2,
		Term: 1}, propose(2, change("a.toml", tenantLimit(60)))} {
		for _, s := range []*State{one, late} {
			if err := s.Apply(uint64(i+2), 1, c, nil); err != nil {
				t.Fatal(err)
			}
			if s == one && i == 0 && limitOf(late, "t1") != 50 {
				t.Error("the late one is not on the older")
			}
		}
	}
	if limitOf(one, "t1") != limitOf(late, "t1") || !maps.EqualFunc(one.Editions[2].Files,
		late.Editions[2].Files, same) {
		t.Error("two states of one history")
	}
}
