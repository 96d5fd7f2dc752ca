package emu

// This file owns the evidence: what servers and clients saw, counted against the four rules. It must never ask the
// balancer under test.

import (
	"fmt"
	"maps"
	"slices"

	"ivybank/balance"
)

// mostNotes bounds the breaches that are told one by one; all are counted.
const maxNotes = 20

// Judge gathers the evidence of one run.
type Checker struct {
	Clock          Clock
	start          int64
	DrainGrace     int64 // a drain that was told binds from then on
	Violations     [5]int
	Notes          []string
	MaxOverload    float64 // the most that a cold server was offered, of what would push it over
	ExecutionCount int     // executions

	executions     map[string][]execution  // by req; emptied when all are past what their rule set remembers
	drainAnnounced map[string]int64        // when a drain or an end was told, by balancer and server; emptied when the host is ready again
	open           map[string]*openRequest // open reqs; emptied by their final answer
}

type execution struct {
	at      int64
	server  *Server
	ruleSet balance.RuleSet
}

type openRequest struct{ deadline int64 }

// NewJudge begins without evidence.
func NewChecker(c Clock, grace int64) *Checker {
	return &Checker{Clock: c, start: c.Now(), DrainGrace: grace, executions: map[string][]execution{}, drainAnnounced: map[string]int64{}, open: map[string]*openRequest{}}
}

func (j *Checker) violation(rule int, format string, a ...any) {
	j.Violations[rule]++
	if len(j.Notes) < maxNotes {
		j.Notes = append(j.Notes, fmt.Sprintf("rule %d at %.3f s: ", rule, float64(j.Clock.Now()-j.start)/1e9)+fmt.Sprintf(format, a...))
	}
}

// Broken says whether any rule was.
func (j *Checker) Violated() bool { return j.Violations != [5]int{} }

// Taken notes a req that a balancer has taken, and until when its client waits.
func (j *Checker) RequestAccepted(req string, until int64) {
	if _, open := j.open[req]; open {
		j.violation(1, "req %s was taken twice", req)
	}
	j.open[req] = &openRequest{until}
}

// Final notes a final answer.
func (j *Checker) Answered(req string) {
	o, open := j.open[req]
	if !open {
		j.violation(1, "req %s got an answer that none was due for", req)
		return
	}
	if now := j.Clock.Now(); now > o.deadline {
		j.violation(1, "req %s got its answer %.3f s after its client timeout", req, float64(now-o.deadline)/1e9)
	}
	delete(j.open, req)
}

// Left notes a client that has gone before its answer: none is due any more.
func (j *Checker) ClientLeft(req string) { delete(j.open, req) }

// Close counts the reqs that never got an answer, at the end of a run.
func (j *Checker) CountUnanswered() {
	for _, req := range slices.Sorted(maps.Keys(j.open)) {
		j.violation(1, "req %s never got an answer", req)
	}
}

// began notes that a req begins to run at a server.
func (j *Checker) executionStarted(s *Server, job *Job) {
	j.ExecutionCount++
	now := j.Clock.Now()
	r := job.RuleSet
	if r.Effect == balance.Replayable {
		return
	}
	earlier := j.executions[job.RequestID]
	for _, e := range earlier {
		same := r.Group == balance.GroupAll || e.server.Zone == s.Zone && (r.Group == balance.GroupZone || e.server.Cell == s.Cell)
		if r.Effect == balance.NonReplayable || !same || now-e.at >= r.Window {
			j.violation(2, "req %s of %s ran at %s and, %.3f s later, at %s", job.RequestID, r.Name, e.server.ID, float64(now-e.at)/1e9, s.ID)
		}
	}
	j.executions[job.RequestID] = append(earlier, execution{now, s, r})
}

// Runs is how often a req has begun to run, where its rule set is not replayable.
func (j *Checker) Executions(req string) int { return len(j.executions[req]) }

// Untrue notes an answer that the evidence speaks against.
func (j *Checker) ContradictedAnswer(format string, a ...any) { j.violation(1, format, a...) }

// Forget lets go of a req that cannot come again.
func (j *Checker) Forget(req string) { delete(j.executions, req) }

// Told notes what a balancer was told of a server.
func (j *Checker) StateAnnounced(balancer int, id string, s balance.State) {
	key := fmt.Sprint(balancer, " ", id)
	if s == balance.Running {
		delete(j.drainAnnounced, key)
	} else if _, had := j.drainAnnounced[key]; !had {
		j.drainAnnounced[key] = j.Clock.Now()
	}
}

// Sent notes the first byte of an attempt.
func (j *Checker) AttemptSent(balancer int, id, req string) {
	if at, told := j.drainAnnounced[fmt.Sprint(balancer, " ", id)]; told && j.Clock.Now() > at+j.DrainGrace {
		j.violation(3, "req %s was sent to %s %.3f s after balancer %d was told to send nothing", req, id,
			float64(j.Clock.Now()-at)/1e9, balancer)
	}
}

func (j *Checker) recordOverload(part float64) { j.MaxOverload = max(j.MaxOverload, part) }

func (j *Checker) serverOverloaded(s *Server) {
	j.violation(4, "%s was pushed over at %.0f%% of its capacity", s.ID, 100*s.CapacityFraction())
}
