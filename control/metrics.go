package control

import (
	"context"
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"
)

// nodeCounters holds the counters of a control process that its status doesn't include. They are safe for concurrent
// use.
type nodeCounters struct {
	set             *metrics.Set
	roleChanges     *metrics.Counter
	unknownCalls    *metrics.Counter             // requests without a matching route
	partCallSeconds *metrics.PrometheusHistogram // from receipt to answer of an application call, without watches
}

// refusalReason is why an application call was answered 503.
type refusalReason string

// unansweredReason is why an application call got no answer.
type unansweredReason string

// hostListResult is how a read of the platform's host list ended.
type hostListResult string

// Values of the result label.
const (
	hostListRead     hostListResult = "read"
	hostListFailed   hostListResult = "failed"
	hostListOutdated hostListResult = "outdated" // it took longer than hostlist.ReadTimeout
)

// Values of the reason labels.
const (
	refusedNoLeader      refusalReason    = "no_leader"      // no leader was known or reachable
	refusedNotLeader     refusalReason    = "not_leader"     // the call was forwarded here, but this isn't the leader
	refusedWaited        refusalReason    = "waited_long"    // the call waited too long in the leader's queue
	refusedQueueFull     refusalReason    = "queue_full"     // the part's queue was full
	unansweredLate       unansweredReason = "late"           // the call was or became older than callerTimeout
	unansweredLeaderLost unansweredReason = "leader_lost"    // this process lost the leadership with the entry in flight
	unansweredForwarded  unansweredReason = "reply_not_come" // the call was forwarded, and no reply can arrive any more
)

func newNodeCounters() nodeCounters {
	set := metrics.NewSet()
	return nodeCounters{set: set, roleChanges: set.NewCounter("ivybank_control_role_changes_total"),
		unknownCalls:    set.NewCounter("ivybank_control_unknown_calls_total"),
		partCallSeconds: set.NewPrometheusHistogram("ivybank_control_part_call_seconds")}
}

// countRefused counts an application call that was answered 503.
func (c *nodeCounters) countRefused(reason refusalReason) {
	c.set.GetOrCreateCounter(fmt.Sprintf("ivybank_control_part_refused_total{reason=%q}", reason)).Inc()
}

// countUnanswered counts an application call that got no answer.
func (c *nodeCounters) countUnanswered(reason unansweredReason) {
	c.set.GetOrCreateCounter(fmt.Sprintf("ivybank_control_part_unanswered_total{reason=%q}", reason)).Inc()
}

// countResponse counts a call by its kind and HTTP status.
func (c *nodeCounters) countResponse(call operatorCall, status int) {
	c.set.GetOrCreateCounter(fmt.Sprintf("ivybank_control_calls_total{call=%q,status=\"%d\"}", call, status)).Inc()
}

// countHostListRead counts a read of the platform's host list.
func (c *nodeCounters) countHostListRead(result hostListResult) {
	c.set.GetOrCreateCounter(fmt.Sprintf("ivybank_control_host_list_reads_total{result=%q}", result)).Inc()
}

// writeMetrics writes the metrics of the process in the Prometheus text format.
func (n *Node) writeMetrics(ctx context.Context, w io.Writer) {
	statuses := make(chan Status, 1)
	n.env.Do(func() { statuses <- n.status() })
	select {
	case s := <-statuses:
		s.write(w)
		n.counters.set.WritePrometheus(w)
	case <-ctx.Done():
	}
}

// write writes the status as metrics.
func (s *Status) write(w io.Writer) {
	for _, gauge := range []struct {
		name  string
		value uint64
	}{
		{"ivybank_control_leading", boolGauge(s.Leading)},
		{"ivybank_control_leader_known", boolGauge(s.Leader != "")},
		{"ivybank_control_term", s.Term},
		{"ivybank_control_entry", s.Entry},
		{"ivybank_control_committed_entry", s.Commit},
		{"ivybank_control_revision", uint64(s.Revision)},
		{"ivybank_control_members", uint64(len(s.Members))},
		{"ivybank_control_members_changing", boolGauge(s.Changing)},
		{"ivybank_control_losses_borne", uint64(s.LossesTolerated)},
		{"ivybank_control_agents", uint64(s.Agents)},
	} {
		metrics.WriteGaugeUint64(w, gauge.name, gauge.value)
	}
	for _, shard := range s.Shards {
		metrics.WriteGaugeUint64(w, fmt.Sprintf("ivybank_control_shard_owned{shard=\"%d\"}", shard.Number),
			boolGauge(shard.Owned))
	}
	for _, p := range s.Parts {
		p.write(w)
	}
	for _, dropped := range []struct {
		cause string
		count int64
	}{
		{"earlier_life", s.Dropped.EarlierIncarnation},
		{"not_member", s.Dropped.NotMember},
		{"quota_not_owned", s.Dropped.QuotaNotOwned},
		{"unknown_part", s.Dropped.UnknownPart},
		{"other_fleet", s.Dropped.OtherFleet},
		{"oversized", s.Dropped.Oversized},
		{"unknown_kind", s.Dropped.UnknownKind},
		{"no_greeting", s.Dropped.NoGreeting},
		{"malformed", s.Dropped.Malformed},
		{"spoilt_datagram", s.UnreadableDatagrams},
	} {
		metrics.WriteCounterUint64(w, fmt.Sprintf("ivybank_control_dropped_total{cause=%q}", dropped.cause),
			uint64(dropped.count))
	}
}

// write writes the status of a part as metrics.
func (p *PartStatus) write(w io.Writer) {
	for _, gauge := range []struct {
		name  string
		value uint64
	}{
		{"leading", boolGauge(p.Leading)},
		{"leader_known", boolGauge(p.Leader != "")},
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

// boolGauge returns 1 for true and 0 for false.
func boolGauge(value bool) uint64 {
	if value {
		return 1
	}
	return 0
}
