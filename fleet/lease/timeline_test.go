package lease

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"ivybank/internal/rng"
	"ivybank/rehearse/timeline"
)

const fleetName = 7

// process is one member in a run. It encodes and decodes datagrams, and alters them for a faulty variant or for a
// member that reports false values.
type process struct {
	*Member
	exaggeration  int // factor on its demand and reported units; 0: none
	flaw          flaw
	demand        float64 // in units
	dueReqs       float64
	admitted      int
	attempts      int
	datagramsSent int // datagrams
}

// flaw is a deliberately faulty variant that the checks must catch.
type flaw int

const (
	flawNone                 flaw = iota
	flawUnfenced                  // the owner does not check that its ownership is valid
	flawLeaseFromReceipt          // a lease counts from when its grant was received
	flawForgetsEarlierLeases      // the owner forgets what an earlier incarnation holds
)

func (p *process) Receive(from int, body []byte, now int64) {
	d, err := Decode(fleetName, body)
	if err == nil && d.From == from {
		p.receive(from, &d, now)
	}
}

func (p *process) receive(from int, d *Datagram, now int64) {
	for i := range d.Items {
		it := &d.Items[i]
		l := p.limits[0]
		switch {
		case p.flaw == flawLeaseFromReceipt && it.Kind == LeaseGrant:
			l.holder.sentAt = now
		case p.flaw == flawForgetsEarlierLeases && it.Kind == LeaseRequest && l.ownership != nil &&
			l.ownership.members[from].incarnation < d.Incarnation:
			l.ownership.members[from] = memberLease{}
		}
	}
	p.Member.Receive(d, now)
}

func (p *process) Tick(now int64) {
	for _, l := range p.limits {
		for i := range l.candidacy.promisedAt {
			if p.flaw == flawUnfenced && l.ownership != nil {
				l.candidacy.promisedAt[i] = now
			}
		}
	}
	p.Member.Tick(now)
}

func (p *process) Next() (to int, body []byte, ok bool) {
	to, d, ok := p.Member.NextDatagram()
	for i := range d.Items {
		if it := &d.Items[i]; it.Kind == LeaseRequest && p.exaggeration > 0 {
			it.Want, it.Units = it.Want*p.exaggeration, it.Units*p.exaggeration
		}
	}
	if ok {
		p.datagramsSent++
		body, _ = Encode(fleetName, &d)
	}
	return to, body, ok
}

// world is a fleet with one limit. It checks the units that may be in use at each moment, and the reqs that simulated
// servers count.
type world struct {
	*timeline.Simulation
	limit   Limit
	flaw    flaw
	drift   int64
	procs   []*process
	running [][]run // InFlight, by member: reqs at servers, until they end

	runFor        int64
	random        *rng.Source // nil: reqs arrive evenly; otherwise at random
	level         float64     // of a bucket with the limit's rate and size: below 0 the servers saw too many reqs
	lastStep      int64
	loweredUntil  int64 // until then leases of a previous, higher limit may be valid
	previousUnits int
	maxInUse      int // units, and by how many the bound was exceeded
	maxExcess     int
	admitted      int
}

type run struct {
	proxy  *process
	endsAt int64
	done   bool // at the server; its proxy may not know yet
}

func newWorld(w *timeline.Simulation, limit Limit, drift int64, f flaw) *world {
	n := len(w.Names)
	return &world{Simulation: w, limit: limit, drift: drift, flaw: f, procs: make([]*process, n),
		running: make([][]run, n), level: float64(limit.Units), runFor: 300 * ms}
}

func (w *world) Start(member int, incarnation uint64, now int64) timeline.Node {
	p := &process{flaw: w.flaw}
	if old := w.procs[member]; old != nil {
		p.demand, p.exaggeration, p.admitted, p.attempts = old.demand, old.exaggeration, old.admitted, old.attempts
	}
	members := len(w.Names)
	p.Member = New(Config{Index: member, Members: members, Voters: min(3, members), Incarnation: incarnation, Seed: 1,
		DriftPPM: w.drift,
		Limits:   []Limit{w.limit}}, now)
	w.procs[member] = p
	return p
}

func (w *world) Apply(member int, verb string, args []string) error {
	if verb == "leave" && member >= 0 {
		w.procs[member].Leave(w.LocalTime(member))
		return nil
	}
	if len(args) != 1 {
		return errors.New("expected one number")
	}
	n, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	if verb == "runs" { // ms
		w.runFor = int64(n) * ms
		return nil
	}
	for i, p := range w.procs {
		if member >= 0 && i != member {
			continue
		}
		switch verb {
		case "ask":
			p.demand = float64(n)
		case "claim":
			p.exaggeration = n
		case "limit":
			if p.Member.limits[0].Units > n {
				w.previousUnits, w.loweredUntil = w.limit.Units, w.Now+p.worstCaseDuration(w.limit.LeaseDuration)
			}
			x := w.limit
			x.Units = n
			p.Member.SetLimits([]Limit{x}, w.LocalTime(i))
		default:
			return errors.New("no such verb")
		}
	}
	if verb == "limit" {
		w.limit.Units = n
	}
	return nil
}

// usable returns how many units may be in use at a member now.
func (w *world) usable(member int) int {
	p, now := w.procs[member], w.LocalTime(member)
	l := p.limits[0]
	x := l.holder.local
	tickAge := now - p.lastTick.Load()
	n := 0
	if w.Node(member) != nil && tickAge >= 0 && tickAge <= maxTickAge && now < x.validUntil.Load() {
		n = int(x.units.Load())
	}
	if l.Kind == InFlight {
		running := 0
		for _, r := range w.running[member] {
			if !r.done {
				running++
			}
		}
		n = max(n, running)
	}
	return n
}

