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

// startFleet starts the given number of proxy processes, which exchange datagrams through the test rig, with a light
// load to be played.
func startFleet(t *testing.T, proxies int, length, more string) *lab.Rehearsal {
	t.Helper()
	operator, err := filepath.Abs("../../rehearse/lab/experiments/operator/fleet.toml")
	if err != nil {
		t.Fatal(err)
	}
	return startFleetWith(t, proxies, length, operator, 90, "", more)
}

// startFleetWith is startFleet with another operator file, a rate in requests per second and a ramp.
func startFleetWith(t *testing.T, proxies int, length, operator string, rate float64, ramp, more string) *lab.Rehearsal {
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
rate = %.1f # the servers can do 120
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

// sees reports whether a proxy believes a member to be in one of the given states.
func sees(r *lab.Rehearsal, proxy, member int, states ...string) bool {
	v, ok := r.View(proxy)
	return ok && member < len(v.Members) && slices.Contains(states, v.Members[member].State)
}

// waitAlive waits until each of the given proxies believes that the given number of members is alive.
func waitAlive(t *testing.T, r *lab.Rehearsal, alive int, proxies ...int) {
	t.Helper()
	for _, i := range proxies {
		eventually(t, fmt.Sprintf("proxy %d sees %d members alive", i, alive), func() bool {
			v, ok := r.View(i)
			seen := 0
			for _, m := range v.Members {
				if m.State == "alive" {
					seen++
				}
			}
			return ok && seen == alive
		})
	}
}

// Two processes find each other by their configuration. A killed one is declared dead, and alive again after its
// restart.
func TestFleetOfTwo(t *testing.T) {
	r := startFleet(t, 2, "4s", "")
	waitAlive(t, r, 2, 0, 1)
	undo := r.InjectFault(emu.Fault{Kind: "proxy_kill", Proxies: []int{1}, Duration: 6e9})
	defer undo()
	eventually(t, "the killed member is declared dead", func() bool { return sees(r, 0, 1, "dead") })
	waitAlive(t, r, 2, 0, 1)
	eventually(t, "the restarted member has a new life number", func() bool {
		v, ok := r.View(0)
		w, also := r.View(1)
		return ok && also && v.Members[1].Incarnation == w.Incarnation
	})
}

// surge is a load of 1.8 times what the servers can do, from 2 s on.
const surge = "[[fault]]\nkind = \"surge\"\nat = \"2s\"\nfor = \"6s\"\nsize = 2.4\n"

// playOverload plays the load and checks that the fleet protects valuable requests: at least the given fraction of
// them has to be served in time.
func playOverload(t *testing.T, r *lab.Rehearsal, valuable float64) *lab.Figures {
	t.Helper()
	f, err := r.Play()
	if err != nil {
		t.Fatal(err)
	}
	if f.Breaches != [5]int{} || f.Crashes > 0 {
		t.Errorf("breaches %v, %d crashes: %v", f.Breaches, f.Crashes, f.Notes)
	}
	if f.Classes["filing"] < valuable {
		t.Errorf("%.2f of the valuable requests served in time, want at least %.2f (of the others %.2f)",
			f.Classes["filing"], valuable, f.Classes["batch"])
	}
	if n := len(f.Line); n < 2 || f.Line[n-2] < 0.8 {
		t.Errorf("service by seconds %.2f: it has not recovered", f.Line)
	}
	return f
}

// countShedders returns the number of members that have shed requests by the common cut-off value.
func countShedders(f *lab.Figures) int {
	members := map[int]bool{}
	for _, v := range f.Views {
		if v.Shed > 0 {
			members[v.Proxy] = true
		}
	}
	return len(members)
}

// An overload from clients that retry three times at once: all members deny the least valuable requests, and the
// overload ends with its cause. Whatever happens to the members meanwhile, valuable requests are served and no rule
// is broken.
func TestFleetOverload(t *testing.T) {
	for _, c := range []struct {
		name, fault string
		valuable    float64
	}{
		{"no fault", "", 0.85},
		{"half cut off", "[[fault]]\nkind = \"split\"\nat = \"3s\"\nfor = \"4s\"\nproxies = [0, 1]\n", 0.75},
		{"half not heard", "[[fault]]\nkind = \"split\"\nat = \"3s\"\nfor = \"4s\"\nproxies = [0, 1]\nway = \"out\"\n", 0.75},
		{"one killed at the peak", "[[fault]]\nkind = \"proxy_kill\"\nat = \"4s\"\nfor = \"500ms\"\nproxies = [2]\n", 0.75},
		{"one paused, with an outdated cut-off", "[[fault]]\nkind = \"proxy_pause\"\nat = \"4s\"\nfor = \"3s\"\nproxies = [1]\n", 0.6},
		{"datagrams lost, delayed, duplicated, corrupted", "[[fault]]\nkind = \"datagrams\"\nat = \"0s\"\nloss = 0.1\ndouble = 0.2\ngarble = 0.1\ndelay = \"20ms\"\nspread = \"80ms\"\n", 0.75},
		{"all load at one, then at another", "[[fault]]\nkind = \"pour\"\nat = \"2s\"\nfor = \"3s\"\nproxies = [0]\n[[fault]]\nkind = \"pour\"\nat = \"5s\"\nfor = \"3s\"\nproxies = [3]\n", 0.6},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := startFleet(t, 4, "12s", surge+c.fault)
			waitAlive(t, r, 4, 0, 1, 2, 3)
			if n := countShedders(playOverload(t, r, c.valuable)); n < 1 {
				t.Error("no member has shed requests by the cut-off")
			}
		})
	}
}

