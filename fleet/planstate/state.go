// Package planstate is the replicated state machine of maintenance plans: the commands that all members agreed on,
// applied one after another, and the scheduler by which the leader proposes the next ones. It does no I/O and no
// consensus: package quorum agrees on the commands.
//
// This file holds the agreed state and what each command does to it. No step starts if a plan's limits forbid it, and
// no command of a leader whose term is over is applied.
package planstate

import (
	"cmp"
	"fmt"
	"slices"

	"ivybank/fleet/plan"
)

// Phase is the phase of a step.
type Phase uint8

// The phases of a step, in order. A server counts as out of service from Draining until it is Done.
const (
	Waiting   Phase = iota
	Draining        // all members are told to send the server no new requests
	Out             // no member has a request open at the server: the work may begin
	Returning       // the work is done: the server starts cold and is warmed up
	Done
	Dropped // the plan was abandoned before the work at the server began
)

func (p Phase) String() string {
	return [...]string{"waits", "drains", "out", "back", "done", "dropped"}[min(p, Dropped)]
}

// Unavailable reports whether a server in this phase counts as out of service.
func (p Phase) Unavailable() bool { return p == Draining || p == Out || p == Returning }

// Step is the part of a plan that concerns one server.
type Step struct {
	plan.Target
	Phase         Phase
	Index         uint64 // of the command that set the phase
	Term          uint64
	At            int64  // Unix ns by the proposer's clock; for display only
	Cancellations int    // drains that were cancelled
	Note          string // what an operator should know about the step
}

// PlanStatus is the status of a plan.
type PlanStatus uint8

// The statuses of a plan.
const (
	Running PlanStatus = iota
	Paused
	Ended
	Abandoned
)

func (s PlanStatus) String() string {
	return [...]string{"runs", "paused", "ended", "abandoned"}[min(s, Abandoned)]
}

// PlanRun is a submitted plan and its progress.
type PlanRun struct {
	Plan   plan.Plan
	Status PlanStatus
	Reason string // why the plan was paused or abandoned
	Steps  []Step
	Events []Event // the latest ones, at most maxEvents
}

// Event is an entry of a plan's history. It is sent to operators as JSON under the names of its fields.
type Event struct {
	Index  uint64
	At     int64 // Unix ns by the proposer's clock
	What   string
	Server string `json:"About"` // empty if the event concerns the whole plan
}

const (
	maxEvents = 400 // kept for each plan
	maxPlans  = 32  // kept in the state; beyond that the oldest plans that are over are removed
)

// State is the state that all members agree on.
type State struct {
	Index uint64 // of the latest command applied
	Runs  []*PlanRun
}

// Kind is the kind of a command.
type Kind uint8

// The kinds of commands. Operators' commands, which come before StartDrain, are accepted by any member. StartDrain
// and those after it are proposed by a leader only, and are void in another term.
const (
	Submit         Kind = iota + 1
	Pause               // starts no new steps; a leader also proposes it if the plan has become infeasible
	Resume              // continues a paused plan
	Abandon             // starts no new steps; servers that are out return
	FinishWork          // an operator reports that the work at a server is done
	StartDrain          // the server starts to drain
	CancelDrain         // the server stays in service after all, because of other faults
	ConfirmDrained      // no member has a request open at the server
	StartReturn         // the work at the server is over
	Complete            // the server is warm and in service: the step is done
	SetNote             // sets the note of a step
)

// Command is a command that the members agree on. The cbor tags keep the encoded names of its fields.
type Command struct {
	Kind       Kind
	Plan       string
	Server     string
	Index      uint64     // of the step when proposed; the command is rejected if the step has moved on
	Term       uint64     // of the leader that proposes the command
	At         int64      // Unix ns by the proposer's clock
	Reason     string     `cbor:"Why"`
	Definition *plan.Plan `cbor:"Body"`
	Targets    []plan.Target
}

// leaderOnly reports whether only a leader may propose the command.
func (cmd *Command) leaderOnly() bool { return cmd.Kind >= StartDrain }

