package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"ivybank/fleet/snapshot"
	"ivybank/rehearse/emu"
	"ivybank/rehearse/lab"
)

// returning is what proxies that come back are set to do: they hear one another, keep snapshots, and ask.
const returning = `format = "ivybank/operator/1"
[fleet]
name = "rehearsal"
datagrams_per_second = 24.0
ack_wait = "300ms"
quiet = "2300ms"
[return]
folder = "state"
every = "100ms"
trust = "30s"
[return.learn]
others = 2
for = "3s"
`

// hung is a fleet in which two servers hang that the list names, and nobody tells otherwise, since discovery is down.
const hung = "[[fault]]\nkind = \"discovery_down\"\nat = \"500ms\"\nfor = \"60s\"\n[[fault]]\nkind = \"hang\"\nat = \"600ms\"\nfor = \"60s\"\nservers = [\"s-001\", \"s-002\"]\n"

func rehearseReturn(t *testing.T, proxies int, length, operator, more string) *lab.Rehearsal {
	t.Helper()
	return rehearseWith(t, proxies, length, write(t, t.TempDir(), "o.toml", operator), 60, "", more)
}

// whole fails where a rule was broken, a process has ended by itself, or service did not come back.
func whole(t *testing.T, f *lab.Figures, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
	if f.Breaches != [5]int{} || f.Crashes > 0 {
		t.Errorf("breaches %v, %d crashes: %v", f.Breaches, f.Crashes, f.Notes)
	}
	if n := len(f.Line); f.Line[n-2] < 0.85 {
		t.Errorf("service by seconds %.2f: it has not come back", f.Line)
	}
}

// Most proxies, or all, are killed in one instant, and whatever has become of what they kept they serve again; what is whole is believed,
// what is not is told of once and not taken.
func TestReturn(t *testing.T) {
	kill := "[[fault]]\nkind = \"proxy_kill\"\nat = \"6s\"\nfor = \"300ms\"\nproxies = [%s]\n"
	at := func(kind, more string) string {
		return fmt.Sprintf("[[fault]]\nkind = %q\nat = \"6s\"\nproxies = [0, 1, 2]\n%s", kind, more)
	}
	for _, c := range []struct {
		name, who, state string
		disk             bool // what was kept is believed
	}{
		{"three of four, with snapshots", "0, 1, 2", "", true},
		{"all, with snapshots", "0, 1, 2, 3", "", true},
		{"three of four, snapshots lost", "0, 1, 2", at("state_lost", ""), false},
		{"all, snapshots lost", "0, 1, 2, 3", at("state_lost", ""), false},
		{"three of four, cut short", "0, 1, 2", at("state_cut", "size = 0.6\n"), false},
		{"three of four, a bit turned", "0, 1, 2", at("state_flip", ""), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := rehearseReturn(t, 4, "11s", returning, hung+fmt.Sprintf(kill, c.who)+c.state)
			together(t, r, 4, 0, 1, 2, 3)
			f, err := r.Play()
			whole(t, f, err)
			for i := range 3 {
				v, ok := r.Returned(i)
				if !ok {
					t.Fatalf("proxy %d says nothing of its coming back", i)
				}
				if (v.List == "disk") != c.disk || c.disk && v.Refused > 0 {
					t.Errorf("proxy %d runs on the list from %s, %d refused, by %v", i, v.List, v.Refused, v.Kept)
				}
				if damaged := c.state != "" && !strings.Contains(c.state, "lost"); damaged != (v.Refused == 1) {
					t.Errorf("proxy %d has refused %d", i, v.Refused)
				}
				if c.who == "0, 1, 2" && v.Answers == 0 {
					t.Errorf("proxy %d has learnt nothing of the one that lived on, in %d questions", i, v.Asked)
				}
			}
		})
	}
}

