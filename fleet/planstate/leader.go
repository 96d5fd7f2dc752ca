package planstate

// This file holds the leader's scheduler: what the leader proposes next, judged by the agreed state and by what it
// observes now. It counts each member's report once, never takes a report from before a drain as one about that
// drain, and never takes elapsed time as a sign that capacity has come back.

import (
	"fmt"
	"slices"

	"ivybank/fleet/plan"
)

const sec = int64(1e9)

// LeaderConfig holds the leader's settings. Times are in nanoseconds.
type LeaderConfig struct {
	Grace            int64   // how long after hearing of a drain a member may take to comply
	MaxClientTimeout int64   // the longest client timeout, after which no request that was open before is still open
	MinService       float64 // fraction of the requested worth that is served before another server may go out
	SettleTime       int64   // how long service has to be that good
}

// Member is a member of the fleet as the leader sees it.
type Member struct {
	ID           int            // index in the configured list of members
	Reachable    bool           // the member takes part and was heard from recently
	AppliedIndex uint64         // of the latest command that the member reports to have applied
	Open         map[string]int // dispatches that the member has open, by server that is out of service
}

// Server is a server as the leader sees it now.
type Server struct {
	plan.Target
	Listed      bool // as ready
	Healthy     bool // neither ejected nor silent
	Warm        bool // past its ramp
	ManuallyOut bool // an operator has taken it out by hand
}

// View is what the leader observes. Now is monotonic and in nanoseconds; Wall is in Unix ns.
type View struct {
	Now, Wall int64
	Members   []Member // all configured members, the leader included
	Servers   []Server // sorted by id
	Service   float64  // recent fraction of the requested worth that was served, from 0 to 1
	Shedding  bool     // load is being shed because of an overload
}

// Leader is the state that a leader keeps for one term. Each new leader starts its waits anew, which makes a step
// late rather than early.
type Leader struct {
	config       LeaderConfig
	term         uint64
	phaseSince   map[string]int64  // by plan and server: when this leader saw the step enter its phase
	phaseIndex   map[string]uint64 // by plan and server: the index of the step at that time
	healthySince int64             // when service became good enough; 0: it is not
}

// NewLeader returns the state of a leader whose term begins.
func NewLeader(config LeaderConfig, term uint64) *Leader {
	return &Leader{config: config, term: term, phaseSince: map[string]int64{}, phaseIndex: map[string]uint64{}}
}

// Next returns the commands to propose now: one for each step that may move on, and at most one that starts a step.
func (l *Leader) Next(s *State, v View) (out []Command) {
	if v.Service < l.config.MinService || v.Shedding {
		l.healthySince = 0
	} else if l.healthySince == 0 {
		l.healthySince = v.Now
	}
	propose := func(k Kind, run *PlanRun, step *Step, reason string) {
		cmd := Command{Kind: k, Plan: run.Plan.ID, Term: l.term, At: v.Wall, Reason: reason}
		if step != nil {
			cmd.Server, cmd.Index = step.ID, step.Index
		}
		out = append(out, cmd)
	}
	started := false
	for _, run := range s.Runs {
		for i := range run.Steps {
			step := &run.Steps[i]
			if !step.Phase.Unavailable() {
				continue
			}
			timeInPhase := l.timeInPhase(run, step, v.Now)
			switch step.Phase {
			case Draining:
				if reason := l.cancelReason(s, run, step, &v); reason != "" {
					propose(CancelDrain, run, step, reason)
				} else if l.drained(step, timeInPhase, &v) {
					propose(ConfirmDrained, run, step, "")
				}
			case Out:
				if reason, done := l.workDone(run, step, timeInPhase, &v); done {
					propose(StartReturn, run, step, reason)
				}
			case Returning:
				if server, ok := v.server(step.ID); ok && server.Listed && server.Healthy && server.Warm &&
					l.settled(v.Now) {
					propose(Complete, run, step, "")
				} else if note := overdueNote(run, step, timeInPhase, ok && server.Listed); note != step.Note {
					propose(SetNote, run, step, note)
				}
			}
		}
		if run.Status != Running {
			continue
		}
		if err := l.checkFeasible(run, &v); err != nil {
			propose(Pause, run, nil, "infeasible: "+err.Error())
			continue
		}
		if step := l.nextStep(s, run, &v); step != nil && !started {
			started = true
			propose(StartDrain, run, step, "")
		}
	}
	return out
}

// timeInPhase returns how long this leader has seen a step in its phase, in ns.
func (l *Leader) timeInPhase(run *PlanRun, step *Step, now int64) int64 {
	key := run.Plan.ID + "\x00" + step.ID
	if l.phaseIndex[key] != step.Index {
		l.phaseIndex[key], l.phaseSince[key] = step.Index, now
	}
	return now - l.phaseSince[key]
}

