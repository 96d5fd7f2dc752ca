package agent

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// status is the state of an agent that is exposed as metrics.
type status struct {
	links            int // connected links to control processes
	routers          int
	revision         int64         // of the configuration that the router uses; 0 for none
	confirmed        time.Duration // time since a leader last confirmed a configuration as current
	shardsKnown      int           // shards whose host list is known
	hosts            int           // in the host lists of all shards
	dropped          DropCounts
	invalidDatagrams int64
}

// status collects the state. It may only be called from the event loop.
func (a *Agent) status() status {
	s := status{routers: len(a.routers), confirmed: a.env.Now() - a.confirmedAt, dropped: a.dropped}
	for _, link := range a.links {
		if link.Up() {
			s.links++
		}
	}
	if a.config != nil {
		s.revision = a.config.Revision
	}
	for i := range a.hostTables {
		if a.hostTables[i].At.Term > 0 {
			s.shardsKnown++
		}
		s.hosts += len(a.hostTables[i].Hosts)
	}
	return s
}

// writeMetrics writes the agent's metrics in the Prometheus text format.
func (p *Process) writeMetrics(ctx context.Context, w io.Writer) {
	reply := make(chan status, 1)
	p.enqueue(func() { reply <- p.agent.status() })
	select {
	case s := <-reply:
		s.invalidDatagrams = p.peers.Malformed.Load()
		s.write(w)
	case <-ctx.Done():
	}
}

func (s *status) write(w io.Writer) {
	for _, gauge := range []struct {
		name  string
		value int64
	}{
		{"ivybank_agent_control_links", int64(s.links)},
		{"ivybank_agent_routers", int64(s.routers)},
		{"ivybank_agent_revision", s.revision},
		{"ivybank_agent_shards_known", int64(s.shardsKnown)},
		{"ivybank_agent_hosts", int64(s.hosts)},
	} {
		metrics.WriteGaugeUint64(w, gauge.name, uint64(gauge.value))
	}
	metrics.WriteGaugeFloat64(w, "ivybank_agent_confirmed_seconds", s.confirmed.Seconds())
	for _, dropped := range []struct {
		cause string
		count int64
	}{
		{"old_group", s.dropped.OldGroups},
		{"old_hosts", s.dropped.OldHosts},
		{"other_fleet", s.dropped.OtherFleet},
		{"relayed", s.dropped.Relayed},
		{"spoilt_datagram", s.invalidDatagrams},
	} {
		metrics.WriteCounterUint64(w, fmt.Sprintf("ivybank_agent_dropped_total{cause=%q}", dropped.cause), uint64(dropped.count))
	}
}
