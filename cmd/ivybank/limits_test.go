package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"ivybank/conf"
	"ivybank/fleet/lease"
	"ivybank/rehearse/emu"
	"ivybank/rehearse/lab"
)

// limitFleet is the operator file of proxies that share one limit, without the limit.
const limitFleet = `format = "ivybank/operator/1"
[fleet]
name = "rehearsal"
datagrams_per_second = 24.0
ack_wait = "300ms"
quiet = "2300ms"
`

const limitTemplate = `[fleet.limits]
voters = 3
drift = 200
[[fleet.limits.limit]]
name = "filings"
ruleset = "filing"
kind = "rate"
amount = 24.0
burst = "250ms"
mode = "MODE"
floor = FLOOR
lease = "2s"
`

// loadLimit writes an operator file and returns its path and first limit.
func loadLimit(t *testing.T, text string) (path string, l conf.Limit) {
	t.Helper()
	path = writeFile(t, t.TempDir(), "o.toml", text)
	o, err := conf.LoadOperator(path)
	if err != nil {
		t.Fatal(err)
	}
	return path, o.Fleet.Limits.All[0]
}

// limitStatus returns what a proxy reports of the fleet limits at its admin address.
func limitStatus(r *lab.Rehearsal, proxy int) []lease.Status {
	var v struct{ Limits []lease.Status }
	text, err := callAdmin(http.MethodGet, r.AdminAddr(proxy), "/fleet", nil)
	if err != nil || json.Unmarshal(text, &v) != nil {
		return nil
	}
	return v.Limits
}

// "ivybank check" prints by how much a limit may be exceeded, and a limit that nothing would enforce is rejected.
func TestLimitCheck(t *testing.T) {
	path, _ := loadLimit(t, limitFleet+strings.NewReplacer("MODE", "bounded", "FLOOR", "4.0").Replace(limitTemplate))
	out, err := exec.Command(binary, "check", path).CombinedOutput()
	want := "limit filings: 24 a second, 6 at once, exceeded by at most 4 for each member but one"
	if err != nil || !strings.Contains(string(out), want) {
		t.Errorf("%v: %s", err, out)
	}
	one, d := newFakeHost(t, replyWith(httpResponse(200, "", "one"), true)), newFakeDiscovery(t)
	p := prepareProxy(t, d.addr, 1024, hostEntry("s-1", one.Addr().String(), "ready"))
	p.args = []string{"serve", "--operator", path}
	if out, code := p.runToFailure(t); code != 2 || !strings.Contains(out, "fleet.limits: no peers are named") {
		t.Errorf("exit %d: %s", code, out)
	}
}

// waitForLeases waits until each of the given proxies holds a unit.
func waitForLeases(t *testing.T, r *lab.Rehearsal, proxies ...int) {
	t.Helper()
	for _, i := range proxies {
		eventually(t, "a proxy holds a lease", func() bool {
			l := limitStatus(r, i)
			return len(l) == 1 && l[0].Held > 0
		})
	}
}

// partition cuts one of three proxies off from the third second to the ninth.
const (
	partition = "[[fault]]\nkind = \"split\"\nat = \"3s\"\nfor = \"6s\"\nproxies = [0]\n"
	cutAt     = 3 * time.Second
	healedAt  = 9 * time.Second
)

// leaseEnd returns when the last lease of the proxy that is cut off ends, given what it requested until then. If it
// owns the limit, it goes on to grant itself leases for as long as the others have promised, a third of a lease.
// leaseEnd is called before the play, the function that it returns after it.
func leaseEnd(r *lab.Rehearsal, l conf.Limit) func() time.Duration {
	owner := make(chan bool, 1)
	time.AfterFunc(cutAt+100*time.Millisecond, func() { // a proxy that owned the limit when it was cut off still does
		x := limitStatus(r, 0)
		owner <- len(x) == 1 && x[0].Owns
	})
	return func() time.Duration {
		end := r.LastInjected("split") + time.Duration(l.Lease)
		if <-owner {
			end += time.Duration(l.Lease) / 3
		}
		return end
	}
}

