package charter

// This file holds how one edition follows another in the agreed history, which is the same for all members, and which
// editions a member applies by it. Commands arrive in the agreed order. A new edition never becomes the only binding
// one before all reachable members have applied it.

import (
	"errors"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
)

const (
	maxEditions = 8 // kept, as bases of proposals and to go back to; the oldest, which is not binding, is removed first
	maxBinding  = 4 // editions that are binding at once
	maxPending  = 4 // proposals that a member has seen and not applied; the oldest is removed first
)

// CommandKind is the kind of a command.
type CommandKind uint8

// The kinds of commands.
const (
	Propose CommandKind = iota + 1 // changes files, or goes back to an earlier edition
	Settle                         // ends the binding of all editions before the newest; proposed by a leader only
)

// Change is the file of one namespace in a proposal; without a text the namespace is removed.
type Change struct {
	Namespace string
	Path      string
	Text      []byte
}

// Command is a command that the members agree on. It is encoded under the names of its fields.
type Command struct {
	Kind    CommandKind
	Base    uint64   // Propose: the edition that the changes are based on
	Changes []Change // Propose: the changed files, or
	Back    uint64   // Propose: an edition to go back to
	Edition uint64   // Settle: the newest edition at the time of the proposal
	Term    uint64   // Settle: the leader's term
	At      int64    // Unix ns by the proposer's clock; conflicts are checked from this time on
}

// Edition is a charter that was agreed on.
type Edition struct {
	Number  uint64
	Index   uint64 // of the command
	Files   map[string]*File
	Charter *Charter
}

// State is the state that all members agree on.
type State struct {
	Index    uint64
	Editions []*Edition // the last mostEditions, oldest first
	Binding  int        // how many of the last editions are binding
}

// ConflictError reports the conflicts for which a proposal is refused.
type ConflictError struct{ Conflicts []Conflict }

func (r *ConflictError) Error() string {
	all := make([]string, len(r.Conflicts))
	for i, c := range r.Conflicts {
		all[i] = c.String()
	}
	return strings.Join(all, "\n")
}

// Newest returns the number of the newest edition, or 0 if there is none.
func (s *State) Newest() uint64 {
	if len(s.Editions) == 0 {
		return 0
	}
	return s.Editions[len(s.Editions)-1].Number
}

// BindingEditions returns the binding editions, with the newest last. Two or more are a joint phase.
func (s *State) BindingEditions() []*Edition { return s.Editions[len(s.Editions)-s.Binding:] }

func (s *State) edition(n uint64) *Edition {
	i := slices.IndexFunc(s.Editions, func(e *Edition) bool { return e.Number == n })
	if i < 0 {
		return nil
	}
	return s.Editions[i]
}

// Apply applies the command that was agreed on at index in term; plans are those that are running by the same
// history. If the command does not fit the state, Apply returns an error and changes nothing but Index. The same
// commands give the same state at all members.
func (s *State) Apply(index, term uint64, c *Command, plans []RunningPlan) error {
	s.Index = index
	switch {
	case c.Kind == Settle && c.Term != term:
		return fmt.Errorf("command of term %d, agreed on in term %d: its leader was replaced", c.Term, term)
	case c.Kind == Settle && (c.Edition != s.Newest() || s.Binding < 2):
		return fmt.Errorf("edition %d cannot be settled: %d is the newest, %d are binding", c.Edition, s.Newest(),
			s.Binding)
	case c.Kind == Settle:
		s.Binding = 1
		return nil
	case c.Kind != Propose:
		return fmt.Errorf("unknown command kind %d", c.Kind)
	case s.Binding >= maxBinding:
		return fmt.Errorf("%d editions are binding: another one has to wait until they are settled", s.Binding)
	}
	files, err := s.proposedFiles(c)
	if err != nil {
		return err
	}
	merge := Merge
	if s.Binding > 0 {
		merge = s.Editions[len(s.Editions)-1].Charter.Change
	}
	e := &Edition{s.Newest() + 1, index, files, merge(slices.Collect(maps.Values(files)), c.At, plans)}
	if refused := e.Charter.Refused(); len(refused) > 0 {
		return &ConflictError{refused}
	}
	if found := e.Charter.jointConflicts(s.BindingEditions()); len(found) > 0 {
		return &ConflictError{found}
	}
	s.Editions, s.Binding = append(slices.Clone(s.Editions), e), s.Binding+1
	if len(s.Editions) > maxEditions {
		s.Editions = s.Editions[1:]
	}
	return nil
}

