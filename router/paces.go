package router

import (
	"context"
	"time"

	"ivybank/control/hostlist"
	"ivybank/wire"
)

// pacesInterval is how often a router reports the stream paces of hosts. The pace of a host is the typical time
// between two events of its streams.
const pacesInterval = 200 * time.Millisecond

// reportPaces reports the paces that this router has measured to the owners of the services' shards, until the
// context ends.
func (r *Router) reportPaces(ctx context.Context) {
	ticker := time.NewTicker(pacesInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for name := range *r.services.Load() {
			r.reportPacesOf(name)
		}
	}
}

func (r *Router) reportPacesOf(service string) {
	paces := r.service(service).TakePaces()
	agent := r.agent.Load()
	if len(paces) == 0 || agent == nil {
		return
	}
	report := &wire.EventIntervals{Shard: hostlist.ShardOf(service), Service: service}
	for id, pace := range paces {
		report.Hosts = append(report.Hosts, wire.HostEventInterval{Host: id, Microseconds: pace.Microseconds()})
	}
	agent.Send(&wire.Message{EventIntervals: report})
}

// applySlowHosts passes the shard owner's list of slow hosts on to the services of the shard.
func (r *Router) applySlowHosts(m *wire.SlowHosts) {
	ratios := make(map[string]float64, len(m.Hosts))
	for _, h := range m.Hosts {
		ratios[h.ID] = h.Ratio
	}
	for name, service := range *r.services.Load() {
		if hostlist.ShardOf(name) == m.Shard {
			service.SetSlowHosts(ratios, r.now())
		}
	}
}