// Three processes share a limit while clients request twice as much and one process is cut off from the others. The
// servers never see more than the limit. The process that is cut off denies requests, or admits its floor, once its
// lease has ended, and the others use the rest. Without the limit the same check finds it exceeded.
func TestLimit(t *testing.T) {
	for _, c := range []struct {
		name, mode, floor string
		check             func(t *testing.T, r *lab.Rehearsal, end time.Duration, o lab.OverLimit)
	}{
		{"strict", "strict", "0.0", func(t *testing.T, r *lab.Rehearsal, end time.Duration, o lab.OverLimit) {
			if o.Over > 0 {
				t.Errorf("over by %.1f requests: admitted by seconds %v", o.Over, o.Seconds)
			}
			if n := r.AdmittedBetween(0, "filing", end, healedAt); n > 0 {
				t.Errorf("the proxy cut off admitted %d after its lease, which ended at %v", n, end)
			}
		}},
		{"bounded", "bounded", "4.0", func(t *testing.T, r *lab.Rehearsal, end time.Duration, o lab.OverLimit) {
			if o.Breach > 0 {
				t.Errorf("over by %.1f requests more than the floors: admitted by seconds %v", o.Breach, o.Seconds)
			}
			if n := r.AdmittedBetween(0, "filing", end, healedAt); n < 6 || n > 17 {
				t.Errorf("the proxy cut off admitted %d in %v with a floor of 4 per second", n, healedAt-end)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			path, l := loadLimit(t, limitFleet+strings.NewReplacer("MODE", c.mode, "FLOOR", c.floor).Replace(limitTemplate))
			r := startFleetWith(t, 3, "14s", path, 90, "", partition)
			waitAlive(t, r, 3, 0, 1, 2)
			waitForLeases(t, r, 0, 1, 2)
			end := leaseEnd(r, l)
			f, err := r.Play()
			if err != nil {
				t.Fatal(err)
			}
			o := r.Limit(l)
			t.Logf("over by %.1f requests, bound %.1f per second; admitted by seconds %v", o.Over, o.Bound, o.Seconds)
			c.check(t, r, end(), o)
			if f.Breaches != [5]int{} || f.Crashes > 0 {
				t.Errorf("breaches %v, %d crashes: %v", f.Breaches, f.Crashes, f.Notes)
			}
			others := r.AdmittedBetween(1, "filing", 5*time.Second, 9*time.Second) +
				r.AdmittedBetween(2, "filing", 5*time.Second, 9*time.Second)
			if others < 20 {
				t.Errorf("the proxies not cut off admitted %d in 4 s of %.0f per second", others, l.Amount)
			}
		})
	}
	for _, c := range []struct {
		name   string
		strike func(r *lab.Rehearsal, owner int)
	}{
		{"the owner killed", func(r *lab.Rehearsal, owner int) {
			r.InjectFault(emu.Fault{Kind: "proxy_kill", Proxies: []int{owner}, Duration: 1e9})
		}},
		{"the owner stopped, and woken", func(r *lab.Rehearsal, owner int) {
			undo := r.InjectFault(emu.Fault{Kind: "proxy_pause", Proxies: []int{owner}})
			time.AfterFunc(5*time.Second, undo)
		}},
		{"all killed", func(r *lab.Rehearsal, _ int) {
			r.InjectFault(emu.Fault{Kind: "proxy_kill", Proxies: []int{0, 1, 2}, Duration: 2e8})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			path, l := loadLimit(t, limitFleet+strings.NewReplacer("MODE", "strict", "FLOOR", "0.0").Replace(limitTemplate))
			r := startFleetWith(t, 3, "13s", path, 90, "", "")
			waitAlive(t, r, 3, 0, 1, 2)
			waitForLeases(t, r, 0, 1, 2)
			owner := -1
			eventually(t, "one proxy owns the limit", func() bool {
				for i := range 3 {
					if x := limitStatus(r, i); len(x) == 1 && x[0].Owns {
						owner = i
					}
				}
				return owner >= 0
			})
			time.AfterFunc(3*time.Second, func() { c.strike(r, owner) })
			f, err := r.Play()
			if err != nil {
				t.Fatal(err)
			}
			o := r.Limit(l)
			t.Logf("over by %.1f requests, bound 0; admitted by seconds %v", o.Over, o.Seconds)
			if o.Over > 0 || f.Breaches != [5]int{} || f.Crashes > 0 {
				t.Errorf("over by %.1f requests, breaches %v, %d crashes: %v", o.Over, f.Breaches, f.Crashes, f.Notes)
			}
			waitForLeases(t, r, 0, 1, 2) // all have recovered
		})
	}
	t.Run("without", func(t *testing.T) {
		_, l := loadLimit(t, limitFleet+strings.NewReplacer("MODE", "strict", "FLOOR", "0.0").Replace(limitTemplate))
		r := startFleetWith(t, 3, "5s", writeFile(t, t.TempDir(), "o.toml", limitFleet), 90, "", "")
		waitAlive(t, r, 3, 0, 1, 2)
		if _, err := r.Play(); err != nil {
			t.Fatal(err)
		}
		if o := r.Limit(l); o.Over < 10 {
			t.Errorf("over by %.1f with no limit: the check detects nothing", o.Over)
		}
	})
}

// A fleet of one enforces a limit by itself: requests beyond it are denied at once with a Retry-After. A reload
// without the limit lifts it, and an invalid file changes nothing.
func TestLimitReload(t *testing.T) {
	one, d := newFakeHost(t, replyWith(httpResponse(200, "", "one"), true)), newFakeDiscovery(t)
	p := prepareProxy(t, d.addr, 1024, hostEntry("s-1", one.Addr().String(), "ready"))
	ownAddr := freeAddr(t)
	alone := strings.Replace(limitFleet, "[fleet]\n", fmt.Sprintf("[fleet]\nlisten = %q\npeers = [%q]\nme = 0\n",
		ownAddr, ownAddr), 1)
	limit := strings.NewReplacer("MODE", "strict", "FLOOR", "0.0", "filing", "once", "voters = 3", "voters = 1",
		"24.0", "1.0", "250ms", "1s", `lease = "2s"`, `lease = "1s"`).Replace(limitTemplate)
	operator := writeFile(t, t.TempDir(), "o.toml", alone+limit)
	p.args = []string{"serve", "--operator", operator}
	p.start(t)
	n := 0
	ask := func() *http.Response {
		n++
		a, _ := p.do(t, clientRequest("POST", fmt.Sprint("r", n), "once", "x"))
		return a
	}
	eventually(t, "a request is admitted", func() bool { return ask().StatusCode == http.StatusOK })
	eventually(t, "a request is denied, with a Retry-After", func() bool {
		a := ask()
		return a.StatusCode == http.StatusServiceUnavailable && a.Header.Get("Retry-After") != ""
	})
	if a, _ := p.do(t, clientRequest("GET", "other", "again", "")); a.StatusCode != http.StatusOK {
		t.Errorf("got %d for a rule set without a limit", a.StatusCode)
	}
	put := func(text string) {
		writeFile(t, filepath.Dir(operator), "o.toml", text)
		p.reload(t, p.configText(t))
	}
	put(alone + strings.Replace(limit, "amount = 1.0", "amount = 1.5", 1))
	eventually(t, "the invalid file is logged", func() bool { return p.out.count("expected a multiple of 1") == 1 })
	put(alone)
	eventually(t, "no request is denied any more", func() bool {
		for range 5 {
			if ask().StatusCode != http.StatusOK {
				return false
			}
		}
		return true
	})
}