// proposedFiles returns the files, by namespace, as they are after a proposal.
func (s *State) proposedFiles(c *Command) (map[string]*File, error) {
	if c.Back != 0 {
		switch e := s.edition(c.Back); {
		case c.Base != s.Newest():
			return nil, s.stale(c, "going back to %d", c.Back)
		case e == nil:
			return nil, fmt.Errorf("edition %d is no longer kept", c.Back)
		default:
			return e.Files, nil
		}
	}
	files, base, known := map[string]*File{}, map[string]*File{}, c.Base == 0
	if e := s.edition(s.Newest()); e != nil {
		maps.Copy(files, e.Files)
	}
	if e := s.edition(c.Base); e != nil {
		base, known = e.Files, true
	}
	if !known {
		return nil, s.stale(c, "edition %d is no longer kept", c.Base)
	}
	if len(c.Changes) == 0 {
		return nil, errors.New("the proposal has no changes")
	}
	var found []Conflict
	for _, x := range c.Changes {
		var next *File
		if len(x.Text) > 0 {
			f, err := Read(x.Path, x.Text)
			if err != nil {
				return nil, err
			}
			if f.Namespace != x.Namespace {
				return nil, fmt.Errorf("%s: namespace %q, proposed as %q", f.At, f.Namespace, x.Namespace)
			}
			next = f
		}
		f, collisions := mergeThreeWay(base[x.Namespace], next, files[x.Namespace])
		for _, p := range collisions {
			found = append(found, Conflict{StaleBase, true, p[0], p[1], Witness{At: c.At, Name: x.Namespace,
				Amount:  float64(c.Base),
				Against: float64(s.Newest())}, "both changed it since the base"})
		}
		if files[x.Namespace] = f; f == nil {
			delete(files, x.Namespace)
		}
	}
	if len(found) > 0 {
		return nil, &ConflictError{found}
	}
	return files, nil
}

// stale returns the error for a proposal whose base cannot be used.
func (s *State) stale(c *Command, format string, a ...any) error {
	at := Position{fmt.Sprintf("edition %d", s.Newest()), 0}
	w := Witness{At: c.At, Amount: float64(c.Base), Against: float64(s.Newest())}
	return &ConflictError{[]Conflict{{StaleBase, true, at, Position{fmt.Sprintf("edition %d", c.Base), 0}, w,
		fmt.Sprintf(format, a...)}}}
}

// mergeThreeWay merges the file of one namespace item by item: base is the file that the proposal is based on,
// proposed the proposed file, current the file in force; nil: no file. It returns the positions of items that both
// sides changed differently.
func mergeThreeWay(base, proposed, current *File) (*File, [][2]Position) {
	switch {
	case sameFile(base, current), sameFile(proposed, current):
		return proposed, nil
	case sameFile(base, proposed):
		return current, nil
	case base == nil || proposed == nil || current == nil:
		return current, [][2]Position{{proposed.position(), current.position()}}
	}
	out, all := *current, [][2]Position(nil)
	if proposedHead := [2]string{proposed.Team, proposed.Parent}; proposedHead != [2]string{base.Team, base.Parent} {
		if currentHead := [2]string{current.Team, current.Parent}; currentHead != [2]string{base.Team, base.Parent} &&
			currentHead != proposedHead {
			all = append(all, [2]Position{proposed.At, current.At})
		}
		out.Team, out.Parent, out.At = proposed.Team, proposed.Parent, proposed.At
	}
	out.Claims = mergeItems(base.Claims, proposed.Claims, current.Claims, &all)
	out.Windows = mergeItems(base.Windows, proposed.Windows, current.Windows, &all)
	out.Rules = mergeItems(base.Rules, proposed.Rules, current.Rules, &all)
	out.Grants = mergeItems(base.Grants, proposed.Grants, current.Grants, &all)
	out.Delegates = mergeItems(base.Delegates, proposed.Delegates, current.Delegates, &all)
	return &out, all
}

// sameFile reports whether two files have the same content, regardless of positions and order.
func sameFile(x, y *File) bool {
	if x == nil || y == nil {
		return x == y
	}
	return x.Namespace == y.Namespace && x.Team == y.Team && x.Parent == y.Parent &&
		sameItems(x.Claims, y.Claims) && sameItems(x.Windows, y.Windows) && sameItems(x.Rules, y.Rules) &&
		sameItems(x.Grants, y.Grants) && sameItems(x.Delegates, y.Delegates)
}

func (f *File) position() Position {
	if f == nil {
		return Position{"gone", 0}
	}
	return f.At
}