// Find returns the plan with the given id, or nil.
func (s *State) Find(id string) *PlanRun {
	i := slices.IndexFunc(s.Runs, func(run *PlanRun) bool { return run.Plan.ID == id })
	if i < 0 {
		return nil
	}
	return s.Runs[i]
}

// Find returns the step of a server, or nil.
func (run *PlanRun) Find(server string) *Step {
	i := slices.IndexFunc(run.Steps, func(step Step) bool { return step.ID == server })
	if i < 0 {
		return nil
	}
	return &run.Steps[i]
}

// Unavailable returns the servers that count as out of service, across all plans.
func (s *State) Unavailable() (all []plan.Target) {
	for _, run := range s.Runs {
		for _, step := range run.Steps {
			if step.Phase.Unavailable() {
				all = append(all, step.Target)
			}
		}
	}
	return all
}

// Phase returns the phase and the step of a server that a plan has out of service, or Waiting and nil if no plan has.
func (s *State) Phase(server string) (p Phase, step *Step) {
	for _, run := range s.Runs {
		if step := run.Find(server); step != nil && step.Phase.Unavailable() {
			return step.Phase, step
		}
	}
	return Waiting, nil
}

// Busy reports whether any plan is running or has a server out of service.
func (s *State) Busy() bool {
	return slices.ContainsFunc(s.Runs, func(run *PlanRun) bool {
		return run.Status == Running ||
			slices.ContainsFunc(run.Steps, func(step Step) bool { return step.Phase.Unavailable() })
	})
}

// Apply applies the command that was agreed on at index in term. If the command no longer fits the state, Apply
// returns an error that says why and changes nothing else. The same commands give the same state at all members.
func (s *State) Apply(index, term uint64, cmd *Command) error {
	s.Index = index
	if cmd.leaderOnly() && cmd.Term != term {
		return fmt.Errorf("of term %d, agreed on in %d: its leader is no more", cmd.Term, term)
	}
	run := s.Find(cmd.Plan)
	if cmd.Kind == Submit {
		return s.submit(index, run, cmd)
	}
	if run == nil {
		return fmt.Errorf("no plan %q", cmd.Plan)
	}
	switch cmd.Kind {
	case Pause:
		if run.Status != Running {
			return fmt.Errorf("plan %s %s", cmd.Plan, run.Status)
		}
		run.Status, run.Reason = Paused, cmd.Reason
	case Resume:
		if run.Status != Paused {
			return fmt.Errorf("plan %s %s", cmd.Plan, run.Status)
		}
		run.Status, run.Reason = Running, ""
	case Abandon:
		if run.Status >= Ended {
			return fmt.Errorf("plan %s %s", cmd.Plan, run.Status)
		}
		run.Status, run.Reason = Abandoned, cmd.Reason
		for i := range run.Steps {
			if run.Steps[i].Phase == Waiting {
				run.Steps[i].Phase = Dropped
			}
		}
	default:
		return s.moveStep(index, run, cmd)
	}
	run.recordEvent(index, cmd, "")
	return nil
}

func (s *State) submit(index uint64, existing *PlanRun, cmd *Command) error {
	if existing != nil {
		return nil // submitting a plan again has no effect
	}
	if cmd.Definition == nil || cmd.Definition.ID != cmd.Plan || len(cmd.Targets) == 0 {
		return fmt.Errorf("plan %q is not whole", cmd.Plan)
	}
	run := &PlanRun{Plan: *cmd.Definition}
	for _, t := range cmd.Targets {
		run.Steps = append(run.Steps, Step{Target: t, Index: index})
	}
	s.Runs = append(s.Runs, run)
	run.recordEvent(index, cmd, "")
	for i := 0; len(s.Runs) > maxPlans && i < len(s.Runs); i++ {
		if s.Runs[i].Status >= Ended && len(s.Runs[i].unavailable()) == 0 {
			s.Runs = slices.Delete(s.Runs, i, i+1)
			i--
		}
	}
	return nil
}

