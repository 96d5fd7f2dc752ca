package planstate

// This file owns what a leader proposes next, by the agreed state and by what it sees now. It must never count a member's word twice, take
// an old word for a new one, or let a time that has run stand for capacity that has come back.

import (
	"fmt"
	"slices"

	"ivybank/fleet/plan"
)

const sec = int64(1e9)

// LeaderConfig is what a leader goes by. Times are nanoseconds.
type LeaderConfig struct {
	Grace            int64   // a drain binds a member so long after it was told
	MaxClientTimeout int64   // the longest client timeout: after it nothing that was open still is
	MinService       float64 // part of the worth that has to be served before more goes out
	SettleTime       int64   // for so long
}

// Member is one other as the leader sees it.
type Member struct {
	Place   int
	Reached bool           // it takes part and its word is fresh
	Index   uint64         // up to which it has applied what was agreed on
	Open    map[string]int // dispatches that it has open, by server that is out
}

// Server is one as the leader sees it now.
type Server struct {
	plan.Target
	Listed      bool // as ready
	Healthy     bool // not ejected, nor silent
	Warm        bool // past its ramp
	ManuallyOut bool // out by hand
}

// View is what a leader sees. Now is monotonic; Wall is Unix ns.
type View struct {
	Now, Wall int64
	Members   []Member // all that are configured, itself among them
	Servers   []Server // by id
	Service   float64  // of late, 0 to 1
	Cut       bool     // a cut against an overload is in force
}

// Lead is a leader's own memory, of one term. Waits begin anew with each leader, which is late rather than early.
type Lead struct {
	t     LeaderConfig
	term  uint64
	since map[string]int64 // by plan and server: when this leader saw the step come to its phase; emptied with the term
	index map[string]uint64
	well  int64 // since when service is as it should be; 0: it is not
}

// NewLead begins a term.
func NewLead(t LeaderConfig, term uint64) *Lead {
	return &Lead{t: t, term: term, since: map[string]int64{}, index: map[string]uint64{}}
}

// Next gives what to propose now, one thing for each step that may move, and one beginning at the most.
func (l *Lead) Next(s *State, v View) (out []Command) {
	if v.Service < l.t.MinService || v.Cut {
		l.well = 0
	} else if l.well == 0 {
		l.well = v.Now
	}
	propose := func(k Kind, w *Work, x *Step, why string) {
		c := Command{Kind: k, Plan: w.Plan.ID, Term: l.term, At: v.Wall, Reason: why}
		if x != nil {
			c.Server, c.Index = x.ID, x.Index
		}
		out = append(out, c)
	}
	begun := false
	for _, w := range s.Works {
		for i := range w.Steps {
			x := &w.Steps[i]
			if !x.Phase.Unavailable() {
				continue
			}
			passed := l.passed(w, x, v.Now)
			switch x.Phase {
			case Draining:
				if why := l.undoes(s, w, x, &v); why != "" {
					propose(Undo, w, x, why)
				} else if l.clear(x, passed, &v) {
					propose(Clear, w, x, "")
				}
			case Out:
				if why, done := l.worked(w, x, passed, &v); done {
					propose(Return, w, x, why)
				}
			case Returning:
				if y, ok := v.server(x.ID); ok && y.Listed && y.Healthy && y.Warm && l.settled(v.Now) {
					propose(Close, w, x, "")
				} else if note := late(w, x, passed, ok && y.Listed); note != x.Note {
					propose(Tell, w, x, note)
				}
			}
		}
		if w.Standing != Runs {
			continue
		}
		if err := l.possible(w, &v); err != nil {
			propose(Pause, w, nil, "infeasible: "+err.Error())
			continue
		}
		if x := l.ready(s, w, &v); x != nil && !begun {
			begun = true
			propose(Take, w, x, "")
		}
	}
	return out
}

// passed is how long this leader has seen a step in its phase.
func (l *Lead) passed(w *Work, x *Step, now int64) int64 {
	key := w.Plan.ID + "\x00" + x.ID
	if l.index[key] != x.Index {
		l.index[key], l.since[key] = x.Index, now
	}
	return now - l.since[key]
}

