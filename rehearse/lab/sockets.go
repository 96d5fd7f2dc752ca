package lab

// This file holds the sockets and processes modes: one run of proxies as processes between clients and emulated
// servers, and the configuration of each proxy. It must never send anywhere but to loopback.

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"ivybank/balance"
	"ivybank/internal/rng"
	"ivybank/rehearse/emu"
)

const (
	readyTimeout        = 10 * time.Second
	maxLateMicroseconds = 25e3            // above this 99th percentile of its delay, the load generator did not play the load as requested
	emptyLineInterval   = 2 * time.Second // discovery sends an empty line after this long without a change
)

// rig is one run of the sockets or processes mode.
type rig struct {
	e                        *Experiment
	number                   int64 // sequence number among the rigs of this process
	balanceConfig            balance.Config
	clock                    *emu.WallClock
	fleet                    *emu.Fleet
	ctx                      context.Context
	cancel                   context.CancelFunc
	loadStart                int64 // when the load began, in ns; guarded by the clock's lock
	wait                     sync.WaitGroup
	addrs                    [][]string // addresses of the emulated servers, by proxy and server
	mu                       sync.Mutex
	open                     map[net.Conn]string // open connections to emulated servers, with server ID and proxy; removed as they end
	unidentifiedCalls        atomic.Int64        // requests without an ID, which no client sent
	procs                    []*process
	serviceAddrs, adminAddrs []reservedAddr // by proxy
	links                    *links         // nil: the proxies are not connected to each other
	cuts                     linkCuts
	observed                 observations
	requestTimes             map[string]int64 // send time of each client attempt by ID, kept until the run ends; guarded by the clock's lock
	watchDrops               []chan bool      // by proxy: signals to end its open discovery watch
	random                   rng.Source
}

// linkCuts counts the faults that cut each link of a proxy; guarded by the clock's lock.
type linkCuts struct {
	discovery []int            // by proxy
	servers   []map[string]int // by proxy: faults that cut its link to each server, by server ID
}

// observations records what the emulated servers and discovery received; guarded by the clock's lock.
type observations struct {
	sends      int              // dispatches
	reqs       map[string]bool  // request IDs that arrived; kept until the run ends
	firsts     []Arrival        // the first dispatch of each request
	probes     map[string]int   // by server
	injectedAt map[string]int64 // when each kind of fault was last injected
	dispatches []arrivals       // dispatches by proxy and server
	calls      arrivals         // calls at discovery, under one empty place name
	conns      arrivals         // new connections, by server
}

func newObservations(proxies int) observations {
	m := observations{reqs: map[string]bool{}, injectedAt: map[string]int64{}, probes: map[string]int{}, calls: arrivals{}, conns: arrivals{}}
	for range proxies {
		m.dispatches = append(m.dispatches, arrivals{})
	}
	return m
}

func newRig(e *Experiment, seed uint64) *rig {
	ctx, cancel := context.WithCancel(context.Background())
	r := &rig{e: e, number: rigCount.Add(1), balanceConfig: e.balanceConfig(), clock: emu.NewWallClock(), ctx: ctx, cancel: cancel, open: map[net.Conn]string{},
		requestTimes: map[string]int64{}, observed: newObservations(e.Fleet.Balancers)}
	r.cuts.discovery, r.cuts.servers = make([]int, e.Fleet.Balancers), make([]map[string]int, e.Fleet.Balancers)
	r.random.Seed = seed ^ 0xfa17
	for i := range r.cuts.servers {
		r.watchDrops = append(r.watchDrops, make(chan bool, 1))
		r.cuts.servers[i] = map[string]int{}
	}
	r.clock.Do(func() {
		r.fleet = emu.NewFleet(r.clock, seed, e.serverParams(), e.network(), e.machines(), int64(e.Fleet.Grace))
		r.fleet.InjectProxyFault = r.injectFault
	})
	return r
}

// end stops everything that the run started.
func (r *rig) end() {
	r.cancel()
	r.wait.Wait()
	r.clock.Stop()
}

func runOnSockets(e *Experiment, v Variant, seed uint64, p *Problems) (*Figures, error) {
	r := newRig(e, seed)
	defer r.end()
	if err := r.begin(v, seed); err != nil {
		return nil, err
	}
	return r.figures(v, seed, p)
}