func (run *PlanRun) unavailable() (all []plan.Target) {
	for _, step := range run.Steps {
		if step.Phase.Unavailable() {
			all = append(all, step.Target)
		}
	}
	return all
}

// transitions gives the phase in which a command expects a step and the phase to which it moves it.
var transitions = map[Kind]struct{ from, to Phase }{
	StartDrain: {Waiting, Draining}, CancelDrain: {Draining, Waiting}, ConfirmDrained: {Draining, Out},
	StartReturn: {Out, Returning}, FinishWork: {Out, Returning}, Complete: {Returning, Done},
}

// moveStep moves a step to its next phase. A step starts only within the limits of all plans that have servers out,
// judged by the agreed state alone.
func (s *State) moveStep(index uint64, run *PlanRun, cmd *Command) error {
	step := run.Find(cmd.Server)
	if step == nil {
		return fmt.Errorf("plan %s has no server %q", cmd.Plan, cmd.Server)
	}
	if cmd.Kind == SetNote {
		step.Note = cmd.Reason
		run.recordEvent(index, cmd, cmd.Reason)
		return nil
	}
	transition, known := transitions[cmd.Kind]
	switch {
	case !known:
		return fmt.Errorf("no command %d", cmd.Kind)
	case step.Phase != transition.from || cmd.leaderOnly() && cmd.Index != step.Index:
		return fmt.Errorf("%s %s, since %d", cmd.Server, step.Phase, step.Index)
	case cmd.Kind == StartDrain:
		if err := s.checkStart(run, step); err != nil {
			return err
		}
	case cmd.Kind == CancelDrain:
		step.Cancellations++
		if run.Status == Abandoned {
			transition.to = Dropped
		}
	}
	step.Phase, step.Index, step.Term, step.At, step.Note = transition.to, index, cmd.Term, cmd.At, ""
	run.recordEvent(index, cmd, cmd.Reason)
	if run.Status == Running && !slices.ContainsFunc(run.Steps, func(step Step) bool { return step.Phase < Done }) {
		run.Status = Ended
		run.recordEvent(index, &Command{At: cmd.At}, "ended")
	}
	return nil
}

// checkStart returns an error if a step may not start now: its plan is not running, another plan has the server out,
// or too many servers would be out by the limits of its own plan or of any other plan that has servers out. The
// current list of servers is checked by the leader that proposes the command, not here.
func (s *State) checkStart(run *PlanRun, step *Step) error {
	if run.Status != Running {
		return fmt.Errorf("plan %s %s", run.Plan.ID, run.Status)
	}
	if phase, _ := s.Phase(step.ID); phase != Waiting {
		return fmt.Errorf("%s %s by another plan", step.ID, phase)
	}
	out := append(s.Unavailable(), step.Target)
	for _, other := range s.Runs {
		if other != run && len(other.unavailable()) == 0 {
			continue
		}
		if err := other.Plan.CheckMaxOut(out); err != nil {
			return fmt.Errorf("plan %s: %w", other.Plan.ID, err)
		}
	}
	return nil
}

var kindTexts = map[Kind]string{Submit: "submitted", Pause: "paused", Resume: "resumed", Abandon: "abandoned",
	FinishWork: "said to be done", StartDrain: "drains", CancelDrain: "undone",
	ConfirmDrained: "out", StartReturn: "back", Complete: "done", SetNote: "told"}

// recordEvent adds a command to the plan's history; text is used if the command's kind has no text.
func (run *PlanRun) recordEvent(index uint64, cmd *Command, text string) {
	what := cmp.Or(kindTexts[cmd.Kind], text)
	if cmd.Reason != "" {
		what += ": " + cmd.Reason
	}
	run.Events = append(run.Events, Event{index, cmd.At, what, cmd.Server})
	if len(run.Events) > maxEvents {
		run.Events = run.Events[len(run.Events)-maxEvents:]
	}
}

// Describe returns the text by which logs and events tell what a command does.
func Describe(k Kind) string { return kindTexts[k] }
