package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	seedFlag    = flag.Uint64("seed", 1, "seed of the first run")
	runsFlag    = flag.Int("runs", 1, "number of runs, with consecutive seeds")
	secondsFlag = flag.Int("seconds", 40, "seconds of fault injection in each run")
	frontsFlag  = flag.Int("fronts", 6, "number of front machines")
	keepFlag    = flag.String("keep", "", "folder to keep the processes' logs and data in")
	slotFlag    = flag.Int("slot", os.Getpid()%slots, "port slot, 0 to 15; concurrent runs need different slots")
)

const (
	slots      = 16
	controls   = 3
	calmBefore = 8 * time.Second
	calmAfter  = 6 * time.Second
	// startTimeout bounds the time that a new fleet takes until it serves.
	startTimeout = 20 * time.Second
	// limitPropagation bounds the time that a lower limit takes until the owner enforces it.
	limitPropagation = 3 * time.Second
	// A run in which too little happened to show anything fails. The minimum rates are per second of fault injection.
	minRunsPerSecond      = 40
	minOverLimitPerSecond = 20
	minFaultsPerSecond    = 0.8
	minFaultKinds         = 9
	// disruptionMargin is the time after the end of a request in which a disruption of its router still explains a
	// broken connection.
	disruptionMargin = 500 * time.Millisecond
)

// TestSoak injects faults into real processes and checks the requests that their hosts ran against the limits.
func TestSoak(t *testing.T) {
	binaries := buildPrograms(t)
	for i := range *runsFlag {
		seed := *seedFlag + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { soak(t, binaries, seed) })
	}
}

// buildPrograms builds the programs that fleets run, and returns their folder.
func buildPrograms(t *testing.T) string {
	t.Helper()
	binaries := t.TempDir()
	build := exec.Command("go", "build", "-o", binaries, "ivybank/cmd/ivycontrol", "ivybank/cmd/ivyfleet")
	output, err := build.CombinedOutput()
	assert.NilError(t, err, "%s", output)
	return binaries
}

func soak(t *testing.T, binaries string, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 2026))
	f := newFleet(t, binaries, controls, *frontsFlag, options{tolerate: 1})
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	first := map[*tenant]*limitChange{}
	for _, tenant := range f.tenants {
		first[tenant] = &limitChange{rate: tenant.rate, burst: tenant.rate}
	}
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	assert.Assert(t, f.replaceLimits(startCtx, first), "the first configuration was not accepted")
	f.awaitReady(t)
	var clients sync.WaitGroup
	for _, tenant := range f.tenants {
		for i := range clientsPerTenant {
			c := &client{fleet: f, tenant: tenant, number: i, random: rand.New(rand.NewPCG(seed, random.Uint64()))}
			clients.Go(func() { c.run(ctx) })
		}
	}
	clients.Go(func() { f.pollConfiguration(ctx) })

	began := time.Now()
	time.Sleep(calmBefore)
	calm := [2]time.Time{began.Add(calmBefore / 4), time.Now()}
	faultCtx, end := context.WithTimeout(ctx, time.Duration(*secondsFlag)*time.Second)
	defer end()
	played := newFaultSchedule(faultCtx, f, soakFaults)
	played.run(random)
	f.network.heal()
	f.resumeAll()
	settled := time.Now().Add(calmAfter)
	f.awaitNewest(t, settled)
	time.Sleep(time.Until(settled))
	stop()
	clients.Wait()
	f.report(t, played, calm)
	f.check(t, calm)
}