// Two members report impossible values, one an enormous load and one none, and send datagrams of another build. The
// others must behave as they would without them.
func TestFleetFalseReports(t *testing.T) {
	r := startFleet(t, 5, "6s", "")
	waitAlive(t, r, 5, 0, 1, 2)
	for _, index := range []int{3, 4} {
		conn, peers, err := r.Impersonate(index)
		if err != nil {
			t.Fatal(err)
		}
		over := make(chan bool)
		t.Cleanup(func() { close(over); _ = conn.Close() })
		go sendFalseReports(conn, peers, index, over)
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
			t.Errorf("proxy %d: offered %.0f, %d shed, reduced shares %v", i, v.Offered, v.Counts.Shed, v.ReducedShares)
		}
	}
	eventually(t, "impossible reports are counted", func() bool {
		v, ok := r.View(2) // the neighbour of the member that reports an enormous load
		return ok && v.Implausible > 0
	})
}

// sendFalseReports answers pings as a member would. Member 3 reports a load that no member can have, the other one
// none, and both report that all servers are lost.
func sendFalseReports(conn *net.UDPConn, peers []*net.UDPAddr, index int, over chan bool) {
	name, life := peer.FleetHash("rehearsal"), swim.IncarnationAt(time.Now().UnixNano())
	load := aggregate.Load{}
	if index == 3 {
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
		_ = conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		d := peer.Datagram{From: index, Incarnation: life, Number: n,
			Sums: []peer.LoadSum{{Block: index, Incarnation: life, Members: 1, Load: load.Bytes()}}}
		to := peers[int(n)%3]
		if size, from, err := conn.ReadFromUDP(b); err == nil {
			if got, err := peer.Decode(name, b[:size]); err == nil && got.Kind == peer.Ping {
				d.Kind, d.Seq, d.Subject, to = peer.Ack, got.Seq, index, from
			}
		}
		for i := range 2 {
			d.Hints = append(d.Hints, peer.Hint{Server: peer.ServerHash(fmt.Sprintf("s-%03d", i+1)),
				Origin: index, Observation: peer.DispatchesLost})
		}
		text, err := peer.Encode(name, &d)
		if err != nil {
			continue
		}
		_, _ = conn.WriteToUDP(text, to)
		text[0]++ // another build
		_, _ = conn.WriteToUDP(text, to)
	}
}

// All servers turn slow together: there are hardly any further dispatches, and no member ejects a server because of
// another's report.
func TestFleetAllSlow(t *testing.T) {
	r := startFleet(t, 4, "14s", "[[fault]]\nkind = \"slow\"\nat = \"3s\"\nfor = \"4s\"\nsize = 12.0\ncount = 6\n")
	waitAlive(t, r, 4, 0, 1, 2, 3)
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
		t.Errorf("service by seconds %.2f: it has not recovered", f.Line)
	}
}