// figures plays the load and the fault schedule, and returns the figures.
func (r *rig) figures(v Variant, seed uint64, p *Problems) (*Figures, error) {
	begun := time.Now()
	f := &Figures{Seed: seed, Variant: v.Name}
	m := newMeasure(r.e, f)
	l, err := r.e.load(seed, p)
	if err != nil {
		return nil, err
	}
	defer l.close()
	r.clock.Do(func() {
		r.observed = newObservations(r.e.Fleet.Balancers)
		r.loadStart = r.clock.Now()
		err = r.fleet.Schedule(r.e.faults())
	})
	if err != nil {
		return nil, err
	}
	before := r.cpu()
	views, maintained := r.watchViews(), r.maintain(v)
	if err := r.play(l, m, f); err != nil {
		return nil, err
	}
	f.Views, f.Plan = views(), maintained()
	if f.Limits, err = r.checkLimits(v); err != nil {
		return nil, err
	}
	f.Processor = r.cpu() - before
	r.clock.Do(func() {
		r.fleet.Checker.CountUnanswered()
		m.close(r.fleet.Checker)
		f.Sends, f.Dispatched, f.Probes = r.observed.sends, len(r.observed.reqs), r.observed.probes
		f.Return.peaks(r.e, r.observed, r.loadStart)
	})
	if r.links != nil {
		f.Peers = r.links.counts()
	}
	if n := r.unidentifiedCalls.Load(); n > 0 {
		f.Notes = append(f.Notes, fmt.Sprintf("%d requests at the emulated servers had no ID", n))
	}
	for i, x := range r.procs {
		if x.exitedUnexpectedly() {
			f.Notes = append(f.Notes, fmt.Sprintf("proxy %d ended unexpectedly: %s", i, x.outputTail()))
			f.Crashes++
		}
	}
	f.Wall, f.Problems = time.Since(begun), p.Count
	return f, nil
}

// cpu returns the processor time of all proxies, in seconds.
func (r *rig) cpu() (sum float64) {
	for _, x := range r.procs {
		sum += x.cpu()
	}
	return sum
}

// begin starts the emulated servers and the proxies, and waits until all are ready.
func (r *rig) begin(v Variant, seed uint64) (err error) {
	for i := range r.e.Fleet.Balancers {
		var addrs []string
		for _, s := range r.fleet.Servers {
			addr, err := r.startServer(i, s)
			if err != nil {
				return err
			}
			addrs = append(addrs, addr)
		}
		r.addrs = append(r.addrs, addrs)
	}
	if r.e.Mode == "processes" {
		if r.links, err = newLinks(r.ctx, &r.wait, r.listenAddr(peerNet), r.e.Fleet.Balancers, seed); err != nil {
			return err
		}
	}
	if r.serviceAddrs, err = r.reserve(r.e.Fleet.Balancers); err != nil {
		return err
	}
	if r.adminAddrs, err = r.reserve(r.e.Fleet.Balancers); err != nil {
		return err
	}
	for i := range r.e.Fleet.Balancers {
		discovery, err := r.discovery(i)
		if err != nil {
			return err
		}
		if err := r.proxy(v, seed, i, discovery); err != nil {
			return err
		}
	}
	for _, x := range r.procs {
		if err := x.ready(); err != nil {
			return err
		}
	}
	return nil
}

