package lab

// This file owns the sockets and processes modes: one run of proxies as processes between stand-ins and clients, and what each proxy
// is told. It must never send anywhere but to loopback.

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
	readyWait = 10 * time.Second
	mostLate  = 25e3            // microseconds: a load generator later than this, 99 in 100, did not play the load that was asked for
	blankFor  = 2 * time.Second // discovery sends an empty line so often
)

// rig is one run on sockets.
type rig struct {
	e             *Experiment
	number        int64 // of the rigs of this process
	terms         balance.Config
	clock         *emu.WallClock
	fleet         *emu.Fleet
	ctx           context.Context
	cancel        context.CancelFunc
	played        int64 // when the load began; within the clock's lock
	wait          sync.WaitGroup
	addrs         [][]string // by proxy and server
	mu            sync.Mutex
	open          map[net.Conn]string // connections to stand-ins, with the server's id; emptied as they end
	bad           atomic.Int64        // calls that no client made
	procs         []*process
	fronts, doors []held // by proxy
	links         *links // nil: proxies do not hear one another
	fails         fails
	met           met
	asked         map[string]int64 // emptied with the run: when clients began to send each try, by its id; within the clock's lock
	drops         []chan bool      // by proxy: watches to end
	dice          rng.Source
}

// fails is which links of a proxy are cut, by how many faults; within the clock's lock.
type fails struct {
	discovery []int            // by proxy
	servers   []map[string]int // by proxy: the servers that it cannot reach
}

// met is what the stand-ins have met, for the figures; within the clock's lock.
type met struct {
	sends  int              // dispatches
	reqs   map[string]bool  // ids that came; emptied with the run
	firsts []Arrival        // the first dispatch of each of them
	probes map[string]int   // by server
	struck map[string]int64 // when each kind of fault was struck last
	to     []arrivals       // dispatches by proxy, and server
	calls  arrivals         // at discovery, all in one
	conns  arrivals         // new connections, by server
}

func newMet(proxies int) met {
	m := met{reqs: map[string]bool{}, struck: map[string]int64{}, probes: map[string]int{}, calls: arrivals{}, conns: arrivals{}}
	for range proxies {
		m.to = append(m.to, arrivals{})
	}
	return m
}

func newRig(e *Experiment, seed uint64) *rig {
	ctx, cancel := context.WithCancel(context.Background())
	r := &rig{e: e, number: nets.Add(1), terms: e.terms(), clock: emu.NewWallClock(), ctx: ctx, cancel: cancel, open: map[net.Conn]string{},
		asked: map[string]int64{}, met: newMet(e.Fleet.Balancers)}
	r.fails.discovery, r.fails.servers = make([]int, e.Fleet.Balancers), make([]map[string]int, e.Fleet.Balancers)
	r.dice.Seed = seed ^ 0xfa17
	for i := range r.fails.servers {
		r.drops = append(r.drops, make(chan bool, 1))
		r.fails.servers[i] = map[string]int{}
	}
	r.clock.Do(func() {
		r.fleet = emu.NewFleet(r.clock, seed, e.nature(), e.wire(), e.machines(), int64(e.Fleet.Grace))
		r.fleet.InjectProxyFault = r.strike
	})
	return r
}

// end ends all that the run started.
func (r *rig) end() {
	r.cancel()
	r.wait.Wait()
	r.clock.Stop()
}

func sockets(e *Experiment, v Variant, seed uint64, p *Problems) (*Figures, error) {
	r := newRig(e, seed)
	defer r.end()
	if err := r.begin(v, seed); err != nil {
		return nil, err
	}
	return r.figures(v, seed, p)
}

// figures plays the load and the timetable.
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
		r.met = newMet(r.e.Fleet.Balancers)
		r.played = r.clock.Now()
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
	if f.Limits, err = r.judgeLimits(v); err != nil {
		return nil, err
	}
	f.Processor = r.cpu() - before
	r.clock.Do(func() {
		r.fleet.Checker.CountUnanswered()
		m.close(r.fleet.Checker)
		f.Sends, f.Dispatched, f.Probes = r.met.sends, len(r.met.reqs), r.met.probes
		f.Return.peaks(r.e, r.met, r.played)
	})
	if r.links != nil {
		f.Peers = r.links.counts()
	}
	if n := r.bad.Load(); n > 0 {
		f.Notes = append(f.Notes, fmt.Sprintf("%d calls at the stand-ins carried no id", n))
	}
	for i, x := range r.procs {
		if x.died() {
			f.Notes = append(f.Notes, fmt.Sprintf("proxy %d has ended by itself: %s", i, x.said()))
			f.Crashes++
		}
	}
	f.Wall, f.Problems = time.Since(begun), p.Count
	return f, nil
}

