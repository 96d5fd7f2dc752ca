package router

import (
	"context"
	"time"

	"ivybank/control/hostlist"
	"ivybank/wire"
)

// pacesInterval is how often a router tells how fast hosts stream.
const pacesInterval = 200 * time.Millisecond

// reportPaces tells the owners of services' shards, until the context ends, what this router saw of their hosts.
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
	taken := r.service(service).TakePaces()
	agent := r.agent.Load()
	if len(taken) == 0 || agent == nil {
		return
	}
	told := &wire.EventIntervals{Shard: hostlist.ShardOf(service), Service: service}
	for id, gap := range taken {
		told.Hosts = append(told.Hosts, wire.HostEventInterval{Host: id, Microseconds: gap.Microseconds()})
	}
	agent.Send(&wire.Message{EventIntervals: told})
}

// takeSlowHosts hands the fleet's word on slow hosts to the services of a shard.
func (r *Router) takeSlowHosts(m *wire.SlowHosts) {
	ratios := make(map[string]float64, len(m.Hosts))
	for _, h := range m.Hosts {
		ratios[h.ID] = h.Ratio
	}
	for name, service := range *r.services.Load() {
		if hostlist.ShardOf(name) == m.Shard {
			service.SetSlow(ratios, r.now())
		}
	}
}
