package emu

// This file holds the fleet as a whole: its servers, the list that discovery gives, the network and the schedule of
// faults. It never decides which server a request goes to.

import (
	"cmp"
	"fmt"
	"slices"

	"ivybank/balance"
	"ivybank/internal/rng"
)

// Fault is one entry of the schedule of faults. Faults may overlap; the end of one undoes only its own effect. Times are
// in nanoseconds.
type Fault struct {
	Kind         string
	At, Duration int64    // begin since the run's start, and length; 0: no end
	Servers      []string // ids; empty: the servers of Zone, or else Count random ones
	Count        int
	Zone         string
	// Magnitude is the factor for slow (of the time) and surge (of the load), the fraction of requests for errors and
	// reset, the fraction of messages for lossy, extra seconds for late, and the fraction of the time for proxy_starve.
	Magnitude float64

	// These are for faults of proxies and of the network between them.
	Proxies                                 []int   // by index; empty: Count random ones
	Direction                               string  // split: which direction is blocked, out or in; empty: both
	LossRatio, DuplicateRatio, CorruptRatio float64 // datagrams: fractions that are lost, duplicated and corrupted
	// Delay and Jitter are the extra delay for datagrams and the bound of its random part; for proxy_kill, Jitter bounds a
	// random addition to Duration.
	Delay, Jitter int64
}

// FaultKinds describes each kind of fault.
var FaultKinds = map[string]string{
	"crash":          "server processes end: connections are reset and new ones refused; they restart cold at the end",
	"hang":           "servers accept requests and never answer them; they restart cold at the end",
	"vanish":         "machines give no response at all; they restart cold at the end",
	"slow":           "work takes Magnitude times as long",
	"errors":         "a fraction Magnitude of requests is answered with status 500 at once",
	"reset":          "a fraction Magnitude of requests ends with a connection reset",
	"cut":            "no message passes between the zone and the others",
	"lossy":          "a fraction Magnitude of the messages to and from the servers is lost",
	"discovery_down": "discovery answers no requests, and its watches end",
	"late":           "discovery announces changes Magnitude seconds later",
	"wrong":          "discovery lists the servers as running whatever their state is",
	"drain":          "servers are listed as draining; they restart cold at the end",
	"restart":        "server processes restart at once, cold",
	"proxy_kill":     "client proxies are killed at the same instant; each restarts after Duration",
	"proxy_end":      "client proxies are told to shut down",
	"proxy_pause":    "client proxies are suspended, and resume at the end",
	"proxy_starve":   "client proxies are suspended for a fraction Magnitude of each 100 ms",
	"split":          "no datagram passes between the proxies and all others, or in one direction only",
	"datagrams":      "datagrams between proxies are lost, delayed, duplicated, reordered or corrupted",
	"unlink":         "the proxies and the servers can't reach each other",
	"undiscovered":   "the proxies can't reach discovery",
	"state_lost":     "the contents of the proxies' state folders are deleted",
	"state_save":     "the proxies' state folders are copied",
	"state_old":      "the proxies' state folders are restored from the copy",
	"state_cut":      "a file of the proxies' state is truncated to a fraction Magnitude",
	"state_flip":     "a random bit of a file of the proxies' state is flipped",
	"state_full":     "nothing can be written to the proxies' state folders",
	"surge":          "the load is Magnitude times as high",
	"pour":           "all requests go to the given proxies, none to the others",
}

// Network holds the delays of the network, in nanoseconds.
type Network struct {
	SameZoneDelay, CrossZoneDelay int64 // one way, within a zone and between zones
	DiscoveryDelay                int64 // from a change of state until discovery announces it
}

// Fleet is an emulated fleet of servers, with their discovery and network.
type Fleet struct {
	Clock            Clock
	Params           ServerParams
	Network          Network
	Servers          []*Server // sorted by id
	Checker          *Checker
	Log              func(format string, a ...any)
	InjectProxyFault func(Fault) (undo func()) // injects a fault of proxies; nil: these faults have no effect

	random              rng.Source
	version             int64
	states              map[string]balance.State // as known to discovery
	falselyReady        map[string]int           // number of faults that have discovery list a server as running, by server
	cutZones            map[string]int           // number of faults that cut off a zone, by zone
	lossRatios          map[string][]float64     // loss ratios of the links to a server, by server
	discoveryOutages    int                      // number of faults that keep discovery down
	extraDiscoveryDelay int64
	watchers            []func(ListChange) // cleared when watches end
	watchEnded          []func()
}

