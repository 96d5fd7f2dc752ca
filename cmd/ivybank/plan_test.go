package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"ivybank/fleet/planexec"
	"ivybank/fleet/snapshot"
	"ivybank/fleet/warmstart"
	"ivybank/rehearse/emu"
	"ivybank/rehearse/lab"
)

// planOperatorFile is the operator file of proxies that carry out plans.
const planOperatorFile = `format = "ivybank/operator/1"
[fleet]
name = "rehearsal"
datagrams_per_second = 24.0
ack_wait = "300ms"
quiet = "2300ms"
[maintenance]
folder = "state"
voters = 3
service = 0.8
settle = "300ms"
grace = "200ms"
`

const testPlan = "format = \"ivybank/fleet/plan/1\"\nid = \"kernel\"\nall = true\nmost_out = 1\nleast_capacity = 0.5\norder = \"zone\"\ndone_by = \"start\"\n"

// maintenanceCrew stands for the operators. It restarts each server once that any proxy reports as out, and records
// how many were down at once.
type maintenanceCrew struct {
	mu      sync.Mutex
	worked  map[string]int
	down    int
	maxDown int
}

// planStatus returns what a proxy reports of the plan at its admin address.
func planStatus(r *lab.Rehearsal, proxy int) (x planexec.Status, ok bool) {
	text, err := callAdmin(http.MethodGet, r.AdminAddr(proxy), "/plans/kernel", nil)
	var all []planexec.Status
	if err != nil || json.Unmarshal(text, &all) != nil || len(all) != 1 {
		return x, false
	}
	return all[0], true
}

// workUntilEnded polls the proxies' admin addresses and works on servers until one of them reports that the plan has
// ended.
func (m *maintenanceCrew) workUntilEnded(t *testing.T, r *lab.Rehearsal, proxies int) {
	t.Helper()
	for end := time.Now().Add(3 * testTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for i := range proxies {
			x, ok := planStatus(r, i)
			if ok && x.State == "ended" {
				return
			}
			for _, s := range x.Steps {
				m.mu.Lock()
				if s.Phase == "out" && m.worked[s.Server] == 0 {
					m.worked[s.Server]++
					m.down++
					m.maxDown = max(m.maxDown, m.down)
					go func() {
						undo := r.InjectFault(emu.Fault{Kind: "crash", Servers: []string{s.Server}})
						time.Sleep(200 * time.Millisecond)
						undo()
						m.mu.Lock()
						m.down--
						m.mu.Unlock()
					}()
				}
				m.mu.Unlock()
			}
		}
	}
	for i := range proxies {
		x, ok := planStatus(r, i)
		t.Logf("proxy %d: %v %+v", i, ok, x)
	}
	t.Fatalf("the plan has not ended, worked on %v", m.worked)
}

