package control

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ivybank/wire"
)

// metricsOf returns the set of metric lines of a control process.
func metricsOf(t *testing.T, p *nodeProcess) map[string]bool {
	t.Helper()
	var text bytes.Buffer
	p.node.writeMetrics(t.Context(), &text)
	lines := map[string]bool{}
	for _, line := range strings.Split(text.String(), "\n") {
		lines[line] = true
	}
	return lines
}

func TestMetricsOfControlProcess(t *testing.T) {
	sim, _ := newRestartSimulation(t, 0)
	sim.runUntilLed(5 * time.Second)
	leaders, owned := 0, 0
	for _, m := range sim.machines {
		lines := metricsOf(t, m.node)
		for _, line := range []string{"ivybank_control_members 3", "ivybank_control_losses_borne 1",
			"ivybank_control_leader_known 1", `ivybank_control_dropped_total{cause="malformed"} 0`} {
			assert.Assert(t, lines[line], "%s is not in %v", line, lines)
		}
		if lines["ivybank_control_leading 1"] {
			leaders++
			assert.Assert(t, m.node.node.replica.Leading(m.node.Now()))
		}
		if lines[`ivybank_control_shard_owned{shard="0"} 1`] {
			owned++
		}
	}
	assert.Equal(t, leaders, 1)
	assert.Assert(t, owned <= 1)
}

func TestOperatorResponsesAndRoleChangesAreCounted(t *testing.T) {
	sim, _ := newRestartSimulation(t, 0)
	p := sim.machines[0].node
	sim.runUntilLed(5 * time.Second)
	p.node.counters.countResponse(callReplace, http.StatusOK)
	p.node.counters.countResponse(callReplace, http.StatusOK)
	p.node.counters.countResponse(callGet, http.StatusServiceUnavailable)
	lines := metricsOf(t, p)
	assert.Assert(t, lines[`ivybank_control_calls_total{call="replace",status="200"} 2`], "%v", lines)
	assert.Assert(t, lines[`ivybank_control_calls_total{call="get",status="503"} 1`], "%v", lines)
	assert.Assert(t, !lines["ivybank_control_role_changes_total 0"], "%v", lines)
}

// Requests to unknown paths, answered 404, calls answered 503 and calls without an answer were once not counted at all.
func TestUnservedCallsAreCounted(t *testing.T) {
	n := &Node{counters: newNodeCounters(), env: stillEnvironment{}}
	n.countUnknownCalls(http.NewServeMux()).ServeHTTP(httptest.NewRecorder(),
		httptest.NewRequest("POST", "/v1/Locks.Begin/l", nil))
	answers := 0
	n.submitCall(wire.Command{Kind: wire.NextNumber, Name: "n"}, 0, func(a wire.Answer) {
		answers++
		assert.Equal(t, a.Outcome, wire.NotServed)
	})
	n.parts = []*part{{}}
	n.submitCall(wire.Command{Kind: wire.NextNumber, Name: "n"}, -callerTimeout-1, func(a wire.Answer) {
		answers++
		assert.Equal(t, a.Outcome, wire.OutcomeUnknown)
	})
	assert.Equal(t, answers, 2)
	var text bytes.Buffer
	n.counters.set.WritePrometheus(&text)
	for _, line := range []string{"ivybank_control_unknown_calls_total 1",
		`ivybank_control_part_refused_total{reason="no_leader"} 1`,
		`ivybank_control_part_unanswered_total{reason="late"} 1`} {
		assert.Assert(t, strings.Contains(text.String(), line+"\n"), "%s is not in %s", line, text.String())
	}
}

// stillEnvironment has a clock that is always 0.
type stillEnvironment struct{ Environment }

func (stillEnvironment) Now() time.Duration { return 0 }
