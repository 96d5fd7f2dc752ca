package main

import (
	"cmp"
	"fmt"
	"net"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"ivybank/fleet/aggregate"
	"ivybank/fleet/peer"
	"ivybank/fleet/swim"
	"ivybank/rehearse/emu"
	"ivybank/rehearse/lab"
)

// rehearse starts so many processes of the program that hear one another through the rig, with a little load to be played.
func rehearse(t *testing.T, proxies int, length, more string) *lab.Rehearsal {
	t.Helper()
	operator, err := filepath.Abs("../../rehearse/lab/experiments/operator/fleet.toml")
	if err != nil {
		t.Fatal(err)
	}
	return rehearseWith(t, proxies, length, operator, 90, "", more)
}

// rehearseWith is the same with another operator file, and so many reqs a second.
func rehearseWith(t *testing.T, proxies int, length, operator string, rate float64, ramp, more string) *lab.Rehearsal {
	t.Helper()
	e, err := lab.Read(filepath.Join(t.TempDir(), "e.toml"), fmt.Appendf(nil, strings.Replace(`format = "ivybank/experiment/1"
name = "test"
mode = "processes"
seeds = [1]
length = "%s"
warm = "1s"
[fleet]
balancers = %d
zones = ["a", "b"]
queue = 100
one_way = "300us"
cross = "800us"
told = "100ms"
grace = "1s"
ramp = "15s"
start_capacity = 0.2
fall_over = 3.0
fall_after = "3s"
[[fleet.machine]]
count = 6
cores = 1
speed = 1.0
share = 1.0
[load]
rate = %.1f # of 120 that the servers can do
work = "50ms"
timeout = "3s"
retries = 3
wait = "1ms"
ignores_advice = true
[[ruleset]]
name = "batch"
effect = "replayable"
response_target = "800ms"
value = 1.0
share = 0.5
[[ruleset]]
name = "filing"
effect = "non-replayable"
response_target = "800ms"
value = 8.0
share = 0.5
[[variant]]
name = "on"
%s`, `ramp = "15s"`, cmp.Or(ramp, `ramp = "15s"`), 1), length, proxies, rate, more))
	if err != nil {
		t.Fatal(err)
	}
	r, err := lab.Begin(e, lab.Variant{Name: "on", Build: binary, Operator: operator}, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.End)
	return r
}

// sees says whether a proxy's view of a member is one of some states.
func sees(r *lab.Rehearsal, proxy, member int, states ...string) bool {
	v, ok := r.View(proxy)
	return ok && member < len(v.Members) && slices.Contains(states, v.Members[member].State)
}

// together waits until all of some proxies hold so many members to be alive.
func together(t *testing.T, r *lab.Rehearsal, alive int, proxies ...int) {
	t.Helper()
	for _, i := range proxies {
		eventually(t, fmt.Sprintf("proxy %d holds %d alive", i, alive), func() bool {
			v, ok := r.View(i)
			heard := 0
			for _, m := range v.Members {
				if m.State == "alive" {
					heard++
				}
			}
			return ok && heard == alive
		})
	}
}

// Two processes find each other by their configuration; one that is killed is known to be dead, and known again when it is back.
func TestFleetOfTwo(t *testing.T) {
	r := rehearse(t, 2, "4s", "")
	together(t, r, 2, 0, 1)
	undo := r.Strike(emu.Fault{Kind: "proxy_kill", Proxies: []int{1}, Duration: 6e9})
	defer undo()
	eventually(t, "the killed one is held to be dead", func() bool { return sees(r, 0, 1, "dead") })
	together(t, r, 2, 0, 1)
	eventually(t, "it lives another life", func() bool {
		v, ok := r.View(0)
		w, also := r.View(1)
		return ok && also && v.Members[1].Incarnation == w.Incarnation
	})
}

// surge is 1.8 times what the servers can do, from the second second on.
const surge = "[[fault]]\nkind = \"surge\"\nat = \"2s\"\nfor = \"6s\"\nsize = 2.4\n"

