package emu

// This file owns the fleet as a whole: its servers, the list that discovery tells, the network and the timetable of
// faults. It must never decide where a req goes.

import (
	"cmp"
	"fmt"
	"slices"

	"ivybank/balance"
	"ivybank/internal/rng"
)

// Fault is one line of the timetable. Faults may overlap; one that ends undoes what it did alone.
type Fault struct {
	Kind         string
	At, Duration int64    // from the run's start; for how long
	Servers      []string // ids; empty: Count of them by chance, or the zone's
	Count        int
	Zone         string
	Magnitude    float64 // slow: times slower; errors, reset, lossy: part of reqs; late: seconds more; surge: times the load; starve: part of the time

	// What befalls proxies and what passes between them.
	Proxies                                 []int   // by place; empty: Count of them by chance
	Direction                               string  // split: out or in; empty: both
	LossRatio, DuplicateRatio, CorruptRatio float64 // datagrams: parts of them
	Delay, Jitter                           int64   // datagrams: how long they take, and by chance more; proxy_kill: Spread is by chance added to For
}

// Kinds are the faults there are, with what each does.
var FaultKinds = map[string]string{
	"crash":          "processes end, connections are reset, new ones refused; cold starts at the end",
	"hang":           "reqs are taken and never answered; cold starts at the end",
	"vanish":         "machines say nothing any more; cold starts at the end",
	"slow":           "work takes Size times as long",
	"errors":         "a part Size of reqs is answered 500 at once",
	"reset":          "a part Size of reqs ends with its connection reset",
	"cut":            "nothing passes between the zone and the others",
	"lossy":          "a part Size of what passes to the servers gets lost",
	"discovery_down": "discovery answers nobody, watches end",
	"late":           "what discovery has to tell comes Size seconds later",
	"wrong":          "discovery lists the servers as ready whatever they do",
	"drain":          "servers are listed as draining, then start anew, cold",
	"restart":        "processes start anew at once, cold",
	"proxy_kill":     "client proxies are killed in one instant; each starts again after For",
	"proxy_end":      "client proxies are told to end",
	"proxy_pause":    "client proxies are stopped, and go on at the end",
	"proxy_starve":   "client proxies are stopped for a part Size of each 100 ms",
	"split":          "no datagram passes between the proxies and all others, or one way alone",
	"datagrams":      "datagrams between proxies get lost, late, doubled, overtaken, garbled",
	"unlink":         "the proxies and the servers do not reach each other",
	"undiscovered":   "the proxies do not reach discovery",
	"state_lost":     "what the proxies keep in their state folders is gone",
	"state_save":     "a copy of the proxies' state folders is put aside",
	"state_old":      "the proxies' state folders are put back from the copy",
	"state_cut":      "a file of the proxies' state is cut to a part Size",
	"state_flip":     "a bit of a file of the proxies' state is turned, by chance",
	"state_full":     "nothing can be written to the proxies' state folders",
	"surge":          "Size times as many reqs come",
	"pour":           "all reqs come to the proxies, the others get none",
}

// Wire is the network's figures.
type Network struct {
	SameZoneDelay, CrossZoneDelay int64 // within a zone, between zones
	DiscoveryDelay                int64 // from a change until discovery tells it
}

// Fleet is all of it.
type Fleet struct {
	Clock            Clock
	Params           ServerParams
	Network          Network
	Servers          []*Server // by id
	Checker          *Checker
	Log              func(format string, a ...any)
	InjectProxyFault func(Fault) (undo func()) // does what befalls proxies; nil where nothing can

	random              rng.Source
	version             int64
	states              map[string]balance.State // as discovery has them
	falselyReady        map[string]int           // servers that it lists as ready all the same
	cutZones            map[string]int           // zones that are cut off, by how many faults
	lossRatios          map[string][]float64     // servers behind lossy links
	discoveryOutages    int                      // faults that keep discovery down
	extraDiscoveryDelay int64
	watchers            []func(ListChange) // emptied as their watches end
	watchEnded          []func()
}

