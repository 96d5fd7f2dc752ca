package charter

// This file owns how one edition follows another in the agreed history, as all members see it the same, and
// what one member holds by it. Commands come agreed on, one after another. It must never let a new edition
// bind alone before the old has been met by all that are reached.

import (
	"errors"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
)

const (
	mostEditions = 8 // remembered: to go back to, and as bases; the oldest that binds no longer goes first
	mostBinding  = 4 // at once
	mostHeard    = 4 // proposals that a member knows of and that are not applied here; the oldest goes first
)

// CommandKind is what a command does.
type CommandKind uint8

// The kinds.
const (
	Propose CommandKind = iota + 1 // files changed, or an earlier edition again
	Settle                         // what is before an edition binds no longer; a leader's alone
)

// Change is one namespace's file in a proposal; without a text the namespace goes.
type Change struct {
	Namespace string
	Path      string
	Text      []byte
}

// Command is one thing to be agreed on.
type Command struct {
	Kind    CommandKind
	Base    uint64   // Propose: the edition that it was written against
	Changes []Change // Propose, or
	Back    uint64   // an edition to go back to
	Edition uint64   // Settle: the newest, when it was proposed
	Term    uint64   // Settle: of the leader
	At      int64    // Unix ns, by the clock of who proposes: the moment that conflicts are looked for from
}

// Edition is one charter that was agreed on.
type Edition struct {
	Number  uint64
	Index   uint64 // of the command
	Files   map[string]*File
	Charter *Charter
}

// State is what all members agree on.
type State struct {
	Index    uint64
	Editions []*Edition // the last mostEditions, oldest first
	Binding  int        // the last so many bind
}

// Refusal is why a proposal is not taken.
type Refusal struct{ Conflicts []Conflict }

func (r *Refusal) Error() string {
	all := make([]string, len(r.Conflicts))
	for i, c := range r.Conflicts {
		all[i] = c.String()
	}
	return strings.Join(all, "\n")
}

// Newest is the number of the newest edition; 0 where there is none.
func (s *State) Newest() uint64 {
	if len(s.Editions) == 0 {
		return 0
	}
	return s.Editions[len(s.Editions)-1].Number
}

// Bind are the editions that bind, the newest last; two or more are a joint phase.
func (s *State) Bind() []*Edition { return s.Editions[len(s.Editions)-s.Binding:] }

func (s *State) edition(n uint64) *Edition {
	i := slices.IndexFunc(s.Editions, func(e *Edition) bool { return e.Number == n })
	if i < 0 {
		return nil
	}
	return s.Editions[i]
}

// Apply takes a command that was agreed on, in the term in which it was, beside plans that run by the same
// history. It says what came of it; a command that does not fit changes nothing. The same commands give the
// same state at all members.
func (s *State) Apply(index, term uint64, c *Command, plans []Running) error {
	s.Index = index
	switch {
	case c.Kind == Settle && c.Term != term:
		return fmt.Errorf("of term %d, agreed on in %d: its leader is no more", c.Term, term)
	case c.Kind == Settle && (c.Edition != s.Newest() || s.Binding < 2):
		return fmt.Errorf("edition %d is not one to settle: %d is the newest, %d bind", c.Edition, s.Newest(),
			s.Binding)
	case c.Kind == Settle:
		s.Binding = 1
		return nil
	case c.Kind != Propose:
		return fmt.Errorf("no command %d", c.Kind)
	case s.Binding >= mostBinding:
		return fmt.Errorf("%d editions bind: another has to wait until they have settled", s.Binding)
	}
	files, err := s.propose(c)
	if err != nil {
		return err
	}
	merge := Merge
	if s.Binding > 0 {
		merge = s.Editions[len(s.Editions)-1].Charter.Change
	}
	e := &Edition{s.Newest() + 1, index, files, merge(slices.Collect(maps.Values(files)), c.At, plans)}
	if refused := e.Charter.Refused(); len(refused) > 0 {
		return &Refusal{refused}
	}
	if found := e.Charter.joint(s.Bind()); len(found) > 0 {
		return &Refusal{found}
	}
	s.Editions, s.Binding = append(slices.Clone(s.Editions), e), s.Binding+1
	if len(s.Editions) > mostEditions {
		s.Editions = s.Editions[1:]
	}
	return nil
}

