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
const mostNotes = 20

// Judge gathers the evidence of one run.
type Judge struct {
	Clock    Clock
	start    int64
	Grace    int64 // a drain that was told binds from then on
	Breaches [5]int
	Notes    []string
	Strain   float64 // the most that a cold server was offered, of what would push it over
	Begun    int     // executions

	runs  map[string][]run    // by req; emptied when all are past what their rule set remembers
	told  map[string]int64    // when a drain or an end was told, by balancer and server; emptied when the host is ready again
	taken map[string]*outcome // open reqs; emptied by their final answer
}

type run struct {
	at    int64
	srv   *Server
	rules balance.RuleSet
}

type outcome struct{ until int64 }

// NewJudge begins without evidence.
func NewJudge(c Clock, grace int64) *Judge {
	return &Judge{Clock: c, start: c.Now(), Grace: grace, runs: map[string][]run{}, told: map[string]int64{}, taken: map[string]*outcome{}}
}

func (j *Judge) breach(rule int, format string, a ...any) {
	j.Breaches[rule]++
	if len(j.Notes) < mostNotes {
		j.Notes = append(j.Notes, fmt.Sprintf("rule %d at %.3f s: ", rule, float64(j.Clock.Now()-j.start)/1e9)+fmt.Sprintf(format, a...))
	}
}

// Broken says whether any rule was.
func (j *Judge) Broken() bool { return j.Breaches != [5]int{} }

// Taken notes a req that a balancer has taken, and until when its client waits.
func (j *Judge) Taken(req string, until int64) {
	if _, open := j.taken[req]; open {
		j.breach(1, "req %s was taken twice", req)
	}
	j.taken[req] = &outcome{until}
}

// Final notes a final answer.
func (j *Judge) Final(req string) {
	o, open := j.taken[req]
	if !open {
		j.breach(1, "req %s got an answer that none was due for", req)
		return
	}
	if now := j.Clock.Now(); now > o.until {
		j.breach(1, "req %s got its answer %.3f s after its client timeout", req, float64(now-o.until)/1e9)
	}
	delete(j.taken, req)
}

// Left notes a client that has gone before its answer: none is due any more.
func (j *Judge) Left(req string) { delete(j.taken, req) }

// Close counts the reqs that never got an answer, at the end of a run.
func (j *Judge) Close() {
	for _, req := range slices.Sorted(maps.Keys(j.taken)) {
		j.breach(1, "req %s never got an answer", req)
	}
}

// began notes that a req begins to run at a server.
func (j *Judge) began(s *Server, job *Job) {
	j.Begun++
	now := j.Clock.Now()
	r := job.Rules
	if r.Effect == balance.Replayable {
		return
	}
	earlier := j.runs[job.Req]
	for _, e := range earlier {
		same := r.Group == balance.GroupAll || e.srv.Zone == s.Zone && (r.Group == balance.GroupZone || e.srv.Cell == s.Cell)
		if r.Effect == balance.NonReplayable || !same || now-e.at >= r.Window {
			j.breach(2, "req %s of %s ran at %s and, %.3f s later, at %s", job.Req, r.Name, e.srv.ID, float64(now-e.at)/1e9, s.ID)
		}
	}
	j.runs[job.Req] = append(earlier, run{now, s, r})
}

// Runs is how often a req has begun to run, where its rule set is not replayable.
func (j *Judge) Runs(req string) int { return len(j.runs[req]) }

// Untrue notes an answer that the evidence speaks against.
func (j *Judge) Untrue(format string, a ...any) { j.breach(1, format, a...) }

// Forget lets go of a req that cannot come again.
func (j *Judge) Forget(req string) { delete(j.runs, req) }

// Told notes what a balancer was told of a server.
func (j *Judge) Told(balancer int, id string, s balance.State) {
	key := fmt.Sprint(balancer, " ", id)
	if s == balance.Running {
		delete(j.told, key)
	} else if _, had := j.told[key]; !had {
		j.told[key] = j.Clock.Now()
	}
}

// Sent notes the first byte of an attempt.
func (j *Judge) Sent(balancer int, id, req string) {
	if at, told := j.told[fmt.Sprint(balancer, " ", id)]; told && j.Clock.Now() > at+j.Grace {
		j.breach(3, "req %s was sent to %s %.3f s after balancer %d was told to send nothing", req, id,
			float64(j.Clock.Now()-at)/1e9, balancer)
	}
}

func (j *Judge) strained(part float64) { j.Strain = max(j.Strain, part) }

func (j *Judge) fell(s *Server) {
	j.breach(4, "%s was pushed over at %.0f%% of its capacity", s.ID, 100*s.Warmth())
}