// served plays the load and holds what came of it against what a fleet that denies as one would do.
func served(t *testing.T, r *lab.Rehearsal, valuable float64) *lab.Figures {
	t.Helper()
	f, err := r.Play()
	if err != nil {
		t.Fatal(err)
	}
	if f.Breaches != [5]int{} || f.Crashes > 0 {
		t.Errorf("breaches %v, %d crashes: %v", f.Breaches, f.Crashes, f.Notes)
	}
	if f.Classes["filing"] < valuable {
		t.Errorf("%.2f of the valuable reqs served in time, want %.2f at the least (of the others %.2f)", f.Classes["filing"], valuable, f.Classes["batch"])
	}
	if n := len(f.Line); n < 2 || f.Line[n-2] < 0.8 {
		t.Errorf("service by seconds %.2f: it has not come back", f.Line)
	}
	return f
}

// shedders counts the members that have denied by the cut.
func shedders(f *lab.Figures) int {
	who := map[int]bool{}
	for _, v := range f.Views {
		if v.Shed > 0 {
			who[v.Proxy] = true
		}
	}
	return len(who)
}

// An overload with clients that ask three more times at once: all deny the least valuable, and it ends with its cause. Whatever befalls
// the members meanwhile, the valuable reqs are served and all four rules are kept.
func TestFleetOverload(t *testing.T) {
	for _, c := range []struct {
		name, fault string
		valuable    float64
	}{
		{"alone", "", 0.85},
		{"half cut off", "[[fault]]\nkind = \"split\"\nat = \"3s\"\nfor = \"4s\"\nproxies = [0, 1]\n", 0.75},
		{"half not heard", "[[fault]]\nkind = \"split\"\nat = \"3s\"\nfor = \"4s\"\nproxies = [0, 1]\nway = \"out\"\n", 0.75},
		{"one killed at the peak", "[[fault]]\nkind = \"proxy_kill\"\nat = \"4s\"\nfor = \"500ms\"\nproxies = [2]\n", 0.75},
		{"one stopped, with an old cut", "[[fault]]\nkind = \"proxy_pause\"\nat = \"4s\"\nfor = \"3s\"\nproxies = [1]\n", 0.6},
		{"datagrams lost, late, doubled, garbled", "[[fault]]\nkind = \"datagrams\"\nat = \"0s\"\nloss = 0.1\ndouble = 0.2\ngarble = 0.1\ndelay = \"20ms\"\nspread = \"80ms\"\n", 0.75},
		{"all at one, then at another", "[[fault]]\nkind = \"pour\"\nat = \"2s\"\nfor = \"3s\"\nproxies = [0]\n[[fault]]\nkind = \"pour\"\nat = \"5s\"\nfor = \"3s\"\nproxies = [3]\n", 0.6},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := rehearse(t, 4, "12s", surge+c.fault)
			together(t, r, 4, 0, 1, 2, 3)
			if n := shedders(served(t, r, c.valuable)); n < 1 {
				t.Error("nobody has denied by the cut")
			}
		})
	}
}

// Two that report what cannot be, one of all and one of nothing, and one of another build: the others go on as they would without.
func TestFleetLiars(t *testing.T) {
	r := rehearse(t, 5, "6s", "")
	together(t, r, 5, 0, 1, 2)
	for _, place := range []int{3, 4} {
		as, peers, err := r.Pose(place)
		if err != nil {
			t.Fatal(err)
		}
		over := make(chan bool)
		t.Cleanup(func() { close(over); _ = as.Close() })
		go lie(as, peers, place, over)
	}
	f, err := r.Play()
	if err != nil {
		t.Fatal(err)
	}
	if f.Breaches != [5]int{} || f.Service < 0.9 {
		t.Errorf("service %.2f, breaches %v", f.Service, f.Breaches)
	}
	for i := range 3 {
		v, ok := r.View(i)
		if !ok || v.Offered > 500 || v.Counts.Shed > 0 || len(v.ReducedShares) > 0 {
			t.Errorf("proxy %d: offered %.0f, %d shed, wary of %v", i, v.Offered, v.Counts.Shed, v.ReducedShares)
		}
	}
	eventually(t, "what is impossible is counted", func() bool {
		v, ok := r.View(2) // the neighbour of the one that lies about all
		return ok && v.Implausible > 0
	})
}

