package router

import (
	"context"
	"time"

	"ivybank/control/hostlist"
	"ivybank/wire"
)

// reportInterval is how often a router reports the event intervals of hosts: the typical time between two events of a
// host's streams.
const reportInterval = 200 * time.Millisecond

// reportEventIntervals reports the event intervals that this router has measured to the owners of the services'
// shards, until the context ends.
func (r *Router) reportEventIntervals(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for name := range *r.services.Load() {
			r.reportServiceIntervals(name)
		}
	}
}

func (r *Router) reportServiceIntervals(service string) {
	intervals := r.service(service).TakeEventIntervals()
	agent := r.agent.Load()
	if len(intervals) == 0 || agent == nil {
		return
	}
	report := &wire.EventIntervals{Shard: hostlist.ShardOf(service), Service: service}
	for id, interval := range intervals {
		report.Hosts = append(report.Hosts, wire.HostEventInterval{Host: id, Microseconds: interval.Microseconds()})
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