// cpu is the processor time of all proxies, in seconds.
func (r *rig) cpu() (sum float64) {
	for _, x := range r.procs {
		sum += x.cpu()
	}
	return sum
}

// begin starts stand-ins and proxies, and waits until all are ready.
func (r *rig) begin(v Variant, seed uint64) (err error) {
	for i := range r.e.Fleet.Balancers {
		var addrs []string
		for _, s := range r.fleet.Servers {
			addr, err := r.standIn(i, s)
			if err != nil {
				return err
			}
			addrs = append(addrs, addr)
		}
		r.addrs = append(r.addrs, addrs)
	}
	if r.e.Mode == "processes" {
		if r.links, err = newLinks(r.ctx, &r.wait, r.net(peerNet), r.e.Fleet.Balancers, seed); err != nil {
			return err
		}
	}
	if r.fronts, err = r.reserve(r.e.Fleet.Balancers); err != nil {
		return err
	}
	if r.doors, err = r.reserve(r.e.Fleet.Balancers); err != nil {
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

// configuration is what a proxy is told, as the platform would tell it.
func (r *rig) configuration(listen, discovery string, seed uint64, proxy int) ([]byte, error) {
	x := r.e
	t := r.terms
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
		"known": json.RawMessage(r.line(proxy, true, version, servers)),
		"settings": map[string]any{"FleetSize": t.FleetSize, "Me": proxy, "Zone": r.e.zone(proxy), "TickNs": t.Tick, "Discovery": "on_request",
			"Ceilings": map[string]any{"MaxDispatches": t.MaxDispatches, "ParallelTries": t.AllowParallel, "Cancel": t.CanCancel, "RetryAfter": true,
				"MaxRetryAfterNs": t.MaxRetryAfter, "DialTimeoutNs": int64(250e6), "ConnIdleNs": int64(60e9), "MayTell": r.links != nil, "Probes": true},
			"Contract": map[string]any{"AskWithinNs": t.AskWithin, "StartCapacity": t.StartCapacity, "RampTimeNs": t.RampTime,
				"OverloadFactor": t.OverloadFactor, "FallNs": t.OverloadTime},
			"Prices": map[string]any{"CrossZone": t.CrossZonePrice, "Waste": t.WastePrice}, "RuleSets": sets, "Tenants": tenants}}
	if r.links != nil {
		told["peer_listen"], told["peers"] = r.links.told(proxy)
	}
	return json.Marshal(told)
}

// held is an address at which nobody listens, kept so until it is given up right before its process starts. It is this rig's own: no
// connection goes out from it, and a rig beside this one has another.
type held struct {
	addr string
	give func()
}

// nets counts the rigs of this process.
var nets atomic.Int64

// net is an address of this rig's own, for one kind of its parts: what a crashed server or a killed proxy gives up must not become another
// rig's, whose proxies go on dialling it.
func (r *rig) net(kind int) string {
	pid := int64(os.Getpid())
	return fmt.Sprintf("127.%d.%d.%d:0", 16+pid%200, (pid/200*31+r.number)%250, kind)
}

// kinds of part that have an address
const (
	hostNet = 2 + iota
	frontNet
	peerNet
)

// reserve takes so many. All are taken before the first is given up, which else could be taken again.
func (r *rig) reserve(n int) (all []held, err error) {
	for range n {
		l, err := net.Listen("tcp", r.net(frontNet))
		if err != nil {
			return nil, err
		}
		all = append(all, held{l.Addr().String(), func() { _ = l.Close() }})
	}
	return all, nil
}

// proxy starts one client proxy.
func (r *rig) proxy(v Variant, seed uint64, i int, discovery string) error {
	listen, door := r.fronts[i], r.doors[i]
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
	if n := len(v.Others); n > 0 && i >= r.e.Fleet.Balancers-v.OthersCount { // two builds or operator files side by side
		v.Build, v.Operator = v.Others[0], v.Others[min(n-1, 1)]
	}
	build := r.e.beside(v.Build)
	if v.Build == "" {
		if build, err = os.Executable(); err != nil {
			return err
		}
	}
	args := []string{"serve"}
	if v.Operator != "" {
		args = append(args, "--operator", r.e.beside(v.Operator))
	}
	x := &process{cmd: append([]string{build}, args...), folder: folder, listen: listen.addr, door: door.addr,
		env: append(os.Environ(), "GW_CONFIG="+config, "TMPDIR="+folder, "GW_ADMIN_ADDR="+door.addr, "GW_SOCKET_FD=")}
	listen.give()
	door.give()
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
