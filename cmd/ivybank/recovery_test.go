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

// recoveryOperatorFile is the operator file of proxies that exchange datagrams, write snapshots and query peers after
// a restart.
const recoveryOperatorFile = `format = "ivybank/operator/1"
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

// hungServers is a fault in which two listed servers hang, and no list says so, since discovery is down.
const hungServers = "[[fault]]\nkind = \"discovery_down\"\nat = \"500ms\"\nfor = \"60s\"\n[[fault]]\nkind = \"hang\"\nat = \"600ms\"\nfor = \"60s\"\nservers = [\"s-001\", \"s-002\"]\n"

func startRecoveryFleet(t *testing.T, proxies int, length, operator, more string) *lab.Rehearsal {
	t.Helper()
	return startFleetWith(t, proxies, length, writeFile(t, t.TempDir(), "o.toml", operator), 60, "", more)
}

// checkRecovered fails the test if a rule was broken, a process ended by itself, or service did not recover.
func checkRecovered(t *testing.T, f *lab.Figures, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
	if f.Breaches != [5]int{} || f.Crashes > 0 {
		t.Errorf("breaches %v, %d crashes: %v", f.Breaches, f.Crashes, f.Notes)
	}
	if n := len(f.Line); f.Line[n-2] < 0.85 {
		t.Errorf("service by seconds %.2f: it has not recovered", f.Line)
	}
}

// Most or all proxies are killed at once. Whatever has happened to their files, they serve again: an intact snapshot
// is used, a damaged one is reported once and not used.
func TestRecovery(t *testing.T) {
	kill := "[[fault]]\nkind = \"proxy_kill\"\nat = \"6s\"\nfor = \"300ms\"\nproxies = [%s]\n"
	at := func(kind, more string) string {
		return fmt.Sprintf("[[fault]]\nkind = %q\nat = \"6s\"\nproxies = [0, 1, 2]\n%s", kind, more)
	}
	for _, c := range []struct {
		name, killed, state string
		disk                bool // the list from the snapshot is used
	}{
		{"three of four, with snapshots", "0, 1, 2", "", true},
		{"all, with snapshots", "0, 1, 2, 3", "", true},
		{"three of four, snapshots lost", "0, 1, 2", at("state_lost", ""), false},
		{"all, snapshots lost", "0, 1, 2, 3", at("state_lost", ""), false},
		{"three of four, snapshots truncated", "0, 1, 2", at("state_cut", "size = 0.6\n"), false},
		{"three of four, a bit flipped", "0, 1, 2", at("state_flip", ""), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := startRecoveryFleet(t, 4, "11s", recoveryOperatorFile, hungServers+fmt.Sprintf(kill, c.killed)+c.state)
			waitAlive(t, r, 4, 0, 1, 2, 3)
			f, err := r.Play()
			checkRecovered(t, f, err)
			for i := range 3 {
				v, ok := r.Returned(i)
				if !ok {
					t.Fatalf("proxy %d reports nothing of its recovery", i)
				}
				if (v.List == "disk") != c.disk || c.disk && v.Refused > 0 {
					t.Errorf("proxy %d uses the list from %s, %d refused, kept %v", i, v.List, v.Refused, v.Kept)
				}
				if damaged := c.state != "" && !strings.Contains(c.state, "lost"); damaged != (v.Refused == 1) {
					t.Errorf("proxy %d has refused %d snapshots", i, v.Refused)
				}
				if c.killed == "0, 1, 2" && v.Answers == 0 {
					t.Errorf("proxy %d has got no answer from the surviving proxy in %d queries", i, v.Asked)
				}
			}
		})
	}
}

// A proxy that is killed again and again, at various points of writing a snapshot, finds an intact one each time.
func TestRecoveryKillLoop(t *testing.T) {
	t.Parallel()
	r := startRecoveryFleet(t, 2, "4s", recoveryOperatorFile, "")
	waitAlive(t, r, 2, 0, 1)
	eventually(t, "there is a snapshot", func() bool { v, ok := r.Returned(1); return ok && v.Written > 0 })
	for n := range 8 {
		before, _ := r.View(1)
		r.InjectFault(emu.Fault{Kind: "proxy_kill", Proxies: []int{1}, Duration: 1e6})
		eventually(t, "it is back", func() bool { v, ok := r.View(1); return ok && v.Incarnation > before.Incarnation })
		v, ok := r.Returned(1)
		if !ok || v.Refused > 0 || len(v.Kept) == 0 {
			t.Fatalf("start %d: %d snapshots refused, %v kept", n, v.Refused, v.Kept)
		}
		time.Sleep(time.Duration(100+13*n) * time.Millisecond) // at a different point between two snapshots each time
	}
}

// A folder to which nothing can be written causes a warning and no failed request; the old snapshot stays.
func TestRecoveryDiskFull(t *testing.T) {
	t.Parallel()
	r := startRecoveryFleet(t, 2, "4s", recoveryOperatorFile, "")
	eventually(t, "there is a snapshot", func() bool { v, ok := r.Returned(0); return ok && v.Written > 0 })
	r.InjectFault(emu.Fault{Kind: "state_full", Proxies: []int{0, 1}})
	eventually(t, "writing fails", func() bool { v, ok := r.Returned(0); return ok && v.Unwritten > 1 })
	f, err := r.Play()
	checkRecovered(t, f, err)
	if _, err := snapshot.Read(filepath.Join(r.Folder(0), "state")); err != nil {
		t.Errorf("the old snapshot is missing: %v", err)
	}
}

// A surviving proxy whose own link to a healthy server is broken takes the server to be down and reports that to
// restarted proxies. They use the server all the same.
func TestRecoveryWrongReport(t *testing.T) {
	t.Parallel()
	r := startRecoveryFleet(t, 4, "11s", recoveryOperatorFile, `[[fault]]
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
	waitAlive(t, r, 4, 0, 1, 2, 3)
	f, err := r.Play()
	checkRecovered(t, f, err)
	answers := 0
	for i := 1; i < 4; i++ {
		v, ok := r.Returned(i)
		if !ok {
			t.Fatalf("proxy %d reports nothing", i)
		}
		answers += v.Answers
		view, _ := r.View(i)
		if len(view.ReducedShares) > 0 {
			t.Errorf("proxy %d has reduced shares %v", i, view.ReducedShares)
		}
	}
	if answers == 0 {
		t.Error("no proxy got an answer from a peer")
	}
	if n := r.SentSince(6500*time.Millisecond, "s-003"); n < 5 {
		t.Errorf("%d dispatches to the server that only one proxy cannot reach", n)
	}
}

