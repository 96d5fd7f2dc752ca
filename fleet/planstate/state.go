// Package order is the history by which servers go out for work, as all members see it the same: commands that were agreed on, applied one
// after another, and what a leader proposes next by what it sees. Free of I/O and of consensus: package quorum agrees on the commands.
//
// This file owns the agreed state and what a command does to it. It must never let a step begin that a plan's limits forbid, nor take
// a command of a leader whose term is over.
package planstate

import (
	"cmp"
	"fmt"
	"slices"

	"ivybank/fleet/plan"
)

// Phase is where a step stands.
type Phase uint8

// The phases. A server counts as out from Draining until it is Done.
const (
	Waiting   Phase = iota
	Draining        // all members are told to send it nothing new
	Out             // nobody has anything open there: the work may begin
	Returning       // the work is done: it comes back, cold, and is warmed
	Done
	Dropped // the plan was abandoned before its turn, or it has gone for good
)

func (p Phase) String() string {
	return [...]string{"waits", "drains", "out", "back", "done", "dropped"}[min(p, Dropped)]
}

// Unavailable says whether a server counts as out.
func (p Phase) Unavailable() bool { return p == Draining || p == Out || p == Returning }

// Step is one server of a plan.
type Step struct {
	plan.Target
	Phase Phase
	Index uint64 // of the command that brought it there
	Term  uint64
	At    int64  // Unix ns by the clock of who proposed it: for people
	Tries int    // times that it was undone
	Note  string // what has to be told of it
}

// Standing is where a plan stands.
type Standing uint8

// The standings.
const (
	Runs Standing = iota
	Paused
	Ended
	Abandoned
)

func (s Standing) String() string {
	return [...]string{"runs", "paused", "ended", "abandoned"}[min(s, Abandoned)]
}

// Work is a plan and what it has come to.
type Work struct {
	Plan     plan.Plan
	Standing Standing
	Why      string // it is paused
	Steps    []Step
	Events   []Event // the latest, mostEvents of them
}

// Event is one thing that has happened to a plan.
type Event struct {
	Index uint64
	At    int64
	What  string
	About string // a server
}

const (
	mostEvents = 400 // of a plan
	mostWorks  = 32  // plans that are remembered; the oldest that has ended goes first
)

// State is what all members agree on.
type State struct {
	Index uint64 // of the latest command applied
	Works []*Work
}

// Kind is what a command does.
type Kind uint8

// The kinds. Those of operators may come by way of any member; those from Take on are a leader's alone, and are void in another term.
const (
	Submit     Kind = iota + 1
	Pause           // also a leader's, where a plan can no longer be done
	Resume          //
	Abandon         // nothing new goes out; what is out comes back
	FinishWork      // an operator says that the work at a server is done
	Take            // a server drains
	Undo            // it does not go out after all: other faults come first
	Clear           // nobody has anything open there
	Return          // its work is over
	Close           // it is warm and serves: the step is done
	Tell            // something to be told of a step
)

// Command is one thing to be agreed on.
type Command struct {
	Kind       Kind
	Plan       string
	Server     string
	Index      uint64 // of the step when it was proposed: one that has moved on since is left alone
	Term       uint64 // of the leader that proposes it
	At         int64
	Reason     string     `cbor:"Why"`
	Definition *plan.Plan `cbor:"Body"`
	Targets    []plan.Target
}

// leaders says whether only a leader may propose it.
func (c *Command) leaders() bool { return c.Kind >= Take }

// Find finds a plan by its id; nil where there is none.
func (s *State) Find(id string) *Work {
	i := slices.IndexFunc(s.Works, func(w *Work) bool { return w.Plan.ID == id })
	if i < 0 {
		return nil
	}
	return s.Works[i]
}

// Find finds the step of a server; nil where there is none.
func (w *Work) Find(server string) *Step {
	i := slices.IndexFunc(w.Steps, func(x Step) bool { return x.ID == server })
	if i < 0 {
		return nil
	}
	return &w.Steps[i]
}

// Unavailable are all servers that count as out, by all plans.
func (s *State) Unavailable() (all []plan.Target) {
	for _, w := range s.Works {
		for _, x := range w.Steps {
			if x.Phase.Unavailable() {
				all = append(all, x.Target)
			}
		}
	}
	return all
}

// Phase is where a server stands by all plans: Waits where none has it out.
func (s *State) Phase(server string) (p Phase, x *Step) {
	for _, w := range s.Works {
		if x := w.Find(server); x != nil && x.Phase.Unavailable() {
			return x.Phase, x
		}
	}
	return Waiting, nil
}

// Busy says whether anything is to be done or is out.
func (s *State) Busy() bool {
	return slices.ContainsFunc(s.Works, func(w *Work) bool {
		return w.Standing == Runs || slices.ContainsFunc(w.Steps, func(x Step) bool { return x.Phase.Unavailable() })
	})
}