// awaitReady waits until all routers are ready.
func (f *fleet) awaitReady(t *testing.T) {
	t.Helper()
	until := time.Now().Add(startTimeout)
	for _, m := range f.alive(false) {
		for {
			answer, err := operatorClient.Get("http://" + addressOf(m.number, servicePort+1) + "/v1/ready")
			if err == nil {
				answer.Body.Close()
				if answer.StatusCode == http.StatusOK {
					break
				}
			}
			assert.Assert(t, time.Now().Before(until), "%s is not ready", m)
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// awaitNewest waits until a control process shows the newest acknowledged configuration.
func (f *fleet) awaitNewest(t *testing.T, until time.Time) {
	t.Helper()
	for time.Now().Before(until) {
		for _, m := range f.alive(true) {
			if f.read(t.Context(), m) >= f.revision {
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Errorf("no control process returned revision %d after the last fault had ended", f.revision)
}

func (f *fleet) pollConfiguration(ctx context.Context) {
	for ctx.Err() == nil {
		for _, m := range f.alive(true) {
			f.read(ctx, m)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// resumeAll resumes all frozen processes.
func (f *fleet) resumeAll() {
	for _, m := range append(f.alive(true), f.alive(false)...) {
		for _, p := range m.processes {
			p.signal(syscall.SIGCONT)
		}
	}
}

// allowed returns the cost that a tenant may use in the window that ends at a given time, by the largest limit that
// was in force anywhere in that window.
func (f *fleet) allowed(t *tenant, end time.Time) float64 {
	most := 0.0
	changes := f.limitHistory[t]
	for i, c := range changes {
		over := i+1 < len(changes) && !changes[i+1].acked.IsZero() && changes[i+1].acked.Add(limitPropagation).Before(end.Add(-quotaWindow))
		if over || c.sent.After(end) {
			continue
		}
		most = max(most, (c.rate*quotaWindow.Seconds()+c.burst)*(1+quotaOverage)+quotaSlack)
	}
	return most
}

// highestUsage returns the window in which a tenant used the largest part of its allowance.
func (f *fleet) highestUsage(t *tenant) (part, used, allowed float64, end time.Time) {
	uses := f.ledger.uses[t]
	slices.SortFunc(uses, func(a, b usage) int { return a.at.Compare(b.at) })
	sum, first := 0.0, 0
	for _, u := range uses {
		sum += u.cost
		for !uses[first].at.After(u.at.Add(-quotaWindow)) {
			sum -= uses[first].cost
			first++
		}
		if most := f.allowed(t, u.at); sum/most > part {
			part, used, allowed, end = sum/most, sum, most, u.at
		}
	}
	return part, used, allowed, end
}

// tally counts a tenant's requests by outcome, over the whole run and in the calm period before the faults.
type tally struct {
	sent, served, overLimit, refused, broken, failed int
	calmSent, calmBeyond                             int
	calmUse                                          float64
}

func (f *fleet) tallyOf(t *tenant, calm [2]time.Time) (n tally) {
	for _, r := range f.ledger.requests {
		if r.tenant != t || r.ended.IsZero() {
			continue
		}
		inCalm := r.sent.After(calm[0]) && r.ended.Before(calm[1])
		n.sent++
		if inCalm {
			n.calmSent++
		}
		switch {
		case r.status == http.StatusOK && r.complete:
			n.served++
			if inCalm {
				n.calmUse += r.cost
			}
		case r.status == http.StatusTooManyRequests:
			n.overLimit++
			if inCalm {
				n.calmBeyond++
			}
		case r.status == http.StatusServiceUnavailable:
			n.refused++
		case r.status == 0 || !r.complete:
			n.broken++
		default:
			n.failed++
		}
	}
	return n
}

func (f *fleet) report(t *testing.T, played *faultSchedule, calm [2]time.Time) {
	t.Helper()
	t.Logf("played: %s", played)
	for _, tenant := range f.tenants {
		n := f.tallyOf(tenant, calm)
		part, used, allowed, end := f.highestUsage(tenant)
		t.Logf("%-14s sent %d, served %d, beyond the limit %d, refused %d, broken %d, failed %d; calm: %d sent, %d refused, %.2f of the rate used; "+
			"fullest window %.3f: %.0f of %.0f, ends %v after the calm", tenant.name, n.sent, n.served, n.overLimit, n.refused, n.broken, n.failed,
			n.calmSent, n.calmBeyond, n.calmUse/(tenant.rate*calm[1].Sub(calm[0]).Seconds()), part, used, allowed,
			end.Sub(calm[1]).Round(time.Millisecond))
	}
	starts := 0
	for _, m := range f.machines {
		for _, p := range m.processes {
			starts += p.starts
		}
	}
	t.Logf("%d machines, %d process starts, %d reads of the configuration, revision %d", len(f.machines), starts, f.reads, f.revision)
	f.checkPlayed(t, played, calm)
}

// checkPlayed fails a run in which too little happened to show anything.
func (f *fleet) checkPlayed(t *testing.T, played *faultSchedule, calm [2]time.Time) {
	t.Helper()
	ran, refused, all := 0, 0, 0
	for _, tenant := range f.tenants {
		n := f.tallyOf(tenant, calm)
		ran += len(f.ledger.uses[tenant])
		refused += n.overLimit
	}
	for _, n := range played.played {
		all += n
	}
	assert.Check(t, ran >= minRunsPerSecond**secondsFlag, "hosts ran %d requests", ran)
	assert.Check(t, refused >= minOverLimitPerSecond**secondsFlag, "%d requests were rejected as over the limit", refused)
	assert.Check(t, float64(all) >= minFaultsPerSecond*float64(*secondsFlag), "%d faults were injected", all)
	assert.Check(t, len(played.played) >= minFaultKinds, "%d kinds of faults were injected", len(played.played))
	assert.Check(t, f.reads > *secondsFlag, "the configuration was read %d times", f.reads)
}

func (f *fleet) check(t *testing.T, calm [2]time.Time) {
	t.Helper()
	for _, tenant := range f.tenants {
		part, used, allowed, end := f.highestUsage(tenant)
		assert.Check(t, part <= 1, "%s used %.0f of %.0f in the window that ends %v after the calm", tenant.name, used, allowed, end.Sub(calm[1]))
		if n := f.tallyOf(tenant, calm); tenant.belowLimit {
			assert.Check(t, n.calmBeyond == 0, "%d of %d requests of %s refused in calm", n.calmBeyond, n.calmSent, tenant.name)
		}
	}
	assert.Check(t, len(f.ledger.unexpected) == 0, "hosts ran requests that no client sent: %v", f.ledger.unexpected)
	assert.Check(t, len(f.staleReads) == 0, "%v", f.staleReads)
	lost := 0
	for _, r := range f.ledger.requests {
		if r.ended.IsZero() {
			continue // the run ended first
		}
		assert.Check(t, r.runCount <= 1 || r.path == idempotentPath, "%s ran %d times", r.id, r.runCount)
		promised := r.status == http.StatusTooManyRequests || r.status == http.StatusServiceUnavailable
		assert.Check(t, !promised || r.runCount == 0, "%s ran though its client got %d", r.id, r.status)
		if r.status == 0 && r.runCount > 0 && !r.aborted && !r.router.disruptedBetween(r.sent.Add(-clientTimeout), r.ended.Add(disruptionMargin)) {
			lost++
			t.Logf("%s lost: ran at a host, sent to %s, ended after %v", r.id, r.router.machine, r.ended.Sub(r.sent))
		}
	}
	assert.Check(t, lost == 0, "%d answers lost", lost)
}