// propose gives the files as they would be.
func (s *State) propose(c *Command) (map[string]*File, error) {
	if c.Back != 0 {
		switch e := s.edition(c.Back); {
		case c.Base != s.Newest():
			return nil, s.stale(c, "going back to %d", c.Back)
		case e == nil:
			return nil, fmt.Errorf("edition %d is not remembered", c.Back)
		default:
			return e.Files, nil
		}
	}
	files, was, known := map[string]*File{}, map[string]*File{}, c.Base == 0
	if e := s.edition(s.Newest()); e != nil {
		maps.Copy(files, e.Files)
	}
	if e := s.edition(c.Base); e != nil {
		was, known = e.Files, true
	}
	if !known {
		return nil, s.stale(c, "edition %d is not remembered", c.Base)
	}
	if len(c.Changes) == 0 {
		return nil, errors.New("nothing is proposed")
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
		f, collisions := three(was[x.Namespace], next, files[x.Namespace])
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
		return nil, &Refusal{found}
	}
	return files, nil
}

func (s *State) stale(c *Command, format string, a ...any) error {
	at := Position{fmt.Sprintf("edition %d", s.Newest()), 0}
	w := Witness{At: c.At, Amount: float64(c.Base), Against: float64(s.Newest())}
	return &Refusal{[]Conflict{{StaleBase, true, at, Position{fmt.Sprintf("edition %d", c.Base), 0}, w,
		fmt.Sprintf(format, a...)}}}
}

// three merges one namespace's file by what it consists of: was is the base, mine what is proposed, now what
// is in force; nil: none. Where both changed the same and not alike it gives the places of both.
func three(was, mine, now *File) (*File, [][2]Position) {
	switch {
	case same(was, now), same(mine, now):
		return mine, nil
	case same(was, mine):
		return now, nil
	case was == nil || mine == nil || now == nil:
		return now, [][2]Position{{mine.place(), now.place()}}
	}
	out, all := *now, [][2]Position(nil)
	if head := [2]string{mine.Team, mine.Parent}; head != [2]string{was.Team, was.Parent} {
		if theirs := [2]string{now.Team, now.Parent}; theirs != [2]string{was.Team, was.Parent} && theirs != head {
			all = append(all, [2]Position{mine.At, now.At})
		}
		out.Team, out.Parent, out.At = mine.Team, mine.Parent, mine.At
	}
	out.Claims = items(was.Claims, mine.Claims, now.Claims, &all)
	out.Windows = items(was.Windows, mine.Windows, now.Windows, &all)
	out.Rules = items(was.Rules, mine.Rules, now.Rules, &all)
	out.Grants = items(was.Grants, mine.Grants, now.Grants, &all)
	out.Delegates = items(was.Delegates, mine.Delegates, now.Delegates, &all)
	return &out, all
}

// same says whether two files say the same, wherever it stands in them.
func same(x, y *File) bool {
	if x == nil || y == nil {
		return x == y
	}
	return x.Namespace == y.Namespace && x.Team == y.Team && x.Parent == y.Parent &&
		sameItems(x.Claims, y.Claims) && sameItems(x.Windows, y.Windows) && sameItems(x.Rules, y.Rules) &&
		sameItems(x.Grants, y.Grants) && sameItems(x.Delegates, y.Delegates)
}

func (f *File) place() Position {
	if f == nil {
		return Position{"gone", 0}
	}
	return f.At
}

// item is what a file consists of.
type item interface {
	key() string
	place() Position
	bare() any // without its place
}

