package emu

// This file holds the checker, which counts violations of the four rules from what servers and clients saw. It never
// uses information from the balancer under test.

import (
	"fmt"
	"maps"
	"slices"

	"ivybank/balance"
)

// maxNotes bounds the number of violations that are described; all are counted.
const maxNotes = 20

// Checker records the events of one run and checks the four rules:
//  1. each request that a balancer accepts gets one final answer before its client times out
//  2. no request runs more often than its rule set allows
//  3. no attempt is sent to a server after DrainGrace has passed since its drain was announced
//  4. no server that is warming up is overloaded until it fails
type Checker struct {
	Clock          Clock
	start          int64
	DrainGrace     int64  // how long after the announcement of a drain attempts may still be sent, in nanoseconds
	Violations     [5]int // by number of the rule
	Notes          []string
	MaxOverload    float64 // highest load on a server that was warming up, as a fraction of the load at which it fails
	ExecutionCount int     // number of executions that began

	executions     map[string][]execution  // by request, without those of replayable rule sets; removed by Forget
	drainAnnounced map[string]int64        // time at which a drain or end was announced, by balancer and server, until it runs again
	open           map[string]*openRequest // accepted requests without a final answer
}

type execution struct {
	at      int64
	server  *Server
	ruleSet balance.RuleSet
}

type openRequest struct{ deadline int64 }

// NewChecker makes a checker without any recorded events; drainGrace is in nanoseconds.
func NewChecker(c Clock, drainGrace int64) *Checker {
	return &Checker{Clock: c, start: c.Now(), DrainGrace: drainGrace, executions: map[string][]execution{},
		drainAnnounced: map[string]int64{}, open: map[string]*openRequest{}}
}

func (c *Checker) violation(rule int, format string, a ...any) {
	c.Violations[rule]++
	if len(c.Notes) < maxNotes {
		c.Notes = append(c.Notes,
			fmt.Sprintf("rule %d at %.3f s: ", rule, float64(c.Clock.Now()-c.start)/1e9)+fmt.Sprintf(format, a...))
	}
}

// Violated says whether any rule was violated.
func (c *Checker) Violated() bool { return c.Violations != [5]int{} }

// RequestAccepted records that a balancer has accepted a request whose client waits until the time deadline.
func (c *Checker) RequestAccepted(request string, deadline int64) {
	if _, open := c.open[request]; open {
		c.violation(1, "request %s was accepted twice", request)
	}
	c.open[request] = &openRequest{deadline}
}

// Answered records a final answer to a request.
func (c *Checker) Answered(request string) {
	o, open := c.open[request]
	if !open {
		c.violation(1, "request %s got an answer when none was due", request)
		return
	}
	if now := c.Clock.Now(); now > o.deadline {
		c.violation(1, "request %s got its answer %.3f s after its client timeout", request, float64(now-o.deadline)/1e9)
	}
	delete(c.open, request)
}

// ClientLeft records that a client has gone before its answer, so that none is due any more.
func (c *Checker) ClientLeft(request string) { delete(c.open, request) }

// CountUnanswered reports the requests that never got an answer, at the end of a run.
func (c *Checker) CountUnanswered() {
	for _, request := range slices.Sorted(maps.Keys(c.open)) {
		c.violation(1, "request %s never got an answer", request)
	}
}

// executionStarted records that a request begins to run at a server.
func (c *Checker) executionStarted(s *Server, job *Job) {
	c.ExecutionCount++
	now := c.Clock.Now()
	r := job.RuleSet
	if r.Effect == balance.Replayable {
		return
	}
	earlier := c.executions[job.RequestID]
	for _, e := range earlier {
		same := r.Group == balance.GroupAll || e.server.Zone == s.Zone && (r.Group == balance.GroupZone || e.server.Cell == s.Cell)
		if r.Effect == balance.NonReplayable || !same || now-e.at >= r.Window {
			c.violation(2, "request %s of rule set %s ran at %s and, %.3f s later, at %s",
				job.RequestID, r.Name, e.server.ID, float64(now-e.at)/1e9, s.ID)
		}
	}
	c.executions[job.RequestID] = append(earlier, execution{now, s, r})
}

// Executions gives how often a request of a rule set that is not replayable has begun to run.
func (c *Checker) Executions(request string) int { return len(c.executions[request]) }

// ContradictedAnswer reports an answer that contradicts the recorded events.
func (c *Checker) ContradictedAnswer(format string, a ...any) { c.violation(1, format, a...) }

// Forget removes the executions of a request that can't be sent again.
func (c *Checker) Forget(request string) { delete(c.executions, request) }

// StateAnnounced records the state of a server that a balancer was told.
func (c *Checker) StateAnnounced(balancer int, id string, s balance.State) {
	key := fmt.Sprint(balancer, " ", id)
	if s == balance.Running {
		delete(c.drainAnnounced, key)
	} else if _, had := c.drainAnnounced[key]; !had {
		c.drainAnnounced[key] = c.Clock.Now()
	}
}

// AttemptSent records that a balancer begins to send an attempt to a server.
func (c *Checker) AttemptSent(balancer int, id, request string) {
	if at, announced := c.drainAnnounced[fmt.Sprint(balancer, " ", id)]; announced && c.Clock.Now() > at+c.DrainGrace {
		c.violation(3, "request %s was sent to %s %.3f s after balancer %d was told to send nothing", request, id,
			float64(c.Clock.Now()-at)/1e9, balancer)
	}
}

func (c *Checker) recordOverload(fraction float64) { c.MaxOverload = max(c.MaxOverload, fraction) }

func (c *Checker) serverOverloaded(s *Server) {
	c.violation(4, "%s was overloaded at %.0f%% of its capacity", s.ID, 100*s.CapacityFraction())
}