// item is an entry of a file.
type item interface {
	key() string
	position() Position
	withoutPosition() any // the item without its position
}

func (c Claim) key() string             { return c.Dimension.String() + " " + c.Name }
func (w Window) key() string            { return w.Name }
func (r Rule) key() string              { return r.ID }
func (g Grant) key() string             { return g.ID }
func (d Delegate) key() string          { return d.To }
func (c Claim) position() Position      { return c.At }
func (w Window) position() Position     { return w.At }
func (r Rule) position() Position       { return r.At }
func (g Grant) position() Position      { return g.At }
func (d Delegate) position() Position   { return d.At }
func (c Claim) withoutPosition() any    { c.At = Position{}; return c }
func (w Window) withoutPosition() any   { w.At = Position{}; return w }
func (r Rule) withoutPosition() any     { r.At = Position{}; return r }
func (g Grant) withoutPosition() any    { g.At = Position{}; return g }
func (d Delegate) withoutPosition() any { d.At = Position{}; return d }

func byKey[T item](list []T) map[string]*T {
	m := make(map[string]*T, len(list))
	for i := range list {
		m[list[i].key()] = &list[i]
	}
	return m
}

func equalItems[T item](x, y *T) bool {
	if x == nil || y == nil {
		return x == y
	}
	return reflect.DeepEqual((*x).withoutPosition(), (*y).withoutPosition())
}

func sameItems[T item](x, y []T) bool {
	m := byKey(y)
	return len(x) == len(y) && !slices.ContainsFunc(x, func(i T) bool { return !equalItems(&i, m[i.key()]) })
}

// mergeItems merges the items of three files by key, in the order of keys.
func mergeItems[T item](base, proposed, current []T, collisions *[][2]Position) (all []T) {
	w, m, n := byKey(base), byKey(proposed), byKey(current)
	keys := maps.Clone(m)
	maps.Copy(keys, n)
	where := func(x *T) Position {
		if x == nil {
			return Position{"gone", 0}
		}
		return (*x).position()
	}
	for _, k := range slices.Sorted(maps.Keys(keys)) {
		take := n[k]
		switch {
		case equalItems(w[k], n[k]):
			take = m[k]
		case !equalItems(w[k], m[k]) && !equalItems(m[k], n[k]):
			*collisions = append(*collisions, [2]Position{where(m[k]), where(n[k])})
		}
		if take != nil {
			all = append(all, *take)
		}
	}
	return all
}

// jointConflicts returns the conflicts between an edition and those that are still binding, if each alone has none.
// Such a change has to be made in two steps. Guarantees need no check, as the lower of two counts, as with bounds.
func (c *Charter) jointConflicts(binding []*Edition) []Conflict {
	charters := []*Charter{c}
	for _, e := range binding {
		charters = append(charters, e.Charter)
	}
	if n := placeCount(charters...); n > maxPlaces {
		at := c.nodes[0].At
		w := Witness{At: c.now, Amount: float64(n), Against: float64(maxPlaces)}
		return []Conflict{{TooManyPlaces, true, at, at, w, "with the editions that still bind"}}
	}
	both := &Charter{now: c.now, names: c.names, ids: c.ids, allPlaces: c.allPlaces,
		byKind: c.byKind, recheck: map[*rule]bool{}}
	p, at := numberPlaces(c), map[*Rule]*rule{}
	for _, kind := range []int{onlyKind, neverKind, requireKind} {
		both.byKind[kind] = slices.Clone(c.byKind[kind])
		for _, r := range c.byKind[kind] {
			at[r.Rule] = r
		}
	}
	for _, e := range binding {
		sameNames := slices.EqualFunc(e.Charter.names[:], c.names[:], slices.Equal[[]string])
		for _, kind := range []int{onlyKind, neverKind, requireKind} {
			for _, r := range e.Charter.byKind[kind] {
				if y := at[r.Rule]; sameNames && (y == r || y != nil && y.span == r.span && y.placeSet == r.placeSet &&
					slices.Equal(y.tenants, r.tenants) && slices.Equal(y.ruleSets, r.ruleSets)) {
					continue
				}
				if x := e.Charter.translate(r, c); x != nil {
					x.placeSet = p.renumber(e.Charter, r.placeSet)
					both.byKind[kind], both.recheck[x] = append(both.byKind[kind], x), true
				}
			}
		}
	}
	if len(both.recheck) > 0 { // otherwise all placement rules are the same and were checked
		both.checkPlacement()
	}
	return both.Conflicts
}