// One that dies again and again, at whatever point of a snapshot's writing, finds a whole one each time.
func TestReturnKillLoop(t *testing.T) {
	t.Parallel()
	r := rehearseReturn(t, 2, "4s", returning, "")
	together(t, r, 2, 0, 1)
	eventually(t, "there is a snapshot", func() bool { v, ok := r.Returned(1); return ok && v.Written > 0 })
	for n := range 8 {
		before, _ := r.View(1)
		r.Strike(emu.Fault{Kind: "proxy_kill", Proxies: []int{1}, Duration: 1e6})
		eventually(t, "it is back", func() bool { v, ok := r.View(1); return ok && v.Incarnation > before.Incarnation })
		v, ok := r.Returned(1)
		if !ok || v.Refused > 0 || len(v.Kept) == 0 {
			t.Fatalf("start %d: %d snapshots refused, %v believed", n, v.Refused, v.Kept)
		}
		time.Sleep(time.Duration(100+13*n) * time.Millisecond) // another point of the time between two snapshots each time
	}
}

// A folder in which nothing can be written costs a warning and no req; what was kept stays.
func TestReturnFull(t *testing.T) {
	t.Parallel()
	r := rehearseReturn(t, 2, "4s", returning, "")
	eventually(t, "there is a snapshot", func() bool { v, ok := r.Returned(0); return ok && v.Written > 0 })
	r.Strike(emu.Fault{Kind: "state_full", Proxies: []int{0, 1}})
	eventually(t, "writing fails", func() bool { v, ok := r.Returned(0); return ok && v.Unwritten > 1 })
	f, err := r.Play()
	whole(t, f, err)
	if _, err := snapshot.Read(filepath.Join(r.Folder(0), "state")); err != nil {
		t.Errorf("what was kept before is gone: %v", err)
	}
}

// A survivor whose own link to a healthy server is broken holds it to be out and teaches that to those that come back: they use it all
// the same.
func TestReturnWrongBelief(t *testing.T) {
	t.Parallel()
	r := rehearseReturn(t, 4, "11s", returning, `[[fault]]
kind = "unlink"
at = "0s"
for = "60s"
proxies = [0]
servers = ["s-003"]
[[fault]]
kind = "proxy_kill"
at = "6s"
for = "100ms"
proxies = [1, 2, 3]
[[fault]]
kind = "state_lost"
at = "6s"
proxies = [1, 2, 3]
`)
	together(t, r, 4, 0, 1, 2, 3)
	f, err := r.Play()
	whole(t, f, err)
	taught := 0
	for i := 1; i < 4; i++ {
		v, ok := r.Returned(i)
		if !ok {
			t.Fatalf("proxy %d says nothing", i)
		}
		taught += v.Answers
		view, _ := r.View(i)
		if len(view.ReducedShares) > 0 {
			t.Errorf("proxy %d is wary of %v", i, view.ReducedShares)
		}
	}
	if taught == 0 {
		t.Error("nobody was taught")
	}
	if n := r.SentSince(6500*time.Millisecond, "s-003"); n < 5 {
		t.Errorf("%d dispatches came to the server that one alone holds to be out", n)
	}
}

// Those that come back see only one another: with nobody to ask and nothing kept they are as one that starts.
func TestReturnAlone(t *testing.T) {
	t.Parallel()
	r := rehearseReturn(t, 4, "10s", returning, hung+`[[fault]]
kind = "split"
at = "4s"
for = "60s"
proxies = [1, 2, 3]
[[fault]]
kind = "proxy_kill"
at = "5s"
for = "200ms"
proxies = [1, 2, 3]
[[fault]]
kind = "state_lost"
at = "5s"
proxies = [1, 2, 3]
`)
	together(t, r, 4, 0, 1, 2, 3)
	f, err := r.Play()
	whole(t, f, err)
	for i := 1; i < 4; i++ {
		if v, ok := r.Returned(i); !ok || v.Answers > 0 {
			t.Errorf("proxy %d has had %d answers, from others that have just begun", i, v.Answers)
		}
	}
}