// Apply takes a command that was agreed on, in the term in which it was. It says what came of it; a command that no longer fits changes
// nothing. The same commands give the same state at all members.
func (s *State) Apply(index, term uint64, c *Command) error {
	s.Index = index
	if c.leaders() && c.Term != term {
		return fmt.Errorf("of term %d, agreed on in %d: its leader is no more", c.Term, term)
	}
	w := s.Find(c.Plan)
	if c.Kind == Submit {
		return s.submit(index, w, c)
	}
	if w == nil {
		return fmt.Errorf("no plan %q", c.Plan)
	}
	switch c.Kind {
	case Pause:
		if w.Standing != Runs {
			return fmt.Errorf("plan %s %s", c.Plan, w.Standing)
		}
		w.Standing, w.Why = Paused, c.Reason
	case Resume:
		if w.Standing != Paused {
			return fmt.Errorf("plan %s %s", c.Plan, w.Standing)
		}
		w.Standing, w.Why = Runs, ""
	case Abandon:
		if w.Standing >= Ended {
			return fmt.Errorf("plan %s %s", c.Plan, w.Standing)
		}
		w.Standing, w.Why = Abandoned, c.Reason
		for i := range w.Steps {
			if w.Steps[i].Phase == Waiting {
				w.Steps[i].Phase = Dropped
			}
		}
	default:
		return s.step(index, w, c)
	}
	w.note(index, c, "")
	return nil
}

func (s *State) submit(index uint64, had *Work, c *Command) error {
	if had != nil {
		return nil // handed in twice: it is the one that there is
	}
	if c.Definition == nil || c.Definition.ID != c.Plan || len(c.Targets) == 0 {
		return fmt.Errorf("plan %q is not whole", c.Plan)
	}
	w := &Work{Plan: *c.Definition}
	for _, t := range c.Targets {
		w.Steps = append(w.Steps, Step{Target: t, Index: index})
	}
	s.Works = append(s.Works, w)
	w.note(index, c, "")
	for i := 0; len(s.Works) > mostWorks && i < len(s.Works); i++ {
		if s.Works[i].Standing >= Ended && len(s.Works[i].away()) == 0 {
			s.Works = slices.Delete(s.Works, i, i+1)
			i--
		}
	}
	return nil
}

func (w *Work) away() (all []plan.Target) {
	for _, x := range w.Steps {
		if x.Phase.Unavailable() {
			all = append(all, x.Target)
		}
	}
	return all
}

// moves is what each command makes of a step, and from where.
var moves = map[Kind]struct{ from, to Phase }{
	Take: {Waiting, Draining}, Undo: {Draining, Waiting}, Clear: {Draining, Out}, Return: {Out, Returning}, FinishWork: {Out, Returning}, Close: {Returning, Done},
}

// step moves a step. A beginning is held against the limits of all plans that have something out, by what is agreed on alone.
func (s *State) step(index uint64, w *Work, c *Command) error {
	x := w.Find(c.Server)
	if x == nil {
		return fmt.Errorf("plan %s has no server %q", c.Plan, c.Server)
	}
	if c.Kind == Tell {
		x.Note = c.Reason
		w.note(index, c, c.Reason)
		return nil
	}
	m, known := moves[c.Kind]
	switch {
	case !known:
		return fmt.Errorf("no command %d", c.Kind)
	case x.Phase != m.from || c.leaders() && c.Index != x.Index:
		return fmt.Errorf("%s %s, since %d", c.Server, x.Phase, x.Index)
	case c.Kind == Take:
		if err := s.limits(w, x); err != nil {
			return err
		}
	case c.Kind == Undo:
		x.Tries++
		if w.Standing == Abandoned {
			m.to = Dropped
		}
	}
	x.Phase, x.Index, x.Term, x.At, x.Note = m.to, index, c.Term, c.At, ""
	w.note(index, c, c.Reason)
	if w.Standing == Runs && !slices.ContainsFunc(w.Steps, func(x Step) bool { return x.Phase < Done }) {
		w.Standing = Ended
		w.note(index, &Command{At: c.At}, "ended")
	}
	return nil
}

// limits says why a step may not begin now: its plan does not run, another plan has the server out, or too many would be out by its own
// plan's bounds or by those of any other that has something out. What is listed now is for who proposes.
func (s *State) limits(w *Work, x *Step) error {
	if w.Standing != Runs {
		return fmt.Errorf("plan %s %s", w.Plan.ID, w.Standing)
	}
	if p, _ := s.Phase(x.ID); p != Waiting {
		return fmt.Errorf("%s %s by another plan", x.ID, p)
	}
	out := append(s.Unavailable(), x.Target)
	for _, v := range s.Works {
		if v != w && len(v.away()) == 0 {
			continue
		}
		if err := v.Plan.Within(out); err != nil {
			return fmt.Errorf("plan %s: %w", v.Plan.ID, err)
		}
	}
	return nil
}

var words = map[Kind]string{Submit: "submitted", Pause: "paused", Resume: "resumed", Abandon: "abandoned", FinishWork: "said to be done", Take: "drains", Undo: "undone",
	Clear: "out", Return: "back", Close: "done", Tell: "told"}

func (w *Work) note(index uint64, c *Command, more string) {
	what := cmp.Or(words[c.Kind], more)
	if c.Reason != "" {
		what += ": " + c.Reason
	}
	w.Events = append(w.Events, Event{index, c.At, what, c.Server})
	if len(w.Events) > mostEvents {
		w.Events = w.Events[len(w.Events)-mostEvents:]
	}
}

// Word is what a command does, for people.
func Word(k Kind) string { return words[k] }