// translate returns a rule with the numbers of another charter, or nil if that has none of the rule's requests.
func (c *Charter) translate(r *rule, in *Charter) *rule {
	x := *r
	renumber := func(d Dimension, ids []int32) ([]int32, bool) {
		var out []int32
		for _, id := range ids {
			if to, ok := in.ids[d][c.names[d][id]]; ok {
				out = append(out, to)
			}
		}
		return out, ids == nil || out != nil
	}
	var some, ok bool
	if x.tenants, some = renumber(Tenant, r.tenants); !some {
		return nil
	}
	if x.ruleSets, ok = renumber(RuleSet, r.ruleSets); !ok {
		return nil
	}
	return &x
}

// MemberReport is what the leader knows of a member.
type MemberReport struct {
	Applied uint64 // index of the last command that the member reports to have applied
	Silent  int64  // ns since the last contact
}

// Next returns the command that the leader proposes next, or nil: that only the newest edition is binding, once each
// member has applied it or was silent for the grace, in ns. The grace is longer than a member's CutOffAfter and the
// longest delay of a leader's message together, by the slowest clock.
func (s *State) Next(term uint64, at int64, members []MemberReport, grace int64) *Command {
	if s.Binding < 2 {
		return nil
	}
	newest := s.edition(s.Newest())
	for _, m := range members {
		if m.Applied < newest.Index && m.Silent < grace {
			return nil
		}
	}
	return &Command{Kind: Settle, Edition: newest.Number, Term: term, At: at}
}

// Member is the state of one proxy: the agreed history as far as it has applied it, and proposals that it has only
// seen. A new member considers itself cut off until it has applied what a leader reports as agreed on.
type Member struct {
	State
	CutOffAfter  int64 // ns without confirmation that it is up to date, after which the member considers itself cut off
	lastUpToDate int64 // when it was last known to have applied all commands; 0: never
	goalSetAt    int64 // when catchUpIndex was set
	catchUpIndex uint64
	pending      []*Edition // at most maxPending; cleared when a proposal is applied
}

// NoteAgreed records that the commands up to the index agreed are agreed on, as reported at the given time by a
// leader that a majority has answered since. Contact alone is not enough: a member that was cut off remains so until
// it has applied what it missed.
func (m *Member) NoteAgreed(at int64, agreed uint64) {
	switch {
	case m.Index >= agreed:
		m.lastUpToDate, m.catchUpIndex = at, 0
	case m.catchUpIndex == 0:
		m.goalSetAt, m.catchUpIndex = at, agreed
	}
}

// IsCutOff reports whether the editions of this member may be outdated.
func (m *Member) IsCutOff(at int64) bool {
	return m.lastUpToDate == 0 || at-m.lastUpToDate >= m.CutOffAfter
}

// Apply applies a command to the state. A proposal in it clears the pending ones.
func (m *Member) Apply(index, term uint64, c *Command, plans []RunningPlan) error {
	err := m.State.Apply(index, term, c, plans)
	if c.Kind == Propose {
		m.pending = nil
	}
	if m.catchUpIndex != 0 && index >= m.catchUpIndex {
		m.lastUpToDate, m.catchUpIndex = m.goalSetAt, 0
	}
	return err
}

// AddPending records a proposal that may become agreed on. A proposal that would be refused is ignored.
func (m *Member) AddPending(c *Command, plans []RunningPlan) {
	trial := m.State
	if c.Kind != Propose || trial.Apply(m.Index+1, 0, c, plans) != nil {
		return
	}
	next := trial.Editions[len(trial.Editions)-1]
	all := []*Charter{next.Charter}
	for _, e := range slices.Concat(m.BindingEditions(), m.pending) {
		all = append(all, e.Charter)
	}
	if placeCount(all...) <= maxPlaces {
		m.pending = append(m.pending, next)
		m.pending = m.pending[max(0, len(m.pending)-maxPending):]
	}
}

// InForce returns the editions whose meet is in force at this member: all binding ones and, if the member is cut off,
// also the pending ones.
func (m *Member) InForce(at int64) []*Edition {
	if m.IsCutOff(at) {
		return slices.Concat(m.BindingEditions(), m.pending)
	}
	return m.BindingEditions()
}

// Snapshot returns the values in force at this member at a time, or nil if no edition is known.
func (m *Member) Snapshot(at int64) *Snapshot {
	var all []*Charter
	for _, e := range m.InForce(at) {
		all = append(all, e.Charter)
	}
	if len(all) == 0 {
		return nil
	}
	return NewSnapshot(at, all...)
}