// The first prober of a hanging server dies while the server comes back cold: another member takes over, and all of
// them together do not overload it.
func TestFleetProberDies(t *testing.T) {
	r := startFleet(t, 4, "14s", "[[fault]]\nkind = \"hang\"\nat = \"2s\"\nfor = \"4s\"\nservers = [\"s-002\"]\n")
	waitAlive(t, r, 4, 0, 1, 2, 3)
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
	time.AfterFunc(6*time.Second, func() { r.InjectFault(emu.Fault{Kind: "proxy_kill", Proxies: []int{owner}, Duration: 60e9}) })
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

// A proxy that gets processor time only intermittently does not declare its neighbours dead, nor do most of them
// declare it dead.
func TestFleetStarved(t *testing.T) {
	r := startFleet(t, 4, "8s", "[[fault]]\nkind = \"proxy_starve\"\nat = \"1s\"\nfor = \"6s\"\nproxies = [2]\nsize = 0.7\n")
	waitAlive(t, r, 4, 0, 1, 2, 3)
	f, err := r.Play()
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range f.Views {
		if v.Proxy == 2 && len(v.Dead) > 0 {
			t.Fatalf("at %.1f s it has declared %v dead", v.At, v.Dead)
		}
	}
	if f.Breaches != [5]int{} {
		t.Errorf("breaches %v: %v", f.Breaches, f.Notes)
	}
}

// A proxy that is told to stop is known to have left.
func TestFleetLeave(t *testing.T) {
	r := startFleet(t, 3, "4s", "")
	waitAlive(t, r, 3, 0, 1, 2)
	r.InjectFault(emu.Fault{Kind: "proxy_end", Proxies: []int{1}})
	eventually(t, "it has left", func() bool { return sees(r, 0, 1, "left") && sees(r, 2, 1, "left") })
}

// SIGHUP applies a new operator file completely or not at all, and the admin address shows what is in force.
func TestFleetReload(t *testing.T) {
	one, d := newFakeHost(t, replyWith(httpResponse(200, "", "one"), true)), newFakeDiscovery(t)
	p := prepareProxy(t, d.addr, 1024, hostEntry("s-1", one.Addr().String(), "ready"))
	mine, other := freeAddr(t), freeAddr(t)
	file := func(name, more string) string {
		return fmt.Sprintf("format = \"ivybank/operator/1\"\n[fleet]\nname = %q\nlisten = %q\npeers = [%q, %q]\nme = 0\ndatagrams_per_second = 20.0\nack_wait = \"100ms\"\nquiet = \"1s\"\n%s",
			name, mine, mine, other, more)
	}
	operator := writeFile(t, t.TempDir(), "o.toml", "format = \"ivybank/operator/1\"\n")
	p.args = []string{"serve", "--operator", operator}
	p.start(t)
	if got := p.callAdminAPI(t, "GET", "/fleet"); got != 404 {
		t.Errorf("got %d without a fleet", got)
	}
	put := func(text string) {
		writeFile(t, filepath.Dir(operator), "o.toml", text)
		p.reload(t, p.configText(t))
	}
	put(file("a", ""))
	eventually(t, "the fleet is joined", func() bool { return p.callAdminAPI(t, "GET", "/fleet") == 200 })
	put(file("a", "[fleet.overload]\nfurther = 7.0\n"))
	eventually(t, "the invalid file is logged", func() bool { return p.out.count("new configuration ignored") == 1 })
	if p.out.count("fleet.overload.further: expected a fraction from 0 to 1") != 1 ||
		p.callAdminAPI(t, "GET", "/fleet") != 200 {
		t.Errorf("not logged, or the fleet has changed: %s", p.out)
	}
	put("format = \"ivybank/operator/1\"\n")
	eventually(t, "the fleet is left", func() bool { return p.callAdminAPI(t, "GET", "/fleet") == 404 })
	put(file("b", ""))
	eventually(t, "the fleet is joined again", func() bool { return p.callAdminAPI(t, "GET", "/fleet") == 200 })
	if a, _ := p.do(t, clientRequest("POST", "r1", "once", "x")); a.StatusCode != 200 {
		t.Errorf("got %d for a request", a.StatusCode)
	}
}