// lie answers pings as a member would and tells of a load that nobody can have, or of none, and that all servers are lost.
func lie(as *net.UDPConn, peers []*net.UDPAddr, place int, over chan bool) {
	name, life := peer.FleetHash("rehearsal"), swim.IncarnationAt(time.Now().UnixNano())
	load := aggregate.Load{}
	if place == 3 {
		load = aggregate.Load{First: 1e9, Served: 1e9}
		load.Offered[0] = 1e9
	}
	b := make([]byte, 300)
	for n := uint64(1); ; n++ {
		select {
		case <-over:
			return
		default:
		}
		_ = as.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		d := peer.Datagram{From: place, Incarnation: life, Number: n, Sums: []peer.LoadSum{{Block: place, Incarnation: life, Members: 1, Load: load.Bytes()}}}
		to := peers[int(n)%3]
		if size, from, err := as.ReadFromUDP(b); err == nil {
			if got, err := peer.Decode(name, b[:size]); err == nil && got.Kind == peer.Ping {
				d.Kind, d.Seq, d.Subject, to = peer.Ack, got.Seq, place, from
			}
		}
		for i := range 2 {
			d.Hints = append(d.Hints, peer.Hint{Server: peer.ServerHash(fmt.Sprintf("s-%03d", i+1)), Origin: place, Observation: peer.DispatchesLost})
		}
		text, err := peer.Encode(name, &d)
		if err != nil {
			continue
		}
		_, _ = as.WriteToUDP(text, to)
		text[0]++ // another build
		_, _ = as.WriteToUDP(text, to)
	}
}

// All servers turn slow together: there are hardly any further dispatches, and no member ejects by another's word.
func TestFleetAllSlow(t *testing.T) {
	r := rehearse(t, 4, "14s", "[[fault]]\nkind = \"slow\"\nat = \"3s\"\nfor = \"4s\"\nsize = 12.0\ncount = 6\n")
	together(t, r, 4, 0, 1, 2, 3)
	f, err := r.Play()
	if err != nil {
		t.Fatal(err)
	}
	if f.Breaches != [5]int{} {
		t.Errorf("breaches %v: %v", f.Breaches, f.Notes)
	}
	if further := float64(f.Sends)/float64(f.Dispatched) - 1; further > 0.11 {
		t.Errorf("%.2f further dispatches for each first one", further)
	}
	if n := len(f.Line); f.Line[n-2] < 0.8 {
		t.Errorf("service by seconds %.2f: it has not come back", f.Line)
	}
}

// The first prober of a hanging server dies as the server comes back, cold: another takes over, and all together do not push it over.
func TestFleetProberDies(t *testing.T) {
	r := rehearse(t, 4, "14s", "[[fault]]\nkind = \"hang\"\nat = \"2s\"\nfor = \"4s\"\nservers = [\"s-002\"]\n")
	together(t, r, 4, 0, 1, 2, 3)
	owner := -1
	eventually(t, "the server has a first prober", func() bool {
		v, ok := r.View(0)
		for _, o := range v.ProbeOwners {
			if o.Server == "s-002" {
				owner = o.Member
			}
		}
		return ok && owner >= 0
	})
	time.AfterFunc(6*time.Second, func() { r.Strike(emu.Fault{Kind: "proxy_kill", Proxies: []int{owner}, Duration: 60e9}) })
	f, err := r.Play()
	if err != nil {
		t.Fatal(err)
	}
	if f.Breaches != [5]int{} || f.Strain >= 1 {
		t.Errorf("breaches %v, strain %.2f: %v", f.Breaches, f.Strain, f.Notes)
	}
	before := r.Probes()["s-002"]
	eventually(t, "another probes it", func() bool { return r.Probes()["s-002"] > before+1 })
	if n := f.Probes["s-001"]; n > 2*14 {
		t.Errorf("s-001 was probed %d times in 14 s", n)
	}
}

