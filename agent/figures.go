package agent

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// status is what an agent tells of itself.
type status struct {
	links       int // to control processes that are up
	routers     int
	revision    int64         // of the configuration that the router acts by; 0 for none
	confirmed   time.Duration // since a leader said last that a configuration is current
	owners      int           // shards whose hosts are known
	hosts       int           // in force
	dropped     Dropped
	badDatagram int64
}

// status collects the state; only the loop calls it.
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
	for i := range a.tables {
		if a.tables[i].At.Term > 0 {
			s.owners++
		}
		s.hosts += len(a.tables[i].Hosts)
	}
	return s
}

// writeFigures gives what an agent tells of itself, in the text format of Prometheus.
func (p *Process) writeFigures(ctx context.Context, w io.Writer) {
	answer := make(chan status, 1)
	p.do(func() { answer <- p.agent.status() })
	select {
	case s := <-answer:
		s.badDatagram = p.peers.Malformed.Load()
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
		{"ivybank_agent_shards_known", int64(s.owners)},
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
		{"spoilt_datagram", s.badDatagram},
	} {
		metrics.WriteCounterUint64(w, fmt.Sprintf("ivybank_agent_dropped_total{cause=%q}", dropped.cause), uint64(dropped.count))
	}
}