// settled reports whether service has been good enough for the settle time.
func (l *Leader) settled(now int64) bool {
	return l.healthySince > 0 && now-l.healthySince >= l.config.SettleTime
}

func (v *View) server(id string) (Server, bool) {
	i := slices.IndexFunc(v.Servers, func(s Server) bool { return s.ID == id })
	if i < 0 {
		return Server{}, false
	}
	return v.Servers[i], true
}

// drained reports whether no request is open at a draining server: each reachable member has reported so since it
// applied the drain, and for the others the grace and the longest client timeout have passed, after which they can
// have nothing open there.
func (l *Leader) drained(step *Step, timeInPhase int64, v *View) bool {
	for _, m := range v.Members {
		if m.Reachable {
			if m.AppliedIndex < step.Index || m.Open[step.ID] > 0 {
				return false
			}
		} else if timeInPhase < l.config.Grace+l.config.MaxClientTimeout {
			return false
		}
	}
	return true
}

// cancelReason returns why a draining server goes back into service before its work begins: other faults take
// precedence over plans. It returns an empty string if the drain goes on.
func (l *Leader) cancelReason(s *State, run *PlanRun, step *Step, v *View) string {
	if run.Status == Abandoned {
		return "the plan was abandoned"
	}
	if v.Shedding {
		return "an overload is met with a cut"
	}
	if err := run.Plan.CheckLimits(v.unavailable(s, step.Target), v.listed()); err != nil {
		return err.Error()
	}
	return ""
}

// unavailable returns all servers that are out now for any reason, with the given one last.
func (v *View) unavailable(s *State, last plan.Target) (out []plan.Target) {
	planned := s.Unavailable()
	for _, server := range v.Servers {
		if server.ID != last.ID && (!server.Listed || !server.Healthy || server.ManuallyOut ||
			slices.ContainsFunc(planned, func(t plan.Target) bool { return t.ID == server.ID })) {
			out = append(out, server.Target)
		}
	}
	for _, t := range planned { // servers that a plan has out and that have left the list are out as well
		if _, listed := v.server(t.ID); !listed && t.ID != last.ID {
			out = append(out, t)
		}
	}
	return append(out, last)
}

func (v *View) listed() (all []plan.Target) {
	for _, server := range v.Servers {
		all = append(all, server.Target)
	}
	return all
}

// workDone reports whether the work at a server is over, by the plan's criterion, and why.
func (l *Leader) workDone(run *PlanRun, step *Step, timeInPhase int64, v *View) (reason string, done bool) {
	switch run.Plan.DoneBy {
	case "time":
		return "its time is over", timeInPhase >= int64(run.Plan.WorkTime)
	case "start":
		server, ok := v.server(step.ID)
		return "the list shows a new start", ok && server.Listed && server.Since > step.Since
	}
	return "", false // an operator's call reports it
}

// checkFeasible returns an error if the rest of a plan can no longer be done with the servers that are listed.
func (l *Leader) checkFeasible(run *PlanRun, v *View) error {
	listed := v.listed()
	for _, step := range run.Steps {
		if step.Phase != Waiting {
			continue
		}
		if _, ok := v.server(step.ID); !ok {
			return fmt.Errorf("servers: %s is no longer listed", step.ID)
		}
		if err := run.Plan.CheckLimits([]plan.Target{step.Target}, listed); err != nil {
			return err
		}
	}
	return nil
}

// nextStep returns the next step that may start. It returns nil if the plan's window is closed, service has not
// recovered, or too many servers are out already.
func (l *Leader) nextStep(s *State, run *PlanRun, v *View) *Step {
	if !run.Plan.InWindow(v.Wall) || v.Shedding || !l.settled(v.Now) {
		return nil
	}
	for i := range run.Steps {
		step := &run.Steps[i]
		if step.Phase != Waiting {
			continue
		}
		server, ok := v.server(step.ID)
		if ok && server.Listed && !server.ManuallyOut &&
			run.Plan.CheckLimits(v.unavailable(s, step.Target), v.listed()) == nil {
			return step
		}
	}
	return nil
}

// overdueNote returns the note of a step whose server is returning. Once that has taken longer than 10 s plus twice
// the plan's work time, the note says why the server is not in service yet; until then it stays as it is.
func overdueNote(run *PlanRun, step *Step, timeInPhase int64, listed bool) string {
	if timeInPhase < 10*sec+2*int64(run.Plan.WorkTime) {
		return step.Note
	}
	if !listed {
		return "its work is over and it is not listed as ready"
	}
	return "it is back and does not serve as it should"
}