// A proxy that runs by fits does not take its neighbours for dead, nor do most of them it.
func TestFleetStarved(t *testing.T) {
	r := rehearse(t, 4, "8s", "[[fault]]\nkind = \"proxy_starve\"\nat = \"1s\"\nfor = \"6s\"\nproxies = [2]\nsize = 0.7\n")
	together(t, r, 4, 0, 1, 2, 3)
	f, err := r.Play()
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range f.Views {
		if v.Proxy == 2 && len(v.Dead) > 0 {
			t.Fatalf("at %.1f s it holds %v to be dead", v.At, v.Dead)
		}
	}
	if f.Breaches != [5]int{} {
		t.Errorf("breaches %v: %v", f.Breaches, f.Notes)
	}
}

// A proxy that is told to end is known to have left, and the others are told of what is wrong with a file at the reload, which changes nothing.
func TestFleetLeave(t *testing.T) {
	r := rehearse(t, 3, "4s", "")
	together(t, r, 3, 0, 1, 2)
	r.Strike(emu.Fault{Kind: "proxy_end", Proxies: []int{1}})
	eventually(t, "it has left", func() bool { return sees(r, 0, 1, "left") && sees(r, 2, 1, "left") })
}

// A new operator file is taken by SIGHUP whole or not at all, and the door says what is in force.
func TestFleetReload(t *testing.T) {
	one, d := newHost(t, saying(text(200, "", "one"), true)), newRegistry(t)
	p := prepare(t, d.addr, 1024, entry("s-1", one.Addr().String(), "ready"))
	mine, other := freeAddr(t), freeAddr(t)
	file := func(name, more string) string {
		return fmt.Sprintf("format = \"ivybank/operator/1\"\n[fleet]\nname = %q\nlisten = %q\npeers = [%q, %q]\nme = 0\ndatagrams_per_second = 20.0\nack_wait = \"100ms\"\nquiet = \"1s\"\n%s",
			name, mine, mine, other, more)
	}
	operator := write(t, t.TempDir(), "o.toml", "format = \"ivybank/operator/1\"\n")
	p.args = []string{"serve", "--operator", operator}
	p.start(t)
	if got := p.operate(t, "GET", "/fleet"); got != 404 {
		t.Errorf("got %d without a fleet", got)
	}
	put := func(text string) {
		write(t, filepath.Dir(operator), "o.toml", text)
		p.hup(t, p.text(t))
	}
	put(file("a", ""))
	eventually(t, "peers are heard", func() bool { return p.operate(t, "GET", "/fleet") == 200 })
	put(file("a", "[fleet.overload]\nfurther = 7.0\n"))
	eventually(t, "the bad file is told of", func() bool { return p.out.count("new configuration ignored") == 1 })
	if p.out.count("fleet.overload.further: expected a fraction from 0 to 1") != 1 || p.operate(t, "GET", "/fleet") != 200 {
		t.Errorf("not told, or not as before: %s", p.out)
	}
	put("format = \"ivybank/operator/1\"\n")
	eventually(t, "none are heard any more", func() bool { return p.operate(t, "GET", "/fleet") == 404 })
	put(file("b", ""))
	eventually(t, "they are heard again", func() bool { return p.operate(t, "GET", "/fleet") == 200 })
	if a, _ := p.ask(t, call("POST", "r1", "once", "x")); a.StatusCode != 200 {
		t.Errorf("got %d for a req", a.StatusCode)
	}
}