// ListChange is one change of the list of discovery.
type ListChange struct {
	Server  balance.Server
	Version int64
}

// NewFleet makes a fleet of servers that are warmed up. drainGrace is the checker's, in nanoseconds.
func NewFleet(c Clock, seed uint64, params ServerParams, network Network, machines []Machine, drainGrace int64) *Fleet {
	f := &Fleet{Clock: c, Params: params, Network: network, Checker: NewChecker(c, drainGrace), states: map[string]balance.State{},
		falselyReady: map[string]int{}, cutZones: map[string]int{}, lossRatios: map[string][]float64{}, version: 1,
		Log: func(string, ...any) {}}
	f.random.Seed = seed
	for _, m := range machines {
		f.Servers = append(f.Servers, NewServer(m, &f.Params, c, &f.random, f.Checker))
		f.states[m.ID] = balance.Running
	}
	slices.SortFunc(f.Servers, func(x, y *Server) int { return cmp.Compare(x.ID, y.ID) })
	return f
}

// Server finds a server by its id; nil if there is none.
func (f *Fleet) Server(id string) *Server {
	i, ok := slices.BinarySearchFunc(f.Servers, id, func(s *Server, id string) int { return cmp.Compare(s.ID, id) })
	if !ok {
		return nil
	}
	return f.Servers[i]
}

// List gives the whole list as known to discovery.
func (f *Fleet) List() (entries []balance.Server, version int64) {
	for _, s := range f.Servers {
		entries = append(entries, f.listEntry(s))
	}
	return entries, f.version
}

func (f *Fleet) listEntry(s *Server) balance.Server {
	state := f.states[s.ID]
	if f.falselyReady[s.ID] > 0 {
		state = balance.Running
	}
	return balance.Server{ID: s.ID, Zone: s.Zone, Cell: s.Cell, State: state, Share: s.Share, Since: s.startTime}
}

// DiscoveryDown says whether discovery answers no requests.
func (f *Fleet) DiscoveryDown() bool { return f.discoveryOutages > 0 }

// Watch calls tell for each change of the list, until ended is called.
func (f *Fleet) Watch(tell func(ListChange), ended func()) {
	f.watchers, f.watchEnded = append(f.watchers, tell), append(f.watchEnded, ended)
}

// publish sets the state of a server and announces it to all watchers after the delay of discovery.
func (f *Fleet) publish(s *Server, state balance.State) {
	f.states[s.ID] = state
	f.Clock.At(f.Clock.Now()+f.Network.DiscoveryDelay+f.extraDiscoveryDelay, func() {
		f.version++
		e := ListChange{f.listEntry(s), f.version}
		for _, tell := range slices.Clone(f.watchers) {
			tell(e)
		}
	})
}

// Delivery gives the delay in nanoseconds of a message between a zone and a server, and whether it arrives.
func (f *Fleet) Delivery(zone string, s *Server) (delay int64, arrives bool) {
	if zone == s.Zone {
		delay = f.Network.SameZoneDelay
	} else if delay = f.Network.CrossZoneDelay; !f.Reachable(zone, s) {
		return delay, false
	}
	for _, ratio := range f.lossRatios[s.ID] {
		if f.random.Next() < ratio {
			return delay, false
		}
	}
	return delay, true
}

// Reachable says whether no cut zone lies between a zone and a server.
func (f *Fleet) Reachable(zone string, s *Server) bool {
	return zone == s.Zone || f.cutZones[zone] == 0 && f.cutZones[s.Zone] == 0
}

// Schedule schedules faults on the clock, counted from now. A fault of an unknown kind or server is an error.
func (f *Fleet) Schedule(faults []Fault) error {
	start := f.Clock.Now()
	for i, x := range faults {
		if _, ok := FaultKinds[x.Kind]; !ok {
			return fmt.Errorf("fault %d: unknown kind %q", i+1, x.Kind)
		}
		for _, id := range x.Servers {
			if f.Server(id) == nil {
				return fmt.Errorf("fault %d: no server %q", i+1, id)
			}
		}
		f.Clock.At(start+x.At, func() {
			f.Log("fault begins: %s", x.Kind)
			undo := f.Inject(x)
			if x.Duration > 0 {
				f.Clock.At(f.Clock.Now()+x.Duration, func() {
					f.Log("fault ends: %s", x.Kind)
					undo()
				})
			}
		})
	}
	return nil
}