func (w *world) totalInUse() (n int) {
	for i := range w.procs {
		n += w.usable(i)
	}
	return n
}

// bound returns how many units may be in use in the fleet now.
func (w *world) bound() int {
	n := w.limit.Units
	if w.Now < w.loweredUntil {
		n = max(n, w.previousUnits)
	}
	return n + w.limit.MaxExcess(len(w.Names))
}

// Step simulates clients and servers, and checks the invariants.
func (w *world) Step() error {
	rate := float64(w.limit.Units) / float64(max(1, w.limit.Period))
	w.level = min(float64(w.limit.Units), w.level+rate*float64(w.Now-w.lastStep))
	for i, p := range w.procs {
		for j := range w.running[i] {
			r := &w.running[i][j]
			if r.done = w.Now >= r.endsAt; r.done && !(w.Stopped(i) && r.proxy == p) {
				r.proxy.Limiter().Done(Scope{})
				r.proxy = nil
			}
		}
		w.running[i] = slices.DeleteFunc(w.running[i], func(r run) bool { return r.proxy == nil })
		if w.Node(i) == nil || w.Stopped(i) {
			continue
		}
		if w.limit.Kind == InFlight {
			if n := p.demand - float64(len(w.running[i])); n > 0 && w.Now/ms%10 == 0 {
				p.dueReqs = n
			}
		} else if w.random != nil {
			if w.random.Next() < p.demand*float64(w.Now-w.lastStep)/float64(w.limit.Period) {
				p.dueReqs = 1
			}
		} else {
			p.dueReqs += p.demand * float64(w.Now-w.lastStep) / float64(w.limit.Period)
		}
		for ; p.dueReqs >= 1; p.dueReqs-- {
			p.attempts++
			if ok, _ := p.Limiter().Admit(Scope{}, w.LocalTime(i)); ok {
				p.admitted++
				w.admitted++
				w.level--
				if w.limit.Kind == InFlight {
					w.running[i] = append(w.running[i], run{proxy: p, endsAt: w.Now + w.runFor})
				}
			}
		}
	}
	w.lastStep = w.Now
	sum := w.totalInUse()
	w.maxInUse = max(w.maxInUse, sum)
	if over := sum - w.bound(); over > 0 {
		w.maxExcess = max(w.maxExcess, over)
		return fmt.Errorf("%d units usable, want at most %d", sum, w.bound())
	}
	// The servers' own count. A limit that was lowered, or that is not strict, may be exceeded by design.
	if w.limit.Kind == Rate && w.limit.Strict && w.Now >= w.loweredUntil && w.loweredUntil == 0 && w.level < -1e-6 {
		return fmt.Errorf("servers saw %.2f reqs too many", -w.level)
	}
	return nil
}

func (w *world) Observe(member int, what string) (string, error) {
	if member < 0 {
		switch what {
		case "sum":
			return fmt.Sprintf("sum %d of %d", w.totalInUse(), w.limit.Units), nil
		case "most":
			return fmt.Sprintf("most %d, bound %d", w.maxInUse, w.bound()), nil
		case "let":
			n := w.admitted
			w.admitted = 0
			return fmt.Sprintf("let %d", n), nil
		}
		return "", errors.New("unknown observation")
	}
	p, l := w.procs[member], w.procs[member].limits[0]
	switch what {
	case "has":
		return fmt.Sprintf("has %d", w.usable(member)), nil
	case "owner":
		if l.holder.owner < 0 {
			return "owner none", nil
		}
		return "owner " + w.Names[l.holder.owner], nil
	case "owns":
		return fmt.Sprintf("owns %v", p.owns(l, w.LocalTime(member))), nil
	case "served":
		admitted, attempts := p.admitted, p.attempts
		p.admitted, p.attempts = 0, 0
		switch {
		case attempts == 0:
			return "nothing asked", nil
		case admitted == 0:
			return "denied", nil
		case admitted == attempts:
			return "served", nil
		}
		return "served in part", nil
	}
	return "", errors.New("unknown observation")
}

// A command line in a file sets the limit: play units=9 strict; or floor=1; kind=flight; per=250 (ms); lease=2000
// (ms); drift=100; seed=1.
func TestTimelines(t *testing.T) {
	datadriven.Walk(t, "testdata/timelines", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			x, drift, seed := limitOf(t, d)
			r := timeline.Play(d.Input, seed, func(w *timeline.Simulation) timeline.Cluster {
				return newWorld(w, x, drift, flawNone)
			})
			if r.Err != nil && !strings.Contains(r.Table, "! ") {
				t.Fatal(r.Err)
			}
			if r.Err != nil {
				t.Errorf("%s: %v\n%s", d.Pos, r.Err, r.Table)
			}
			if r.Table != d.Expected && !d.Rewrite {
				t.Errorf("%s\n%s", d.Pos, timeline.SideBySide(r.Table, d.Expected))
			}
			return r.Table
		})
	})
}

func limitOf(t *testing.T, d *datadriven.TestData) (x Limit, drift int64, seed uint64) {
	num := func(key string, or int64) int64 {
		for _, a := range d.CmdArgs {
			if a.Key == key && len(a.Vals) == 1 {
				n, err := strconv.ParseInt(a.Vals[0], 10, 64)
				if err != nil {
					t.Fatal(err)
				}
				return n
			}
		}
		return or
	}
	x = Limit{Name: "one", Units: int(num("units", 9)), Period: num("per", 250) * ms, Strict: d.HasArg("strict"),
		LeaseDuration: num("lease", 2000) * ms,
		Floor:         int(num("floor", 0)), MaxRequestDuration: num("linger", 1000) * ms}
	if d.HasArg("flight") {
		x.Kind, x.Period = InFlight, 0
	}
	return x, num("drift", 100), uint64(num("seed", 1))
}