func (l *Lead) settled(now int64) bool { return l.well > 0 && now-l.well >= l.t.SettleTime }

func (v *View) server(id string) (Server, bool) {
	i := slices.IndexFunc(v.Servers, func(s Server) bool { return s.ID == id })
	if i < 0 {
		return Server{}, false
	}
	return v.Servers[i], true
}

// clear says whether nothing is open at a draining server: each member that is reached has said so since it applied the drain, and those
// that are not have had the grace and the longest client timeout, which bound what they may still have there.
func (l *Lead) clear(x *Step, passed int64, v *View) bool {
	for _, m := range v.Members {
		if m.Reached {
			if m.Index < x.Index || m.Open[x.ID] > 0 {
				return false
			}
		} else if passed < l.t.Grace+l.t.MaxClientTimeout {
			return false
		}
	}
	return true
}

// undoes says why a step that has not come to its work goes back: other faults come first.
func (l *Lead) undoes(s *State, w *Work, x *Step, v *View) string {
	if w.Standing == Abandoned {
		return "the plan was abandoned"
	}
	if v.Cut {
		return "an overload is met with a cut"
	}
	if err := w.Plan.Allows(v.away(s, x.Target), v.listed()); err != nil {
		return err.Error()
	}
	return ""
}

// away are all that are out now, whatever for, the one in question last.
func (v *View) away(s *State, last plan.Target) (out []plan.Target) {
	planned := s.Unavailable()
	for _, y := range v.Servers {
		if y.ID != last.ID && (!y.Listed || !y.Healthy || y.ManuallyOut || slices.ContainsFunc(planned, func(t plan.Target) bool { return t.ID == y.ID })) {
			out = append(out, y.Target)
		}
	}
	for _, t := range planned { // what has left the list is out all the same
		if _, listed := v.server(t.ID); !listed && t.ID != last.ID {
			out = append(out, t)
		}
	}
	return append(out, last)
}

func (v *View) listed() (all []plan.Target) {
	for _, y := range v.Servers {
		all = append(all, y.Target)
	}
	return all
}

// worked says whether a server's work is over, by who is to say so.
func (l *Lead) worked(w *Work, x *Step, passed int64, v *View) (why string, done bool) {
	switch w.Plan.DoneBy {
	case "time":
		return "its time is over", passed >= int64(w.Plan.Work)
	case "start":
		y, ok := v.server(x.ID)
		return "the list shows a new start", ok && y.Listed && y.Since > x.Since
	}
	return "", false // a call at a door
}

// possible says why the rest of a plan can no longer be done by what is listed.
func (l *Lead) possible(w *Work, v *View) error {
	listed := v.listed()
	for _, x := range w.Steps {
		if x.Phase != Waiting {
			continue
		}
		if _, ok := v.server(x.ID); !ok {
			return fmt.Errorf("servers: %s is no longer listed", x.ID)
		}
		if err := w.Plan.Allows([]plan.Target{x.Target}, listed); err != nil {
			return err
		}
	}
	return nil
}

// ready is the next step that may begin; nil where none may: the window is closed, service has not come back, or too much is out already.
func (l *Lead) ready(s *State, w *Work, v *View) *Step {
	if !w.Plan.Open(v.Wall) || v.Cut || !l.settled(v.Now) {
		return nil
	}
	for i := range w.Steps {
		x := &w.Steps[i]
		if x.Phase != Waiting {
			continue
		}
		y, ok := v.server(x.ID)
		if ok && y.Listed && !y.ManuallyOut && w.Plan.Allows(v.away(s, x.Target), v.listed()) == nil {
			return x
		}
	}
	return nil
}

// late is what is told of a server that does not come back.
func late(w *Work, x *Step, passed int64, listed bool) string {
	if passed < 10*sec+2*int64(w.Plan.Work) {
		return x.Note
	}
	if !listed {
		return "its work is over and it is not listed as ready"
	}
	return "it is back and does not serve as it should"
}