func (c Claim) key() string        { return c.Dim.String() + " " + c.Name }
func (w Window) key() string       { return w.Name }
func (r Rule) key() string         { return r.ID }
func (g Grant) key() string        { return g.ID }
func (d Delegate) key() string     { return d.To }
func (c Claim) place() Position    { return c.At }
func (w Window) place() Position   { return w.At }
func (r Rule) place() Position     { return r.At }
func (g Grant) place() Position    { return g.At }
func (d Delegate) place() Position { return d.At }
func (c Claim) bare() any          { c.At = Position{}; return c }
func (w Window) bare() any         { w.At = Position{}; return w }
func (r Rule) bare() any           { r.At = Position{}; return r }
func (g Grant) bare() any          { g.At = Position{}; return g }
func (d Delegate) bare() any       { d.At = Position{}; return d }

func byKey[T item](list []T) map[string]*T {
	m := make(map[string]*T, len(list))
	for i := range list {
		m[list[i].key()] = &list[i]
	}
	return m
}

func alike[T item](x, y *T) bool {
	if x == nil || y == nil {
		return x == y
	}
	return reflect.DeepEqual((*x).bare(), (*y).bare())
}

func sameItems[T item](x, y []T) bool {
	m := byKey(y)
	return len(x) == len(y) && !slices.ContainsFunc(x, func(i T) bool { return !alike(&i, m[i.key()]) })
}

// items merges what files list, by key, in the order of keys.
func items[T item](was, mine, now []T, collide *[][2]Position) (all []T) {
	w, m, n := byKey(was), byKey(mine), byKey(now)
	keys := maps.Clone(m)
	maps.Copy(keys, n)
	where := func(x *T) Position {
		if x == nil {
			return Position{"gone", 0}
		}
		return (*x).place()
	}
	for _, k := range slices.Sorted(maps.Keys(keys)) {
		take := n[k]
		switch {
		case alike(w[k], n[k]):
			take = m[k]
		case !alike(w[k], m[k]) && !alike(m[k], n[k]):
			*collide = append(*collide, [2]Position{where(m[k]), where(n[k])})
		}
		if take != nil {
			all = append(all, *take)
		}
	}
	return all
}

// joint are the conflicts of an edition and those that still bind, where each alone has none: a way that
// leads from one to the other has to be taken in two steps. Guarantees need no look, for they meet as bounds
// do.
func (c *Charter) joint(binding []*Edition) []Conflict {
	charters := []*Charter{c}
	for _, e := range binding {
		charters = append(charters, e.Charter)
	}
	if n := placesOf(charters...); n > mostPlaces {
		at := c.nodes[0].At
		w := Witness{At: c.now, Amount: float64(n), Against: float64(mostPlaces)}
		return []Conflict{{TooMany, true, at, at, w, "with the editions that still bind"}}
	}
	both := &Charter{now: c.now, words: c.words, names: c.names, mask: c.mask, by: c.by, fresh: map[*rule]bool{}}
	p, at := picturePlaces(c), map[*Rule]*rule{}
	for _, kind := range []int{only, never, require} {
		both.by[kind] = slices.Clone(c.by[kind])
		for _, r := range c.by[kind] {
			at[r.Rule] = r
		}
	}
	for _, e := range binding {
		alike := slices.EqualFunc(e.Charter.words[:], c.words[:], slices.Equal[[]string])
		for _, kind := range []int{only, never, require} {
			for _, r := range e.Charter.by[kind] {
				if y := at[r.Rule]; alike && (y == r || y != nil && y.span == r.span && y.set == r.set &&
					slices.Equal(y.tenants, r.tenants) && slices.Equal(y.sets, r.sets)) {
					continue
				}
				if x := e.Charter.restate(r, c); x != nil {
					x.set = p.renumber(e.Charter, r.set)
					both.by[kind], both.fresh[x] = append(both.by[kind], x), true
				}
			}
		}
	}
	if len(both.fresh) > 0 { // else it is the same, and was looked at
		both.placement()
	}
	return both.Conflicts
}

