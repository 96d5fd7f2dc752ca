package control

import (
	"context"
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"
)

// nodeCounts are the counters of a control process that its status doesn't show. They are safe for concurrent use.
type nodeCounts struct {
	set          *metrics.Set
	roleChanges  *metrics.Counter
	unknownCalls *metrics.Counter             // at paths that nothing serves
	partWait     *metrics.PrometheusHistogram // from when a call of an application was taken until it is answered; watches aside
}

// refusal is why a call of an application was answered 503.
type refusal string

// silence is why a call of an application got no answer.
type silence string

// The reasons.
const (
	refusedNoLeader  refusal = "no_leader"      // none was known or reached
	refusedNotLeader refusal = "not_leader"     // another process passed it on to this one, which doesn't lead
	refusedWaited    refusal = "waited_long"    // its turn at the leader didn't come
	refusedQueueFull refusal = "queue_full"     // too many wait
	silentLate       silence = "late"           // it was, or became, older than its caller's patience
	silentLeaderLost silence = "leader_lost"    // this process lost its office with the entry under way
	silentPassed     silence = "reply_not_come" // it was passed on, and no reply can be expected any more
)

func newNodeCounts() nodeCounts {
	set := metrics.NewSet()
	return nodeCounts{set: set, roleChanges: set.NewCounter("ivybank_control_role_changes_total"),
		unknownCalls: set.NewCounter("ivybank_control_unknown_calls_total"),
		partWait:     set.NewPrometheusHistogram("ivybank_control_part_call_seconds")}
}

// refused counts a call of an application that was answered 503.
func (c *nodeCounts) refused(why refusal) {
	c.set.GetOrCreateCounter(fmt.Sprintf("ivybank_control_part_refused_total{reason=%q}", why)).Inc()
}

// unanswered counts a call of an application that got no answer.
func (c *nodeCounts) unanswered(why silence) {
	c.set.GetOrCreateCounter(fmt.Sprintf("ivybank_control_part_unanswered_total{reason=%q}", why)).Inc()
}

// answered counts an operator's call by its answer.
func (c *nodeCounts) answered(call operatorCall, status int) {
	c.set.GetOrCreateCounter(fmt.Sprintf("ivybank_control_calls_total{call=%q,status=\"%d\"}", call, status)).Inc()
}

// writeFigures gives what a control process tells of itself, in the text format of Prometheus.
func (n *Node) writeFigures(ctx context.Context, w io.Writer) {
	answer := make(chan Status, 1)
	n.env.Do(func() { answer <- n.status() })
	select {
	case s := <-answer:
		s.write(w)
		n.counts.set.WritePrometheus(w)
	case <-ctx.Done():
	}
}

// write gives the status as figures.
func (s *Status) write(w io.Writer) {
	for _, gauge := range []struct {
		name  string
		value uint64
	}{
		{"ivybank_control_leading", number(s.Leading)},
		{"ivybank_control_leader_known", number(s.Leader != "")},
		{"ivybank_control_term", s.Term},
		{"ivybank_control_entry", s.Entry},
		{"ivybank_control_committed_entry", s.Commit},
		{"ivybank_control_revision", uint64(s.Revision)},
		{"ivybank_control_members", uint64(len(s.Members))},
		{"ivybank_control_members_changing", number(s.Changing)},
		{"ivybank_control_losses_borne", uint64(s.Borne)},
		{"ivybank_control_agents", uint64(s.Agents)},
	} {
		metrics.WriteGaugeUint64(w, gauge.name, gauge.value)
	}
	for _, shard := range s.Shards {
		metrics.WriteGaugeUint64(w, fmt.Sprintf("ivybank_control_shard_owned{shard=\"%d\"}", shard.Number), number(shard.Owned))
	}
	for _, p := range s.Parts {
		p.write(w)
	}
	for _, dropped := range []struct {
		cause string
		count int64
	}{
		{"earlier_life", s.Dropped.EarlierLife},
		{"not_member", s.Dropped.NotMember},
		{"quota_not_owned", s.Dropped.QuotaNotOwned},
		{"unknown_part", s.Dropped.UnknownPart},
		{"other_fleet", s.Dropped.OtherFleet},
		{"oversized", s.Dropped.Oversized},
		{"unknown_kind", s.Dropped.UnknownKind},
		{"no_greeting", s.Dropped.NoGreeting},
		{"malformed", s.Dropped.Malformed},
		{"spoilt_datagram", s.Spoilt},
	} {
		metrics.WriteCounterUint64(w, fmt.Sprintf("ivybank_control_dropped_total{cause=%q}", dropped.cause), uint64(dropped.count))
	}
}

// write gives the status of a part as figures.
func (p *PartStatus) write(w io.Writer) {
	for _, gauge := range []struct {
		name  string
		value uint64
	}{
		{"leading", number(p.Leading)},
		{"leader_known", number(p.Leader != "")},
		{"term", p.Term},
		{"entry", p.Entry},
		{"committed_entry", p.Commit},
		{"members", uint64(p.Members)},
		{"queued_calls", uint64(p.Queued)},
		{"watches", uint64(p.Watches)},
	} {
		metrics.WriteGaugeUint64(w, fmt.Sprintf("ivybank_control_part_%s{part=\"%d\"}", gauge.name, p.Number), gauge.value)
	}
}

// number is 1 for true.
func number(yes bool) uint64 {
	if yes {
		return 1
	}
	return 0
}