// targets picks the servers that a fault applies to.
func (f *Fleet) targets(x Fault) (targets []*Server) {
	for _, s := range f.Servers {
		if slices.Contains(x.Servers, s.ID) || len(x.Servers) == 0 && x.Zone != "" && s.Zone == x.Zone {
			targets = append(targets, s)
		}
	}
	if len(x.Servers) > 0 || x.Zone != "" {
		return targets
	}
	for _, i := range Sample(&f.random, len(f.Servers), x.Count) {
		targets = append(targets, f.Servers[i])
	}
	return targets
}

// Sample draws count different numbers below n at random, or all n if there are fewer.
func Sample(d *rng.Source, n, count int) (all []int) {
	left := make([]int, n)
	for i := range left {
		left[i] = i
	}
	for range min(count, n) {
		i := int(d.Next() * float64(len(left)))
		all = append(all, left[i])
		left = slices.Delete(left, i, i+1)
	}
	return all
}

// Inject begins a fault now and gives a function that ends it.
func (f *Fleet) Inject(x Fault) (undo func()) {
	targets := f.targets(x)
	each := func(do func(*Server)) {
		for _, s := range targets {
			do(s)
		}
	}
	restart := func() {
		each(func(s *Server) {
			s.Start()
			f.publish(s, balance.Running)
		})
	}
	switch x.Kind {
	case "crash":
		each(func(s *Server) { s.Crash(); f.publish(s, balance.Gone) })
		return restart
	case "vanish":
		each(func(s *Server) { s.Vanish(); f.publish(s, balance.Gone) })
		return restart
	case "hang":
		each((*Server).Hang)
		return restart
	case "restart":
		restart()
	case "drain":
		each(func(s *Server) {
			f.publish(s, balance.Draining)
			// The server refuses work once every balancer has been told and the grace is over.
			f.Clock.At(f.Clock.Now()+f.Network.DiscoveryDelay+f.extraDiscoveryDelay+f.Checker.DrainGrace, func() {
				s.draining = f.states[s.ID] == balance.Draining
			})
		})
		return restart
	case "slow":
		each(func(s *Server) { s.faults.slowdown = max(1, s.faults.slowdown) * x.Magnitude })
		return func() { each(func(s *Server) { s.faults.slowdown /= x.Magnitude }) }
	case "errors":
		each(func(s *Server) { s.faults.errorRatio += x.Magnitude })
		return func() { each(func(s *Server) { s.faults.errorRatio = max(0, s.faults.errorRatio-x.Magnitude) }) }
	case "reset":
		each(func(s *Server) { s.faults.resetRatio += x.Magnitude })
		return func() { each(func(s *Server) { s.faults.resetRatio = max(0, s.faults.resetRatio-x.Magnitude) }) }
	case "cut":
		f.cutZones[x.Zone]++
		return func() { f.cutZones[x.Zone]-- }
	case "lossy":
		each(func(s *Server) { f.lossRatios[s.ID] = append(f.lossRatios[s.ID], x.Magnitude) })
		return func() {
			each(func(s *Server) {
				if i := slices.Index(f.lossRatios[s.ID], x.Magnitude); i >= 0 {
					f.lossRatios[s.ID] = slices.Delete(f.lossRatios[s.ID], i, i+1)
				}
			})
		}
	case "discovery_down":
		f.discoveryOutages++
		for _, end := range f.watchEnded {
			end()
		}
		f.watchers, f.watchEnded = nil, nil
		return func() { f.discoveryOutages-- }
	case "late":
		f.extraDiscoveryDelay += int64(x.Magnitude * 1e9)
		return func() { f.extraDiscoveryDelay -= int64(x.Magnitude * 1e9) }
	case "wrong":
		each(func(s *Server) { f.falselyReady[s.ID]++; f.publish(s, f.states[s.ID]) })
		return func() { each(func(s *Server) { f.falselyReady[s.ID]--; f.publish(s, f.states[s.ID]) }) }
	default:
		if f.InjectProxyFault != nil {
			return f.InjectProxyFault(x)
		}
	}
	return func() {}
}
