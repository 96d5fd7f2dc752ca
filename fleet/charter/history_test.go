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

func fileChange(path, text string) Change {
	name, _, _ := strings.Cut(strings.Split(text, "namespace = \"")[1], "\"")
	return Change{Namespace: name, Path: path, Text: []byte(text)}
}

func newProposal(base uint64, changes ...Change) *Command {
	return &Command{Kind: Propose, Base: base, Changes: changes, At: now}
}

// newState returns the state after one edition, which is the only binding one.
func newState(t interface {
	Fatal(...any)
	Helper()
}, more ...string) *State {
	t.Helper()
	s := &State{}
	changes := []Change{fileChange("r.toml", root)}
	for i, text := range more {
		changes = append(changes, fileChange(fmt.Sprintf("%d.toml", i), text))
	}
	for _, name := range []string{"a", "b"} {
		if !slices.ContainsFunc(changes, func(c Change) bool { return c.Namespace == name }) {
			changes = append(changes, fileChange(name+".toml", childFile(name, "")))
		}
	}
	if err := s.Apply(1, 1, newProposal(0, changes...), nil); err != nil {
		t.Fatal(err)
	}
	return s
}

func tenantLimitIn(s *State, tenant string) float64 {
	var e Effective
	(&Member{State: *s}).Snapshot(now).Lookup(tenant, "", &e)
	return e.Bound[LimitSlot(0, 0)]
}

func fileWithTenantLimit(n int) string {
	return childFile("a", ownsT1+ruleText("l", "limit", fmt.Sprintf("unit = \"reqs\"\nper = \"second\"\nnumber = %d",
		n)))
}

func TestEditions(t *testing.T) {
	s := newState(t, fileWithTenantLimit(50))
	if s.Newest() != 1 || tenantLimitIn(s, "t1") != 50 || tenantLimitIn(s, "t2") != 100 {
		t.Fatalf("edition %d: %v", s.Newest(), tenantLimitIn(s, "t1"))
	}
	// A looser edition: the old one is binding too until it is settled.
	if err := s.Apply(2, 1, newProposal(1, fileChange("a.toml", fileWithTenantLimit(80))), nil); err != nil {
		t.Fatal(err)
	}
	if s.Newest() != 2 || tenantLimitIn(s, "t1") != 50 {
		t.Errorf("edition %d: %v, want the tighter of 50 and 80", s.Newest(), tenantLimitIn(s, "t1"))
	}
	for what, c := range map[string]*Command{"of another term": {Kind: Settle, Edition: 2, Term: 1},
		"of an old edition": {Kind: Settle, Edition: 1, Term: 2}} {
		if s.Apply(3, 2, c, nil) == nil || s.Binding != 2 {
			t.Errorf("settled by a command %s", what)
		}
	}
	if err := s.Apply(4, 2, &Command{Kind: Settle, Edition: 2, Term: 2}, nil); err != nil || tenantLimitIn(s,
		"t1") != 80 {
		t.Errorf("got %v, %v, want 80 alone", err, tenantLimitIn(s, "t1"))
	}
	// Going back is a proposal like any other.
	if err := s.Apply(5, 2, &Command{Kind: Propose, Base: 2, Back: 1, At: now}, nil); err != nil ||
		s.Newest() != 3 || tenantLimitIn(s, "t1") != 50 {
		t.Errorf("got %v, edition %d, %v", err, s.Newest(), tenantLimitIn(s, "t1"))
	}
	if s.Apply(6, 2, &Command{Kind: Propose, Base: 2, Back: 1, At: now}, nil) == nil {
		t.Error("went back although the base is outdated")
	}
	// A namespace is removed.
	before := s.Newest()
	if err := s.Apply(7, 2, newProposal(3, Change{Namespace: "a"}), nil); err == nil || s.Newest() != before {
		t.Errorf("got %v, want an error as a delegation has no namespace", err)
	}
	if err := s.Apply(8, 2, newProposal(3, Change{Namespace: "a"}, fileChange("r.toml", strings.Replace(root,
		"[[delegate]]\nto = \"a\"\n", "", 1))), nil); err != nil || tenantLimitIn(s, "t2") != 100 {
		t.Errorf("got %v, %v", err, tenantLimitIn(s, "t2"))
	}
}

