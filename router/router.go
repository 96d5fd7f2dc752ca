// Package router is the data plane of a fleet: it takes requests from clients, decides on each with what its agent
// feeds it and what it has seen itself, and carries it out over HTTP/1.1.
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
	start     time.Time
	pool      *upstream.Pool
	table     atomic.Pointer[table.Table]
	services  atomic.Pointer[map[string]*policy.Service]
	serving   chan struct{} // closed once a configuration and the hosts of its services have come
	stopping  atomic.Bool
	active    atomic.Int64 // requests that are being served
	limits    *limit.Limiter
	retries   *retryBudgets
	decisions *decisions
	agent     atomic.Pointer[wire.Link]

	feed  sync.Mutex // guards what follows
	hosts [hostlist.ShardCount]hostlist.Replica
}

// New makes a router.
func New(s *settings.Settings, log hclog.Logger) *Router {
	r := &Router{settings: s, log: log, start: time.Now(), serving: make(chan struct{}), pool: upstream.NewPool(), limits: limit.New(s.NodeName)}
	r.decisions = newDecisions(r.limits.Refused)
	r.retries = newRetryBudgets(s.Bounds, r.now)
	r.services.Store(&map[string]*policy.Service{})
	return r
}

func (r *Router) now() time.Duration { return time.Since(r.start) }

// followAgent tails the feed of the agent beside this router, until the context ends.
func (r *Router) followAgent(ctx context.Context) {
	address := net.JoinHostPort("127.0.0.1", strconv.Itoa(r.settings.LocalPort()))
	hello := wire.Hello{Role: wire.RoleRouter, Node: r.settings.NodeName, IP: r.settings.IP}
	var feeding sync.Mutex // events come one at a time
	link := wire.Open(ctx, address, hello, wire.LinkEvents{Subscribe: r.subscribe, Received: r.onAgentMessage}, func(event func()) {
		feeding.Lock()
		defer feeding.Unlock()
		event()
	})
	r.limits.Connect(link.Send)
	r.agent.Store(link)
	<-ctx.Done()
}

func (r *Router) onAgentMessage(m *wire.Message) {
	switch {
	case m.Config != nil:
		r.takeConfig(m.Config)
	case m.Hosts != nil:
		if !r.takeHosts(m.Hosts) {
			if agent := r.agent.Load(); agent != nil {
				agent.Send(r.subscribe())
			}
		}
	case m.QuotaGrant != nil:
		r.limits.Granted(m.QuotaGrant)
	case m.SlowHosts != nil:
		r.takeSlowHosts(m.SlowHosts)
	}
}

func (r *Router) subscribe() *wire.Message {
	r.feed.Lock()
	defer r.feed.Unlock()
	return &wire.Message{Subscribe: r.position()}
}

func (r *Router) position() *wire.Subscribe {
	s := &wire.Subscribe{Hosts: map[uint32]wire.HostsOffset{}}
	if t := r.table.Load(); t != nil {
		s.Config = t.Revision
	}
	for i := range r.hosts {
		s.Hosts[uint32(i)] = r.hosts[i].At
	}
	return s
}

// takeConfig puts a newer configuration in force.
func (r *Router) takeConfig(c *wire.Config) {
	if t := r.table.Load(); t != nil && c.Revision <= t.Revision {
		return
	}
	body, err := wire.Inflate(c.Body)
	if err != nil {
		r.log.Error("configuration unreadable", "revision", c.Revision, "error", err)
		return
	}
	parsed, err := config.Read(body)
	if err != nil {
		r.log.Error("configuration unreadable", "revision", c.Revision, "error", err)
		return
	}
	next := table.Compile(parsed)
	r.feed.Lock()
	defer r.feed.Unlock()
	r.addServices(next)
	r.table.Store(next)
	r.noteServing()
	r.log.Info("configuration in force", "revision", next.Revision)
}

// addServices swaps in a map that has all services of a table. Those of earlier ones stay, with what is known of them.
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
	r.decisions.ejections.Inc()
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

// takeHosts applies a change of the list. It reports false where an earlier change is missing.
func (r *Router) takeHosts(c *wire.Hosts) bool {
	if int(c.Shard) >= len(r.hosts) {
		return true
	}
	r.feed.Lock()
	defer r.feed.Unlock()
	if !r.hosts[c.Shard].Apply(c) {
		return false
	}
	r.noteServing()
	for name, service := range *r.services.Load() {
		if hostlist.ShardOf(name) == c.Shard {
			service.SetHosts(r.hostsOf(name))
		}
	}
	return true
}

// noteServing tells once that requests can be served: the hosts of all services have been told. The caller holds r.feed.
func (r *Router) noteServing() {
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

// service gives the hosts of a service; nil for one that no configuration has named.
func (r *Router) service(name string) *policy.Service { return (*r.services.Load())[name] }