// Entry is one change of the list.
type ListChange struct {
	Server  balance.Server
	Version int64
}

// NewFleet makes a fleet of warm servers.
func NewFleet(c Clock, seed uint64, n ServerParams, w Network, machines []Machine, grace int64) *Fleet {
	f := &Fleet{Clock: c, Params: n, Network: w, Checker: NewChecker(c, grace), states: map[string]balance.State{}, falselyReady: map[string]int{},
		cutZones: map[string]int{}, lossRatios: map[string][]float64{}, version: 1, Log: func(string, ...any) {}}
	f.random.Seed = seed
	for _, m := range machines {
		f.Servers = append(f.Servers, NewServer(m, &f.Params, c, &f.random, f.Checker))
		f.states[m.ID] = balance.Running
	}
	slices.SortFunc(f.Servers, func(x, y *Server) int { return cmp.Compare(x.ID, y.ID) })
	return f
}

// Server finds one; nil where there is none.
func (f *Fleet) Server(id string) *Server {
	i, ok := slices.BinarySearchFunc(f.Servers, id, func(s *Server, id string) int { return cmp.Compare(s.ID, id) })
	if !ok {
		return nil
	}
	return f.Servers[i]
}

// List is the whole list as discovery has it.
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

// Down says whether discovery answers nobody.
func (f *Fleet) DiscoveryDown() bool { return f.discoveryOutages > 0 }

// Watch has each change told as it comes, until ended is called.
func (f *Fleet) Watch(tell func(ListChange), ended func()) {
	f.watchers, f.watchEnded = append(f.watchers, tell), append(f.watchEnded, ended)
}

// change has discovery tell of a server, late as it is.
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

// Way says how long a message takes between a zone and a server, and whether it arrives.
func (f *Fleet) Delivery(zone string, s *Server) (wait int64, arrives bool) {
	if zone == s.Zone {
		wait = f.Network.SameZoneDelay
	} else if wait = f.Network.CrossZoneDelay; !f.Reachable(zone, s) {
		return wait, false
	}
	for _, part := range f.lossRatios[s.ID] {
		if f.random.Next() < part {
			return wait, false
		}
	}
	return wait, true
}

// Reaches says whether anything passes between a zone and a server.
func (f *Fleet) Reachable(zone string, s *Server) bool {
	return zone == s.Zone || f.cutZones[zone] == 0 && f.cutZones[s.Zone] == 0
}

// Schedule puts a timetable on the clock.
func (f *Fleet) Schedule(faults []Fault) error {
	start := f.Clock.Now()
	for i, x := range faults {
		if _, ok := FaultKinds[x.Kind]; !ok {
			return fmt.Errorf("fault %d: kind %q is not known", i+1, x.Kind)
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

// struck picks the servers that a fault hits.
func (f *Fleet) targets(x Fault) (hit []*Server) {
	for _, s := range f.Servers {
		if slices.Contains(x.Servers, s.ID) || len(x.Servers) == 0 && x.Zone != "" && s.Zone == x.Zone {
			hit = append(hit, s)
		}
	}
	if len(x.Servers) > 0 || x.Zone != "" {
		return hit
	}
	for _, i := range Sample(&f.random, len(f.Servers), x.Count) {
		hit = append(hit, f.Servers[i])
	}
	return hit
}

// Drawn draws so many of n by chance.
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

// Strike does what a fault does, now, and gives what undoes it.
func (f *Fleet) Inject(x Fault) (undo func()) {
	hit := f.targets(x)
	each := func(do func(*Server)) {
		for _, s := range hit {
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
			// It turns work away once all have been told.
			f.Clock.At(f.Clock.Now()+f.Network.DiscoveryDelay+f.extraDiscoveryDelay+f.Checker.DrainGrace, func() { s.draining = f.states[s.ID] == balance.Draining })
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