// restate is a rule by the numbers of another charter; nil where that has none of its reqs.
func (c *Charter) restate(r *rule, in *Charter) *rule {
	x := *r
	turn := func(d Dim, ids []int32) ([]int32, bool) {
		var out []int32
		for _, id := range ids {
			if to, ok := in.names[d][c.words[d][id]]; ok {
				out = append(out, to)
			}
		}
		return out, ids == nil || out != nil
	}
	var some, ok bool
	if x.tenants, some = turn(Tenant, r.tenants); !some {
		return nil
	}
	if x.sets, ok = turn(RuleSet, r.sets); !ok {
		return nil
	}
	return &x
}

// Report is what is known of a member.
type Report struct {
	Applied uint64 // index of the last command that it says it has applied
	Silent  int64  // ns since it was heard
}

// Next is what a leader proposes: that the newest edition binds alone, once each member has applied it or was
// silent for the grace. The grace is longer than a member's Bound and the longest way of a leader's word
// together, by the slowest clock. Nil: nothing.
func (s *State) Next(term uint64, at int64, members []Report, grace int64) *Command {
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

// Member is what one proxy holds: the agreed history as far as it has applied it, and proposals that it has
// only heard of. One that begins takes itself for cut off until it has applied what a leader says is agreed
// on.
type Member struct {
	State
	Bound int64 // ns without knowing that nothing was missed, after which it takes itself for cut off
	sure  int64 // when it last knew that it had applied all there was
	asked int64 // when it was told of goal
	goal  uint64
	heard []*Edition // at most mostHeard; emptied by what is applied
}

// Touch takes the word of a leader, whom a majority has answered since, that so much is agreed on. To be
// reached is not enough: a member that was cut off is so until it has applied what it missed.
func (m *Member) Touch(at int64, agreed uint64) {
	switch {
	case m.Index >= agreed:
		m.sure, m.goal = at, 0
	case m.goal == 0:
		m.asked, m.goal = at, agreed
	}
}

// Cut says whether what is held here may be old.
func (m *Member) Cut(at int64) bool { return m.sure == 0 || at-m.sure >= m.Bound }

// Apply is State's; what was only heard of is settled by it.
func (m *Member) Apply(index, term uint64, c *Command, plans []Running) error {
	err := m.State.Apply(index, term, c, plans)
	if c.Kind == Propose {
		m.heard = nil
	}
	if m.goal != 0 && index >= m.goal {
		m.sure, m.goal = m.asked, 0
	}
	return err
}

// Hear takes a proposal that may come to be agreed on. One that would not be taken is nothing.
func (m *Member) Hear(c *Command, plans []Running) {
	would := m.State
	if c.Kind != Propose || would.Apply(m.Index+1, 0, c, plans) != nil {
		return
	}
	next := would.Editions[len(would.Editions)-1]
	all := []*Charter{next.Charter}
	for _, e := range slices.Concat(m.Bind(), m.heard) {
		all = append(all, e.Charter)
	}
	if placesOf(all...) <= mostPlaces {
		m.heard = append(m.heard, next)
		m.heard = m.heard[max(0, len(m.heard)-mostHeard):]
	}
}

// Holds are the editions whose meet is in force here: all that bind and, where it is cut off, those too that
// it heard of.
func (m *Member) Holds(at int64) []*Edition {
	if m.Cut(at) {
		return slices.Concat(m.Bind(), m.heard)
	}
	return m.Bind()
}

// Picture is what is in force here at a moment; nil where no edition is known.
func (m *Member) Picture(at int64) *Picture {
	var all []*Charter
	for _, e := range m.Holds(at) {
		all = append(all, e.Charter)
	}
	if len(all) == 0 {
		return nil
	}
	return Draw(at, all...)
}