// Of two concurrent proposals, the second has an outdated base. It is merged if the first changed other items;
// otherwise it is refused with both positions.
func TestConcurrentProposals(t *testing.T) {
	value := func(id string, n int) string { return ruleText(id, "value", fmt.Sprintf("number = %d", n)) }
	file := func(x, y int) string { return childFile("a", ownsT1+value("x", x)+value("y", y)) }
	for name, c := range map[string]struct {
		first, second string
		want          string
		x, y          float64
	}{
		"other rules": {file(2, 1), file(1, 3), "", 2, 3},
		"the same rule": {file(2, 1), file(3, 1), "refused: base no longer the newest: second.toml:8, " +
			"first.toml:8", 2, 1},
		"the same change": {file(2, 1), file(2, 3), "", 2, 3},
		"one removes it":  {childFile("a", ownsT1+value("y", 1)), file(3, 1), "second.toml:8, gone:0", math.Inf(1), 1},
		"a change of claims": {childFile("a", ownsT1+"zones = [\"z1\"]\n"+value("x", 1)+value("y", 1)), file(3, 1), "", 3,
			1},
	} {
		t.Run(name, func(t *testing.T) {
			s := newState(t, file(1, 1))
			if err := s.Apply(2, 1, newProposal(1, fileChange("first.toml", c.first)), nil); err != nil {
				t.Fatal(err)
			}
			err := s.Apply(3, 1, newProposal(1, fileChange("second.toml", c.second)), nil)
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
	s := newState(t)
	for i := range uint64(maxEditions) {
		if s.Apply(2*i+2, 1, newProposal(s.Newest(), fileChange("a.toml", fileWithTenantLimit(int(i)))), nil) != nil ||
			s.Apply(2*i+3, 1, &Command{Kind: Settle, Edition: s.Newest(), Term: 1}, nil) != nil {
			t.Fatal("no edition")
		}
	}
	var r *ConflictError
	if err := s.Apply(99, 1, newProposal(1, fileChange("b.toml", childFile("b", "")+"\n[claims]\ntenants = [\"t2\"]\n")),
		nil); !errors.As(err, &r) || r.Conflicts[0].Class != StaleBase {
		t.Errorf("got %v, want a base that is no longer kept", err)
	}
}

// An edition that has conflicts with one that is still binding is refused, though each alone has none.
func TestJointConflicts(t *testing.T) {
	at := func(zone string) string {
		return childFile("a", ownsT1+ruleText("o", "only", "zones = [\""+zone+"\"]"))
	}
	s := newState(t, at("z1"))
	err := s.Apply(2, 1, newProposal(1, fileChange("a.toml", at("z2"))), nil)
	var r *ConflictError
	if !errors.As(err, &r) || r.Conflicts[0].Class != NowhereToRun || s.Newest() != 1 {
		t.Errorf("got %v, want nowhere to run", err)
	}
	if err := s.Apply(3, 1, newProposal(1, fileChange("a.toml", childFile("a", ownsT1))), nil); err != nil {
		t.Error(err)
	}
	if s.Apply(4, 1, newProposal(2, fileChange("a.toml", at("z2"))), nil) == nil {
		t.Error("accepted though the edition before is still binding")
	}
	if err := errors.Join(s.Apply(5, 1, &Command{Kind: Settle, Edition: 2, Term: 1}, nil), s.Apply(6, 1,
		newProposal(2, fileChange("a.toml", at("z2"))), nil)); err != nil {
		t.Errorf("in two steps: %v", err)
	}
	s = newState(t, childFile("a", ownsT1+ruleText("o", "never", "zones = [\"z1\"]")))
	if err := s.Apply(2, 1, newProposal(1, fileChange("a.toml", childFile("a", ownsT1+ruleText("o", "require",
		"zones = [\"z1\"]")))), nil); !errors.As(err, &r) || r.Conflicts[0].Class != RequiredForbidden {
		t.Errorf("got %v, want required and forbidden", err)
	}
}

// A command is the same after encoding and decoding in cbor.
func TestCommandEncoding(t *testing.T) {
	for _, c := range []*Command{newProposal(1, fileChange("a.toml", fileWithTenantLimit(20)), Change{Namespace: "b"}),
		{Kind: Settle, Edition: 7, Term: 3, At: now}, {Kind: Propose, Base: 4, Back: 2}} {
		body, err := cbor.Marshal(c)
		var got Command
		if err := errors.Join(err, cbor.Unmarshal(body, &got)); err != nil || !reflect.DeepEqual(&got, c) {
			t.Errorf("got %v, %v, want %v", got, err, *c)
		}
	}
}

// Editions that are binding together name no more places than a snapshot can hold.
func TestJointTooManyPlaces(t *testing.T) {
	claims := func(from int) string {
		var names []string
		for i := range 200 {
			names = append(names, fmt.Sprintf("%q", fmt.Sprint("k", from+i)))
		}
		return childFile("a", "[claims]\nkinds = ["+strings.Join(names, ",")+"]\n")
	}
	s := newState(t, claims(0))
	var r *ConflictError
	err := s.Apply(2, 1, newProposal(1, fileChange("a.toml", claims(100))), nil)
	if !errors.As(err, &r) || r.Conflicts[0].Class != TooManyPlaces {
		t.Errorf("got %v, want too many places", err)
	}
	if err := s.Apply(3, 1, newProposal(1, fileChange("a.toml", claims(20))), nil); err != nil {
		t.Error(err)
	}
}

// Conflicts with running plans are checked when a command is applied, not when it is proposed.
func TestCheckedWhenApplied(t *testing.T) {
	s := newState(t)
	c := newProposal(1, fileChange("a.toml", childFile("a", ruleText("z", "freeze", "zones = [\"z2\"]"))))
	if s.Apply(2, 1, c, []RunningPlan{{Plan: "p", Names: Names{Zones: []string{"z2"}}}}) == nil {
		t.Error("a freeze against a running plan")
	}
	if err := s.Apply(3, 1, c, nil); err != nil {
		t.Error(err)
	}
}

// fleet is a set of members that apply one history, each as far as it has received it. Time passes in whole steps. A
// member without contact for cutOffAfter steps considers itself cut off; after grace steps the leader no longer waits
// for it.
type fleet struct {
	agreed      []*Command
	members     []*Member
	applied     []int // how many commands each has applied, after the one that all start with
	connected   []bool
	lastContact []int // step of each member's last contact
	now         int
	fault       string
	limits      []float64 // of each edition
}

const cutOffAfter, grace = 2, 3

func (f *fleet) apply(i, to int) {
	for f.applied[i] < to {
		c := f.agreed[f.applied[i]]
		f.applied[i]++
		m := f.members[i]
		if m.Apply(uint64(f.applied[i]+1), 1, c, nil) == nil && f.fault == "no joint phase" && c.Kind == Propose {
			m.Binding = 1
		}
	}
}

// step passes one step of time, in which each connected member applies commands up to the given index and the leader
// proposes what is due.
func (f *fleet) step(to []int) {
	f.now++
	for i, m := range f.members {
		if f.connected[i] {
			f.lastContact[i] = f.now
			agreed := uint64(len(f.agreed) + 1)
			if f.fault == "contact is enough" {
				agreed = 0
			}
			m.NoteAgreed(now+int64(f.now), agreed)
			f.apply(i, to[i])
		}
	}
	f.apply(0, len(f.agreed)) // the leader has applied all commands
	agreed := &f.members[0].State
	var reports []MemberReport
	for i := range f.members {
		reports = append(reports, MemberReport{uint64(f.applied[i] + 1), int64(f.now - f.lastContact[i])})
		if f.fault == "leader does not wait" {
			reports[i].Applied = math.MaxInt64
		}
	}
	if c := agreed.Next(1, now, reports, grace); c != nil {
		f.agreed = append(f.agreed, c)
		f.apply(0, len(f.agreed))
	}
}

// withoutCommonEdition reports two members that both consider themselves up to date and have no edition in common.
func (f *fleet) withoutCommonEdition() string {
	at := now + int64(f.now)
	held := func(m *Member) (all []uint64) {
		for _, e := range m.InForce(at) {
			all = append(all, e.Number)
		}
		return all
	}
	for i, m := range f.members {
		for j, n := range f.members[:i] {
			common := func(x uint64) bool { return slices.Contains(held(n), x) }
			if !m.IsCutOff(at) && !n.IsCutOff(at) && !slices.ContainsFunc(held(m), common) {
				return fmt.Sprintf("member %d holds %v, member %d %v", i, held(m), j, held(n))
			}
		}
	}
	return ""
}

// violation reports two members without a common edition, or a member that exceeds an edition that it knows.
func (f *fleet) violation() string {
	at := now + int64(f.now)
	for i, m := range f.members {
		var e Effective
		m.Snapshot(at).Lookup("t1", "", &e)
		for _, x := range m.InForce(at) {
			if got, most := e.Bound[LimitSlot(0, 0)], f.limits[x.Number-1]; got > most {
				return fmt.Sprintf("member %d lets %v through where edition %d allows %v", i, got, x.Number, most)
			}
		}
	}
	return f.withoutCommonEdition()
}

func playHistory(t *rapid.T, fault string) string {
	f := &fleet{fault: fault, limits: []float64{50}}
	start := newState(t, fileWithTenantLimit(50))
	for range 3 {
		f.members = append(f.members, &Member{State: *start, CutOffAfter: cutOffAfter, lastUpToDate: now})
		f.applied, f.connected, f.lastContact = append(f.applied, 0), append(f.connected, true), append(f.lastContact, 0)
	}
	for range 30 {
		switch rapid.IntRange(0, 4).Draw(t, "event") {
		case 0:
			n := rapid.IntRange(10, 90).Draw(t, "limit")
			was := f.members[0].Newest()
			c := newProposal(was, fileChange("a.toml", fileWithTenantLimit(n)))
			for _, m := range f.members { // some members see it before it is agreed on
				if rapid.Bool().Draw(t, "told") {
					m.AddPending(c, nil)
				}
			}
			f.agreed = append(f.agreed, c)
			f.apply(0, len(f.agreed))
			if f.members[0].Newest() != was {
				f.limits = append(f.limits, float64(n))
			}
		case 1:
			i := rapid.IntRange(1, 2).Draw(t, "link")
			f.connected[i] = !f.connected[i]
		default:
			var to []int
			for i := range f.members {
				to = append(to, rapid.IntRange(f.applied[i], len(f.agreed)).Draw(t, "hears"))
			}
			f.step(to)
		}
		if problem := f.violation(); problem != "" {
			return problem
		}
	}
	return ""
}

func TestJointPhase(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if problem := playHistory(t, ""); problem != "" {
			t.Error(problem)
		}
	})
}

// The faults are found: a history without the joint phase, a leader that does not wait for the members, and members
// that consider themselves up to date on contact alone.
func TestFaultyHistoriesFound(t *testing.T) {
	for _, fault := range []string{"no joint phase", "leader does not wait", "contact is enough"} {
		generator := rapid.Custom(func(t *rapid.T) string { return playHistory(t, fault) })
		found := false
		for seed := 0; seed < 200 && !found; seed++ {
			if problem := generator.Example(seed); problem != "" {
				t.Logf("%s, run %d: %s", fault, seed, problem)
				found = true
			}
		}
		if !found {
			t.Errorf("%s: not found", fault)
		}
	}
}

// A member that is cut off also applies the pending proposals, if they are tighter, until it learns from the history
// what became of them.
func TestMemberCutOff(t *testing.T) {
	m := &Member{State: *newState(t, fileWithTenantLimit(50)), CutOffAfter: 10}
	if !m.IsCutOff(now) {
		t.Error("a new member is not cut off")
	}
	m.NoteAgreed(now, 1)
	at := now
	limit := func() float64 {
		var e Effective
		m.Snapshot(at).Lookup("t1", "", &e)
		return e.Bound[LimitSlot(0, 0)]
	}
	c := newProposal(1, fileChange("a.toml", fileWithTenantLimit(20)))
	m.AddPending(c, nil)
	// This one would be refused.
	m.AddPending(newProposal(1, fileChange("a.toml", strings.Replace(fileWithTenantLimit(1), "\"t1\"", "\"t9\", \"t1\"",
		1)+"[[rule]]\nid = \"z\"\nkind = \"never\"\nzones = [\"z9\"]\n")), nil)
	if limit() != 50 || len(m.InForce(at)) != 1 {
		t.Errorf("connected: limit %v from %d editions", limit(), len(m.InForce(at)))
	}
	if at += 10; !m.IsCutOff(at) || limit() != 20 {
		t.Errorf("cut off: %v, want the tighter limit of the pending proposal", limit())
	}
	m.NoteAgreed(at, 2)
	if !m.IsCutOff(at) {
		t.Error("not cut off in contact before it has caught up")
	}
	if err := m.Apply(2, 1, newProposal(1, fileChange("a.toml", fileWithTenantLimit(70))), nil); err != nil {
		t.Fatal(err)
	}
	if m.IsCutOff(at) || limit() != 50 {
		t.Errorf("caught up: %v", limit())
	}
	if at += 10; !m.IsCutOff(at) || limit() != 50 {
		t.Errorf("cut off again: %v, want the joint phase's 50", limit())
	}
}

// A member that returns with an older edition applies what it missed and has the same state as the others.
func TestCatchUpFromOlderEdition(t *testing.T) {
	one, late := newState(t, fileWithTenantLimit(50)), newState(t, fileWithTenantLimit(50))
	for i, c := range []*Command{newProposal(1, fileChange("a.toml", fileWithTenantLimit(70))), {Kind: Settle, Edition: 2,
		Term: 1}, newProposal(2, fileChange("a.toml", fileWithTenantLimit(60)))} {
		for _, s := range []*State{one, late} {
			if err := s.Apply(uint64(i+2), 1, c, nil); err != nil {
				t.Fatal(err)
			}
			if s == one && i == 0 && tenantLimitIn(late, "t1") != 50 {
				t.Error("the late member is not on the older edition")
			}
		}
	}
	if tenantLimitIn(one, "t1") != tenantLimitIn(late, "t1") || !maps.EqualFunc(one.Editions[2].Files,
		late.Editions[2].Files, sameFile) {
		t.Error("different states from the same history")
	}
}
