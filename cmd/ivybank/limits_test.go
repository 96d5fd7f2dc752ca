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

// limiting is what proxies are set to that keep one limit together.
const limiting = `format = "ivybank/operator/1"
[fleet]
name = "rehearsal"
datagrams_per_second = 24.0
ack_wait = "300ms"
quiet = "2300ms"
`

const oneLimit = `[fleet.limits]
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

func limitOf(t *testing.T, text string) (path string, l conf.Limit) {
	t.Helper()
	path = write(t, t.TempDir(), "o.toml", text)
	o, err := conf.LoadOperator(path)
	if err != nil {
		t.Fatal(err)
	}
	return path, o.Fleet.Limits.All[0]
}

// limitsAt is what a proxy tells of the fleet's limits at its door.
func limitsAt(r *lab.Rehearsal, proxy int) []lease.Status {
	var v struct{ Limits []lease.Status }
	text, err := knockAt(http.MethodGet, r.Door(proxy), "/fleet", nil)
	if err != nil || json.Unmarshal(text, &v) != nil {
		return nil
	}
	return v.Limits
}

// A file's bound is printed beforehand, and a limit that nobody could keep is refused.
func TestLimitCheck(t *testing.T) {
	path, _ := limitOf(t, limiting+strings.NewReplacer("MODE", "bounded", "FLOOR", "4.0").Replace(oneLimit))
	out, err := exec.Command(binary, "check", path).CombinedOutput()
	want := "limit filings: 24 a second, 6 at once, exceeded by at most 4 for each member but one"
	if err != nil || !strings.Contains(string(out), want) {
		t.Errorf("%v: %s", err, out)
	}
	one, d := newHost(t, saying(text(200, "", "one"), true)), newRegistry(t)
	p := prepare(t, d.addr, 1024, entry("s-1", one.Addr().String(), "ready"))
	p.args = []string{"serve", "--operator", path}
	if out, code := p.fails(t); code != 2 || !strings.Contains(out, "fleet.limits: no peers are named") {
		t.Errorf("exit %d: %s", code, out)
	}
}

// leased waits until all of some proxies hold a unit.
func leased(t *testing.T, r *lab.Rehearsal, proxies ...int) {
	t.Helper()
	for _, i := range proxies {
		eventually(t, "a proxy holds a lease", func() bool {
			l := limitsAt(r, i)
			return len(l) == 1 && l[0].Held > 0
		})
	}
}

// apart has one of three cut off from the third second to the ninth.
const (
	apart    = "[[fault]]\nkind = \"split\"\nat = \"3s\"\nfor = \"6s\"\nproxies = [0]\n"
	cutAt    = 3 * time.Second
	healedAt = 9 * time.Second
)

// leaseEnd is when the last lease of the one cut off ends: by what it asked for until then. The one that owns the limit goes
// on to answer itself for as long as the others have promised it, which is a third of a lease. To be called before the play,
// and what it gives after it.
func leaseEnd(r *lab.Rehearsal, l conf.Limit) func() time.Duration {
	owned := make(chan bool, 1)
	time.AfterFunc(cutAt+100*time.Millisecond, func() { // one that owned when it was cut off does so still
		x := limitsAt(r, 0)
		owned <- len(x) == 1 && x[0].Owns
	})
	return func() time.Duration {
		end := r.Struck("split") + time.Duration(l.Lease)
		if <-owned {
			end += time.Duration(l.Lease) / 3
		}
		return end
	}
}

// Three processes keep a limit together that is asked for twice over, while one is cut off from the others:
// the stand-ins never see more than it, what is cut off denies or falls to its floor once its lease is over,
// and the others use the rest. Without the limit the same judge finds it passed.
func TestLimit(t *testing.T) {
	for _, c := range []struct {
		name, mode, floor string
		check             func(t *testing.T, r *lab.Rehearsal, end time.Duration, o lab.OverLimit)
	}{
		{"strict", "strict", "0.0", func(t *testing.T, r *lab.Rehearsal, end time.Duration, o lab.OverLimit) {
			if o.Over > 0 {
				t.Errorf("over by %.1f reqs: let in by seconds %v", o.Over, o.Seconds)
			}
			if n := r.LetIn(0, "filing", end, healedAt); n > 0 {
				t.Errorf("the one cut off let in %d after its lease, which ended at %v", n, end)
			}
		}},
		{"bounded", "bounded", "4.0", func(t *testing.T, r *lab.Rehearsal, end time.Duration, o lab.OverLimit) {
			if o.Breach > 0 {
				t.Errorf("over by %.1f reqs more than its floors: let in by seconds %v", o.Breach, o.Seconds)
			}
			if n := r.LetIn(0, "filing", end, healedAt); n < 6 || n > 17 {
				t.Errorf("the one cut off let in %d in %v by a floor of 4 a second", n, healedAt-end)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			path, l := limitOf(t, limiting+strings.NewReplacer("MODE", c.mode, "FLOOR", c.floor).Replace(oneLimit))
			r := rehearseWith(t, 3, "14s", path, 90, "", apart)
			together(t, r, 3, 0, 1, 2)
			leased(t, r, 0, 1, 2)
			end := leaseEnd(r, l)
			f, err := r.Play()
			if err != nil {
				t.Fatal(err)
			}
			o := r.Limit(l)
			t.Logf("over by %.1f reqs, bound %.1f a second; let in by seconds %v", o.Over, o.Bound, o.Seconds)
			c.check(t, r, end(), o)
			if f.Breaches != [5]int{} || f.Crashes > 0 {
				t.Errorf("breaches %v, %d crashes: %v", f.Breaches, f.Crashes, f.Notes)
			}
			others := r.LetIn(1, "filing", 5*time.Second, 9*time.Second) +
				r.LetIn(2, "filing", 5*time.Second, 9*time.Second)
			if others < 20 {
				t.Errorf("those not cut off let in %d in 4 s of %.0f a second", others, l.Amount)
			}
		})
	}
	for _, c := range []struct {
		name   string
		strike func(r *lab.Rehearsal, owner int)
	}{
		{"the owner killed", func(r *lab.Rehearsal, owner int) {
			r.Strike(emu.Fault{Kind: "proxy_kill", Proxies: []int{owner}, Duration: 1e9})
		}},
		{"the owner stopped, and woken", func(r *lab.Rehearsal, owner int) {
			undo := r.Strike(emu.Fault{Kind: "proxy_pause", Proxies: []int{owner}})
			time.AfterFunc(5*time.Second, undo)
		}},
		{"all killed", func(r *lab.Rehearsal, _ int) {
			r.Strike(emu.Fault{Kind: "proxy_kill", Proxies: []int{0, 1, 2}, Duration: 2e8})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			path, l := limitOf(t, limiting+strings.NewReplacer("MODE", "strict", "FLOOR", "0.0").Replace(oneLimit))
			r := rehearseWith(t, 3, "13s", path, 90, "", "")
			together(t, r, 3, 0, 1, 2)
			leased(t, r, 0, 1, 2)
			owner := -1
			eventually(t, "one owns", func() bool {
				for i := range 3 {
					if x := limitsAt(r, i); len(x) == 1 && x[0].Owns {
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
			t.Logf("over by %.1f reqs, bound 0; let in by seconds %v", o.Over, o.Seconds)
			if o.Over > 0 || f.Breaches != [5]int{} || f.Crashes > 0 {
				t.Errorf("over by %.1f reqs, breaches %v, %d crashes: %v", o.Over, f.Breaches, f.Crashes, f.Notes)
			}
			leased(t, r, 0, 1, 2) // all are back
		})
	}
	t.Run("without", func(t *testing.T) {
		_, l := limitOf(t, limiting+strings.NewReplacer("MODE", "strict", "FLOOR", "0.0").Replace(oneLimit))
		r := rehearseWith(t, 3, "5s", write(t, t.TempDir(), "o.toml", limiting), 90, "", "")
		together(t, r, 3, 0, 1, 2)
		if _, err := r.Play(); err != nil {
			t.Fatal(err)
		}
		if o := r.Limit(l); o.Over < 10 {
			t.Errorf("over by %.1f with no limit: the judge sees nothing", o.Over)
		}
	})
}

// A fleet of one keeps a limit by itself: reqs past it are denied at once with the time to stay away, a file without it lifts it, and one
// with a fault changes nothing.
func TestLimitReload(t *testing.T) {
	one, d := newHost(t, saying(text(200, "", "one"), true)), newRegistry(t)
	p := prepare(t, d.addr, 1024, entry("s-1", one.Addr().String(), "ready"))
	mine := freeAddr(t)
	alone := strings.Replace(limiting, "[fleet]\n", fmt.Sprintf("[fleet]\nlisten = %q\npeers = [%q]\nme = 0\n", mine, mine), 1)
	limit := strings.NewReplacer("MODE", "strict", "FLOOR", "0.0", "filing", "once", "voters = 3", "voters = 1",
		"24.0", "1.0", "250ms", "1s", `lease = "2s"`, `lease = "1s"`).Replace(oneLimit)
	operator := write(t, t.TempDir(), "o.toml", alone+limit)
	p.args = []string{"serve", "--operator", operator}
	p.start(t)
	n := 0
	ask := func() *http.Response {
		n++
		a, _ := p.ask(t, call("POST", fmt.Sprint("r", n), "once", "x"))
		return a
	}
	eventually(t, "one is let in", func() bool { return ask().StatusCode == http.StatusOK })
	eventually(t, "one is denied, with the time to stay away", func() bool {
		a := ask()
		return a.StatusCode == http.StatusServiceUnavailable && a.Header.Get("Retry-After") != ""
	})
	if a, _ := p.ask(t, call("GET", "other", "again", "")); a.StatusCode != http.StatusOK {
		t.Errorf("got %d for a rule set that has no limit", a.StatusCode)
	}
	put := func(text string) {
		write(t, filepath.Dir(operator), "o.toml", text)
		p.hup(t, p.text(t))
	}
	put(alone + strings.Replace(limit, "amount = 1.0", "amount = 1.5", 1))
	eventually(t, "the fault is told of", func() bool { return p.out.count("expected a multiple of 1") == 1 })
	put(alone)
	eventually(t, "nothing is denied any more", func() bool {
		for range 5 {
			if ask().StatusCode != http.StatusOK {
				return false
			}
		}
		return true
	})
}