// Restarted proxies reach only one another. Without peers to query and without files they behave as on a first start.
func TestRecoveryWithoutPeers(t *testing.T) {
	t.Parallel()
	r := startRecoveryFleet(t, 4, "10s", recoveryOperatorFile, hungServers+`[[fault]]
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
	waitAlive(t, r, 4, 0, 1, 2, 3)
	f, err := r.Play()
	checkRecovered(t, f, err)
	for i := 1; i < 4; i++ {
		if v, ok := r.Returned(i); !ok || v.Answers > 0 {
			t.Errorf("proxy %d has had %d answers from proxies that have just started", i, v.Answers)
		}
	}
}

// A proxy that was paused for seconds resumes with clients waiting, and has missed a drain. It sends nothing to the
// drained server.
func TestRecoveryPausedDrain(t *testing.T) {
	t.Parallel()
	r := startRecoveryFleet(t, 3, "12s", recoveryOperatorFile, `[[fault]]
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
	waitAlive(t, r, 3, 0, 1, 2)
	f, err := r.Play()
	checkRecovered(t, f, err)
	if v, ok := r.Returned(1); !ok || v.Stalls == 0 {
		t.Errorf("it has not noticed the pause: %+v", v)
	}
}

// A proxy that starts without discovery, on the list of its snapshot, honours a drain that a peer knows of.
func TestRecoveryDrainFromPeers(t *testing.T) {
	t.Parallel()
	r := startRecoveryFleet(t, 3, "12s", recoveryOperatorFile, `[[fault]]
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
	waitAlive(t, r, 3, 0, 1, 2)
	f, err := r.Play()
	checkRecovered(t, f, err)
	v, ok := r.Returned(1)
	if !ok || v.List != "disk" || v.DrainingByPeers != 1 {
		t.Fatalf("it uses the list from %s, peers have reported %d drains", v.List, v.DrainingByPeers)
	}
	if n := r.ProxySentSince(1, 8500*time.Millisecond, "s-002"); n > 0 {
		t.Errorf("%d dispatches to the draining server after the report", n)
	}
}

// The ledger is lost or replaced by an older copy. A key whose request may have been executed is refused, because the
// snapshot or a peer knows of newer keys.
func TestRecoveryKeysLost(t *testing.T) {
	t.Parallel()
	keyed := recoveryOperatorFile + "[idempotency]\nheader = \"Idempotency-Key\"\nfolder = \"%s\"\nentries = 1000\n" +
		"answer_bytes = 65536\nlargest_answer = 1024\nwaiters = 10\nlongest_key = 100\nretry_in = \"200ms\"\n[[idempotency.ruleset]]\nname = \"filing\"\nretain = \"10m\"\n"
	for _, c := range []struct{ name, folder, fault string }{
		{"all files lost, peer knows", "state", "state_lost"},
		{"older copy restored, peer knows", "state", "state_old"},
		{"only the ledger lost, snapshot knows", "keys", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := startRecoveryFleet(t, 3, "4s", fmt.Sprintf(keyed, c.folder), "")
			waitAlive(t, r, 3, 0, 1, 2)
			ask := func(key string) (int, string) { return r.Ask(1, "filing", "Idempotency-Key", key) }
			eventually(t, "keys are accepted", func() bool { status, _ := ask("first"); return status == 200 })
			r.InjectFault(emu.Fault{Kind: "state_save", Proxies: []int{1}})
			time.Sleep(300 * time.Millisecond) // until the copy has been made
			if status, outcome := ask("second"); status != 200 {
				t.Fatalf("got %d (%s) for the first request with a key", status, outcome)
			}
			time.Sleep(1500 * time.Millisecond) // until peers know and a snapshot has been written; a longer wait does no harm
			if r.InjectFault(emu.Fault{Kind: "proxy_kill", Proxies: []int{1}, Duration: 500e6}); c.fault != "" {
				r.InjectFault(emu.Fault{Kind: c.fault, Proxies: []int{1}})
			} else if err := os.RemoveAll(filepath.Join(r.Folder(1), "keys")); err != nil {
				t.Fatal(err)
			}
			time.Sleep(300 * time.Millisecond)
			eventually(t, "it is back", func() bool { status, _ := ask("third"); return status != 0 })
			for range 20 { // while it waits for peers, and after
				status, outcome := ask("second")
				if status == 200 {
					t.Fatalf("a request that was executed was dispatched again (%s)", outcome)
				}
				time.Sleep(150 * time.Millisecond)
			}
			if status, outcome := ask("second"); status != 503 || !strings.Contains(outcome, "lost") {
				t.Errorf("got %d %q, want an outcome that says that keys were lost", status, outcome)
			}
		})
	}
}