// A proxy that was stopped for seconds wakes with clients waiting and a drain that it never heard: it sends nothing there.
func TestReturnPausedDrain(t *testing.T) {
	t.Parallel()
	r := rehearseReturn(t, 3, "12s", returning, `[[fault]]
kind = "proxy_pause"
at = "3s"
for = "5s"
proxies = [1]
[[fault]]
kind = "drain"
at = "4s"
for = "60s"
servers = ["s-002"]
`)
	together(t, r, 3, 0, 1, 2)
	f, err := r.Play()
	whole(t, f, err)
	if v, ok := r.Returned(1); !ok || v.Stalls == 0 {
		t.Errorf("it has not noticed that it stood still: %+v", v)
	}
}

// A proxy that starts without discovery, on the list that it kept, honours a drain that another knows of.
func TestReturnDrainByOthers(t *testing.T) {
	t.Parallel()
	r := rehearseReturn(t, 3, "12s", returning, `[[fault]]
kind = "undiscovered"
at = "2s"
for = "60s"
proxies = [1]
[[fault]]
kind = "drain"
at = "3s"
for = "60s"
servers = ["s-002"]
[[fault]]
kind = "proxy_kill"
at = "6s"
for = "200ms"
proxies = [1]
`)
	together(t, r, 3, 0, 1, 2)
	f, err := r.Play()
	whole(t, f, err)
	v, ok := r.Returned(1)
	if !ok || v.List != "disk" || v.DrainingByPeers != 1 {
		t.Fatalf("it runs on the list from %s, others have told it of %d drains", v.List, v.DrainingByPeers)
	}
	if n := r.ProxySentSince(1, 8500*time.Millisecond, "s-002"); n > 0 {
		t.Errorf("%d dispatches to the draining server after it was told", n)
	}
}

// A ledger that was lost, or put back from an older copy: a key that may have run is refused, by the snapshot's or another's word.
func TestReturnKeysLost(t *testing.T) {
	t.Parallel()
	keyed := returning + "[idempotency]\nheader = \"Idempotency-Key\"\nfolder = \"%s\"\nentries = 1000\nanswer_bytes = 65536\nlargest_answer = 1024\nwaiters = 10\nlongest_key = 100\nretry_in = \"200ms\"\n[[idempotency.ruleset]]\nname = \"filing\"\nretain = \"10m\"\n"
	for _, c := range []struct{ name, folder, fault string }{
		{"all of it lost, by another's word", "state", "state_lost"},
		{"put back from an older copy, by another's word", "state", "state_old"},
		{"the ledger alone lost, by the snapshot", "keys", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := rehearseReturn(t, 3, "4s", fmt.Sprintf(keyed, c.folder), "")
			together(t, r, 3, 0, 1, 2)
			ask := func(key string) (int, string) { return r.Ask(1, "filing", "Idempotency-Key", key) }
			eventually(t, "keys are taken", func() bool { status, _ := ask("first"); return status == 200 })
			r.Strike(emu.Fault{Kind: "state_save", Proxies: []int{1}})
			time.Sleep(300 * time.Millisecond) // the copy is made
			if status, outcome := ask("second"); status != 200 {
				t.Fatalf("got %d (%s) for the first of a key", status, outcome)
			}
			time.Sleep(1500 * time.Millisecond) // others have heard, and a snapshot was written; longer does no harm
			if r.Strike(emu.Fault{Kind: "proxy_kill", Proxies: []int{1}, Duration: 500e6}); c.fault != "" {
				r.Strike(emu.Fault{Kind: c.fault, Proxies: []int{1}})
			} else if err := os.RemoveAll(filepath.Join(r.Folder(1), "keys")); err != nil {
				t.Fatal(err)
			}
			time.Sleep(300 * time.Millisecond)
			eventually(t, "it is back", func() bool { status, _ := ask("third"); return status != 0 })
			for range 20 { // while it waits for a witness and after
				status, outcome := ask("second")
				if status == 200 {
					t.Fatalf("a key that has run was dispatched again (%s)", outcome)
				}
				time.Sleep(150 * time.Millisecond)
			}
			if status, outcome := ask("second"); status != 503 || !strings.Contains(outcome, "lost") {
				t.Errorf("got %d %q, want to be told that keys were lost", status, outcome)
			}
		})
	}
}