// A plan submitted to one proxy takes every server out once and one at a time, whatever happens to a proxy meanwhile.
// No rule is broken.
func TestPlan(t *testing.T) {
	for _, c := range []struct {
		name, fault string
		strike      func(r *lab.Rehearsal, leader int)
	}{
		{"no fault", "", nil},
		{"the leader killed", "", func(r *lab.Rehearsal, leader int) {
			r.InjectFault(emu.Fault{Kind: "proxy_kill", Proxies: []int{leader}, Duration: 1e9})
		}},
		{"the leader paused and resumed", "", func(r *lab.Rehearsal, leader int) {
			undo := r.InjectFault(emu.Fault{Kind: "proxy_pause", Proxies: []int{leader}})
			time.AfterFunc(5*time.Second, undo)
		}},
		{"the leader cut off in one direction", "", func(r *lab.Rehearsal, leader int) {
			undo := r.InjectFault(emu.Fault{Kind: "split", Proxies: []int{leader}, Direction: "out"})
			time.AfterFunc(5*time.Second, undo)
		}},
		{"all killed", "", func(r *lab.Rehearsal, _ int) {
			r.InjectFault(emu.Fault{Kind: "proxy_kill", Proxies: []int{0, 1, 2, 3}, Duration: 3e8})
		}},
		{"a voter's folder lost", "", func(r *lab.Rehearsal, leader int) {
			voter := (leader + 1) % 3
			r.InjectFault(emu.Fault{Kind: "proxy_kill", Proxies: []int{voter}, Duration: 5e8})
			r.InjectFault(emu.Fault{Kind: "state_lost", Proxies: []int{voter}})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := startFleetWith(t, 4, "24s", writeFile(t, t.TempDir(), "o.toml", planOperatorFile), 40,
				`ramp = "300ms"`, c.fault)
			waitAlive(t, r, 4, 0, 1, 2, 3)
			m := &maintenanceCrew{worked: map[string]int{}}
			var f *lab.Figures
			var played sync.WaitGroup
			played.Go(func() {
				var err error
				if f, err = r.Play(); err != nil {
					t.Error(err)
				}
			})
			time.Sleep(time.Second) // of load before the plan
			eventually(t, "the plan is accepted", func() bool {
				_, err := callAdmin(http.MethodPut, r.AdminAddr(3), "/plans/kernel", []byte(testPlan))
				return err == nil
			})
			if c.strike != nil {
				struck := false
				go func() {
					for end := time.Now().Add(testTimeout); !struck && time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
						for i := range 3 {
							x, ok := planStatus(r, i)
							for _, s := range x.Steps {
								if ok && !struck && x.Leader >= 0 && s.Phase == "drains" {
									struck = true
									c.strike(r, x.Leader)
								}
							}
						}
					}
				}()
			}
			m.workUntilEnded(t, r, 4)
			if len(m.worked) != 6 || m.maxDown != 1 {
				t.Errorf("worked on %v, %d at once", m.worked, m.maxDown)
			}
			for i := range 4 {
				eventually(t, fmt.Sprintf("proxy %d reports that the plan has ended", i),
					func() bool { x, ok := planStatus(r, i); return ok && x.State == "ended" })
			}
			played.Wait()
			if f != nil && (f.Breaches != [5]int{} || f.Crashes > 0) {
				t.Errorf("breaches %v, %d crashes: %v", f.Breaches, f.Crashes, f.Notes)
			}
		})
	}
}

// The commands for plans and snapshots print one line on an error and have a fixed exit status for each kind.
func TestPlanAndStateCommands(t *testing.T) {
	folder := t.TempDir()
	good, bad := writeFile(t, folder, "good.toml", testPlan),
		writeFile(t, folder, "bad.toml", "format = \"ivybank/fleet/plan/1\"\nid = \"x\"\nall = true\nmost_out = 0\n")
	state := filepath.Join(folder, "state")
	at := time.Now().UnixNano()
	if err := snapshot.Write(state, &warmstart.Snapshot{Proxy: "127.0.0.1:80", Number: 3, WallTime: at}); err != nil {
		t.Fatal(err)
	}
	ahead := filepath.Join(folder, "ahead")
	if err := snapshot.Write(ahead, &warmstart.Snapshot{Proxy: "127.0.0.1:80", WallTime: at + 3600e9}); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		args string
		code int
		want string
	}{
		"a valid plan":               {"plan check " + good, 0, "a valid plan"},
		"a plan that takes none out": {"plan check " + bad, 2, "bad.toml:4: most_out: expected one at least"},
		"no admin address":           {"plan show", 2, "--door: expected the admin address"},
		"nothing listens":            {"plan show --door " + unreachableAddr, 1, "connection refused"},
		"an intact snapshot":         {"state check " + snapshot.Path(state), 0, "intact, written by 127.0.0.1:80"},
		"its content":                {"state show " + snapshot.Path(state), 0, "snapshot 3 of 127.0.0.1:80"},
		"written in the future":      {"state check " + snapshot.Path(ahead), 1, "in the future"},
		"not a snapshot":             {"state check " + good, 1, "not a snapshot"},
		"no such file":               {"state show " + folder + "/none", 2, "no such file"},
	} {
		t.Run(name, func(t *testing.T) {
			cmd := exec.Command(binary, strings.Fields(c.args)...)
			cmd.Env = append(os.Environ(), "GW_ADMIN_ADDR=")
			out, _ := cmd.CombinedOutput()
			if code := cmd.ProcessState.ExitCode(); code != c.code || !strings.Contains(string(out), c.want) {
				t.Errorf("exit %d: %s", code, out)
			}
		})
	}
}
