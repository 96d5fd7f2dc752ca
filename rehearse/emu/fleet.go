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
	Kind    string
	At, For int64    // from the run's start; for how long
	Servers []string // ids; empty: Count of them by chance, or the zone's
	Count   int
	Zone    string
	Size    float64 // slow: times slower; errors, reset, lossy: part of reqs; late: seconds more; surge: times the load; starve: part of the time

	// What befalls proxies and what passes between them.
	Proxies              []int   // by place; empty: Count of them by chance
	Way                  string  // split: out or in; empty: both
	Loss, Double, Garble float64 // datagrams: parts of them
	Delay, Spread        int64   // datagrams: how long they take, and by chance more; proxy_kill: Spread is by chance added to For
}

// Kinds are the faults there are, with what each does.
var Kinds = map[string]string{
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
type Wire struct {
	OneWay, Cross int64 // within a zone, between zones
	Told          int64 // from a change until discovery tells it
}

// Fleet is all of it.
type Fleet struct {
	Clock   Clock
	Nature  Nature
	Wire    Wire
	Servers []*Server // by id
	Judge   *Judge
	Log     func(format string, a ...any)
	Others  func(Fault) (undo func()) // does what befalls proxies; nil where nothing can

	dice     rng.Source
	version  int64
	states   map[string]balance.State // as discovery has them
	wrong    map[string]int           // servers that it lists as ready all the same
	cut      map[string]int           // zones that are cut off, by how many faults
	lossy    map[string][]float64     // servers behind lossy links
	down     int                      // faults that keep discovery down
	late     int64
	watchers []func(Entry) // emptied as their watches end
	ended    []func()
}

// Entry is one change of the list.
type Entry struct {
	Server  balance.Server
	Version int64
}

// NewFleet makes a fleet of warm servers.
func NewFleet(c Clock, seed uint64, n Nature, w Wire, machines []Machine, grace int64) *Fleet {
	f := &Fleet{Clock: c, Nature: n, Wire: w, Judge: NewJudge(c, grace), states: map[string]balance.State{}, wrong: map[string]int{},
		cut: map[string]int{}, lossy: map[string][]float64{}, version: 1, Log: func(string, ...any) {}}
	f.dice.Seed = seed
	for _, m := range machines {
		f.Servers = append(f.Servers, NewServer(m, &f.Nature, c, &f.dice, f.Judge))
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
		entries = append(entries, f.entry(s))
	}
	return entries, f.version
}

func (f *Fleet) entry(s *Server) balance.Server {
	state := f.states[s.ID]
	if f.wrong[s.ID] > 0 {
		state = balance.Running
	}
	return balance.Server{ID: s.ID, Zone: s.Zone, Cell: s.Cell, State: state, Share: s.Share, Since: s.since}
}

// Down says whether discovery answers nobody.
func (f *Fleet) Down() bool { return f.down > 0 }

// Watch has each change told as it comes, until ended is called.
func (f *Fleet) Watch(tell func(Entry), ended func()) {
	f.watchers, f.ended = append(f.watchers, tell), append(f.ended, ended)
}

// change has discovery tell of a server, late as it is.
func (f *Fleet) change(s *Server, state balance.State) {
	f.states[s.ID] = state
	f.Clock.At(f.Clock.Now()+f.Wire.Told+f.late, func() {
		f.version++
		e := Entry{f.entry(s), f.version}
		for _, tell := range slices.Clone(f.watchers) {
			tell(e)
		}
	})
}

// Way says how long a message takes between a zone and a server, and whether it arrives.
func (f *Fleet) Way(zone string, s *Server) (wait int64, arrives bool) {
	if zone == s.Zone {
		wait = f.Wire.OneWay
	} else if wait = f.Wire.Cross; !f.Reaches(zone, s) {
		return wait, false
	}
	for _, part := range f.lossy[s.ID] {
		if f.dice.Next() < part {
			return wait, false
		}
	}
	return wait, true
}

// Reaches says whether anything passes between a zone and a server.
func (f *Fleet) Reaches(zone string, s *Server) bool {
	return zone == s.Zone || f.cut[zone] == 0 && f.cut[s.Zone] == 0
}

// Schedule puts a timetable on the clock.
func (f *Fleet) Schedule(faults []Fault) error {
	start := f.Clock.Now()
	for i, x := range faults {
		if _, ok := Kinds[x.Kind]; !ok {
			return fmt.Errorf("fault %d: kind %q is not known", i+1, x.Kind)
		}
		for _, id := range x.Servers {
			if f.Server(id) == nil {
				return fmt.Errorf("fault %d: no server %q", i+1, id)
			}
		}
		f.Clock.At(start+x.At, func() {
			f.Log("fault begins: %s", x.Kind)
			undo := f.Strike(x)
			if x.For > 0 {
				f.Clock.At(f.Clock.Now()+x.For, func() {
					f.Log("fault ends: %s", x.Kind)
					undo()
				})
			}
		})
	}
	return nil
}

// struck picks the servers that a fault hits.
func (f *Fleet) struck(x Fault) (hit []*Server) {
	for _, s := range f.Servers {
		if slices.Contains(x.Servers, s.ID) || len(x.Servers) == 0 && x.Zone != "" && s.Zone == x.Zone {
			hit = append(hit, s)
		}
	}
	if len(x.Servers) > 0 || x.Zone != "" {
		return hit
	}
	for _, i := range Drawn(&f.dice, len(f.Servers), x.Count) {
		hit = append(hit, f.Servers[i])
	}
	return hit
}

// Drawn draws so many of n by chance.
func Drawn(d *rng.Source, n, count int) (all []int) {
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
func (f *Fleet) Strike(x Fault) (undo func()) {
	hit := f.struck(x)
	each := func(do func(*Server)) {
		for _, s := range hit {
			do(s)
		}
	}
	restart := func() {
		each(func(s *Server) {
			s.Start()
			f.change(s, balance.Running)
		})
	}
	switch x.Kind {
	case "crash":
		each(func(s *Server) { s.Crash(); f.change(s, balance.Gone) })
		return restart
	case "vanish":
		each(func(s *Server) { s.Vanish(); f.change(s, balance.Gone) })
		return restart
	case "hang":
		each((*Server).Hang)
		return restart
	case "restart":
		restart()
	case "drain":
		each(func(s *Server) {
			f.change(s, balance.Draining)
			// It turns work away once all have been told.
			f.Clock.At(f.Clock.Now()+f.Wire.Told+f.late+f.Judge.Grace, func() { s.drains = f.states[s.ID] == balance.Draining })
		})
		return restart
	case "slow":
		each(func(s *Server) { s.ails.slow = max(1, s.ails.slow) * x.Size })
		return func() { each(func(s *Server) { s.ails.slow /= x.Size }) }
	case "errors":
		each(func(s *Server) { s.ails.errors += x.Size })
		return func() { each(func(s *Server) { s.ails.errors = max(0, s.ails.errors-x.Size) }) }
	case "reset":
		each(func(s *Server) { s.ails.resets += x.Size })
		return func() { each(func(s *Server) { s.ails.resets = max(0, s.ails.resets-x.Size) }) }
	case "cut":
		f.cut[x.Zone]++
		return func() { f.cut[x.Zone]-- }
	case "lossy":
		each(func(s *Server) { f.lossy[s.ID] = append(f.lossy[s.ID], x.Size) })
		return func() {
			each(func(s *Server) {
				if i := slices.Index(f.lossy[s.ID], x.Size); i >= 0 {
					f.lossy[s.ID] = slices.Delete(f.lossy[s.ID], i, i+1)
				}
			})
		}
	case "discovery_down":
		f.down++
		for _, end := range f.ended {
			end()
		}
		f.watchers, f.ended = nil, nil
		return func() { f.down-- }
	case "late":
		f.late += int64(x.Size * 1e9)
		return func() { f.late -= int64(x.Size * 1e9) }
	case "wrong":
		each(func(s *Server) { f.wrong[s.ID]++; f.change(s, f.states[s.ID]) })
		return func() { each(func(s *Server) { f.wrong[s.ID]--; f.change(s, f.states[s.ID]) }) }
	default:
		if f.Others != nil {
			return f.Others(x)
		}
	}
	return func() {}
}
