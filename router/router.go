// Package router is the data plane of a fleet. It accepts client requests, chooses a host for each by the
// configuration and host lists that its agent feeds it and by its own observations, and forwards them over HTTP/1.1.
package router

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"ivybank/config"
	"ivybank/control/hostlist"
	"ivybank/router/limit"
	"ivybank/router/policy"
	"ivybank/router/table"
	"ivybank/router/upstream"
	"ivybank/settings"
	"ivybank/wire"
)

// Router is one router process.
type Router struct {
	settings  *settings.Settings
	log       hclog.Logger
	startTime time.Time
	pool      *upstream.Pool
	table     atomic.Pointer[table.Table]
	services  atomic.Pointer[map[string]*policy.Service]
	serving   chan struct{} // closed once a configuration and the hosts of its services have arrived
	stopping  atomic.Bool
	active    atomic.Int64 // requests in progress
	limiter   *limit.Limiter
	retries   *retryBudgets
	metrics   *routerMetrics
	agent     atomic.Pointer[wire.Link]

	feedMu sync.Mutex // guards hosts
	hosts  [hostlist.ShardCount]hostlist.Replica
}

// New returns a router that does not serve yet.
func New(s *settings.Settings, log hclog.Logger) *Router {
	r := &Router{settings: s, log: log, startTime: time.Now(), serving: make(chan struct{}), pool: upstream.NewPool(),
		limiter: limit.New(s.NodeName)}
	r.metrics = newRouterMetrics(r.limiter.RejectionCounts)
	r.retries = newRetryBudgets(s.Bounds, r.now)
	r.services.Store(&map[string]*policy.Service{})
	return r
}

func (r *Router) now() time.Duration { return time.Since(r.startTime) }

// followAgent subscribes to the feed of the agent on the same machine, until the context ends.
func (r *Router) followAgent(ctx context.Context) {
	address := net.JoinHostPort("127.0.0.1", strconv.Itoa(r.settings.LocalPort()))
	hello := wire.Hello{Role: wire.RoleRouter, Node: r.settings.NodeName, IP: r.settings.IP}
	var eventMu sync.Mutex // events are handled one at a time
	link := wire.Open(ctx, address, hello, wire.LinkEvents{Subscribe: r.subscribe, Received: r.onAgentMessage}, func(event func()) {
		eventMu.Lock()
		defer eventMu.Unlock()
		event()
	})
	r.limiter.Connect(link.Send)
	r.agent.Store(link)
	<-ctx.Done()
}

func (r *Router) onAgentMessage(m *wire.Message) {
	switch {
	case m.Config != nil:
		r.applyConfig(m.Config)
	case m.Hosts != nil:
		if !r.applyHosts(m.Hosts) {
			if agent := r.agent.Load(); agent != nil {
				agent.Send(r.subscribe())
			}
		}
	case m.QuotaGrant != nil:
		r.limiter.HandleGrant(m.QuotaGrant)
	case m.SlowHosts != nil:
		r.applySlowHosts(m.SlowHosts)
	}
}

func (r *Router) subscribe() *wire.Message {
	r.feedMu.Lock()
	defer r.feedMu.Unlock()
	return &wire.Message{Subscribe: r.feedPosition()}
}

func (r *Router) feedPosition() *wire.Subscribe {
	s := &wire.Subscribe{Hosts: map[uint32]wire.HostsOffset{}}
	if t := r.table.Load(); t != nil {
		s.Config = t.Revision
	}
	for i := range r.hosts {
		s.Hosts[uint32(i)] = r.hosts[i].At
	}
	return s
}

// applyConfig activates a configuration if it is newer than the active one.
func (r *Router) applyConfig(c *wire.Config) {
	if t := r.table.Load(); t != nil && c.Revision <= t.Revision {
		return
	}
	body, err := wire.Inflate(c.Body)
	if err != nil {
		r.log.Error("cannot read configuration", "revision", c.Revision, "error", err)
		return
	}
	parsed, err := config.Decode(body)
	if err != nil {
		r.log.Error("cannot read configuration", "revision", c.Revision, "error", err)
		return
	}
	next := table.Compile(parsed)
	r.feedMu.Lock()
	defer r.feedMu.Unlock()
	r.addServices(next)
	r.table.Store(next)
	r.updateServing()
	r.log.Info("configuration activated", "revision", next.Revision)
}

// addServices replaces the service map by one that also has all services of a table. Services of earlier tables stay,
// with what is known of their hosts.
func (r *Router) addServices(t *table.Table) {
	old := *r.services.Load()
	next := make(map[string]*policy.Service, len(old)+len(t.Services))
	for name, service := range old {
		next[name] = service
	}
	for name := range t.Services {
		if next[name] == nil {
			next[name] = policy.NewService(rand.Uint64(), r.logEjection)
			next[name].SetHosts(r.hostsOf(name))
		}
	}
	r.services.Store(&next)
}

func (r *Router) logEjection(id string, health float64, until time.Duration) {
	r.metrics.ejections.Inc()
	r.log.Info("host ejected", "host", id, "health", health, "for", (until - r.now()).Round(time.Millisecond))
}

func (r *Router) hostsOf(service string) []policy.Host {
	var hosts []policy.Host
	for _, h := range r.hosts[hostlist.ShardOf(service)].Hosts {
		if h.Service == service {
			hosts = append(hosts, policy.Host{ID: h.ID, Address: h.Address, Zone: h.Zone, Slots: h.Slots, Draining: h.Draining})
		}
	}
	return hosts
}

// applyHosts applies a change of a host list. It reports false if an earlier change is missing.
func (r *Router) applyHosts(c *wire.Hosts) bool {
	if int(c.Shard) >= len(r.hosts) {
		return true
	}
	r.feedMu.Lock()
	defer r.feedMu.Unlock()
	if !r.hosts[c.Shard].Apply(c) {
		return false
	}
	r.updateServing()
	for name, service := range *r.services.Load() {
		if hostlist.ShardOf(name) == c.Shard {
			service.SetHosts(r.hostsOf(name))
		}
	}
	return true
}

// updateServing closes r.serving once the hosts of all configured services are known. The caller holds r.feedMu.
func (r *Router) updateServing() {
	t := r.table.Load()
	if t == nil || r.isServing() {
		return
	}
	for name := range t.Services {
		if r.hosts[hostlist.ShardOf(name)].At.Offset == 0 {
			return
		}
	}
	close(r.serving)
}

func (r *Router) isServing() bool {
	select {
	case <-r.serving:
		return true
	default:
		return false
	}
}

// service returns the service of a name; nil if no configuration has named it.
func (r *Router) service(name string) *policy.Service { return (*r.services.Load())[name] }