// configuration returns a proxy's configuration in the format of the platform.
func (r *rig) configuration(listen, discovery string, seed uint64, proxy int) ([]byte, error) {
	x := r.e
	t := r.balanceConfig
	kinds := map[balance.Effect]string{balance.Replayable: "retryable", balance.Deduplicated: "dedup", balance.NonReplayable: "fragile"}
	sets, tenants := []any{}, []any{}
	for _, s := range x.RuleSets {
		group := s.Group
		if group == "" {
			group = "all"
		}
		sets = append(sets, map[string]any{"Name": s.Name, "Effect": kinds[effects[s.Effect]], "Group": group, "WindowNs": int64(s.Window),
			"ResponseTargetNs": int64(s.Target), "ClientTimeoutNs": int64(x.Load.Timeout), "BillingValue": s.Value, "OverdueBillingValue": 0.0})
	}
	for _, s := range x.Load.Tenants {
		tenants = append(tenants, map[string]any{"Name": s.Name, "Share": s.Share})
	}
	var servers []balance.Server
	var version int64
	r.clock.Do(func() { servers, version = r.fleet.List() })
	told := map[string]any{"name": fmt.Sprint("n", proxy), "listen": listen, "discovery": discovery,
		"seed": fmt.Sprintf("%x", emu.BalancerSeed(seed, proxy)), "limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 4096},
		"known": json.RawMessage(r.listLine(proxy, true, version, servers)),
		"settings": map[string]any{"FleetSize": t.FleetSize, "Me": proxy, "Zone": r.e.zone(proxy), "TickNs": t.Tick, "Discovery": "on_request",
			"Ceilings": map[string]any{"MaxDispatches": t.MaxDispatches, "ParallelTries": t.AllowParallel, "Cancel": t.CanCancel, "RetryAfter": true,
				"MaxRetryAfterNs": t.MaxRetryAfter, "DialTimeoutNs": int64(250e6), "ConnIdleNs": int64(60e9), "MayTell": r.links != nil, "Probes": true},
			"Contract": map[string]any{"AskWithinNs": t.AskWithin, "StartCapacity": t.StartCapacity, "RampTimeNs": t.RampTime,
				"OverloadFactor": t.OverloadFactor, "FallNs": t.OverloadTime},
			"Prices": map[string]any{"CrossZone": t.CrossZonePrice, "Waste": t.WastePrice}, "RuleSets": sets, "Tenants": tenants}}
	if r.links != nil {
		told["peer_listen"], told["peers"] = r.links.addresses(proxy)
	}
	return json.Marshal(told)
}

// reservedAddr is an address that is reserved by an idle listener until right before its process starts. It belongs to
// this rig alone: no connection goes out from it, and other rigs use other addresses.
type reservedAddr struct {
	addr    string
	release func()
}

// rigCount counts the rigs of this process.
var rigCount atomic.Int64

// listenAddr returns a loopback address that only this rig uses, for one kind of its parts: an address released by a
// crashed server or a killed proxy must not be reused by another rig, because proxies go on dialling it.
func (r *rig) listenAddr(kind int) string {
	pid := int64(os.Getpid())
	return fmt.Sprintf("127.%d.%d.%d:0", 16+pid%200, (pid/200*31+r.number)%250, kind)
}

// Kinds of parts that have an address; the value is the last byte of the address.
const (
	hostNet = 2 + iota
	frontNet
	peerNet
)

// reserve reserves n addresses. All are taken before the first is released, which otherwise could be taken again.
func (r *rig) reserve(n int) (all []reservedAddr, err error) {
	for range n {
		l, err := net.Listen("tcp", r.listenAddr(frontNet))
		if err != nil {
			return nil, err
		}
		all = append(all, reservedAddr{l.Addr().String(), func() { _ = l.Close() }})
	}
	return all, nil
}

// proxy starts one client proxy.
func (r *rig) proxy(v Variant, seed uint64, i int, discovery string) error {
	listen, door := r.serviceAddrs[i], r.adminAddrs[i]
	folder, err := os.MkdirTemp("", "ivybank-lab")
	if err != nil {
		return err
	}
	text, err := r.configuration(listen.addr, discovery, seed, i)
	if err != nil {
		return err
	}
	config := filepath.Join(folder, "config.json")
	if err := os.WriteFile(config, text, 0o600); err != nil {
		return err
	}
	if n := len(v.Others); n > 0 && i >= r.e.Fleet.Balancers-v.OthersCount { // mixed fleet: two builds or operator files
		v.Build, v.Operator = v.Others[0], v.Others[min(n-1, 1)]
	}
	build := r.e.resolvePath(v.Build)
	if v.Build == "" {
		if build, err = os.Executable(); err != nil {
			return err
		}
	}
	args := []string{"serve"}
	if v.Operator != "" {
		args = append(args, "--operator", r.e.resolvePath(v.Operator))
	}
	x := &process{cmd: append([]string{build}, args...), folder: folder, listen: listen.addr, adminAddr: door.addr,
		env: append(os.Environ(), "GW_CONFIG="+config, "TMPDIR="+folder, "GW_ADMIN_ADDR="+door.addr, "GW_SOCKET_FD=")}
	listen.release()
	door.release()
	if err := x.start(); err != nil {
		return err
	}
	r.procs = append(r.procs, x)
	r.wait.Go(func() {
		<-r.ctx.Done()
		x.kill()
		_ = os.RemoveAll(folder)
	})
	return nil
}
