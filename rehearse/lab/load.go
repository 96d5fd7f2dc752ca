package lab

// This file holds the load: requests drawn by seed, or rows of a trace, in time order. The load of a seed is the same
// for every variant. It must never depend on the outcome of a request.

import (
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"slices"
	"sort"

	"ivybank/internal/rng"
	"ivybank/rehearse/emu"
	"ivybank/rehearse/trace"
)

// load yields requests in time order, each with the index of its balancer; io.EOF ends it.
type load interface {
	next() (a emu.Request, balancer int, err error)
	close()
}

// generatedLoad is an open-loop load: arrivals are a Poisson process that does not wait for answers.
type generatedLoad struct {
	e         *Experiment
	random    rng.Source
	at        float64
	keys      []float64 // cumulative weights of the keys
	ruleSets  []float64
	tenants   []float64
	balancers [][]float64 // cumulative weights of the balancers, by rule set
}

func cumulativeWeights(n int, share func(i int) float64) (all []float64) {
	total := 0.0
	for i := range n {
		total += share(i)
		all = append(all, total)
	}
	return all
}

// pickWeighted draws an index by cumulative weights; -1 if there are none.
func pickWeighted(d *rng.Source, sums []float64) int {
	if len(sums) == 0 {
		return -1
	}
	return min(len(sums)-1, sort.SearchFloat64s(sums, d.Next()*sums[len(sums)-1]))
}

func newGeneratedLoad(e *Experiment, seed uint64) *generatedLoad {
	g := &generatedLoad{e: e}
	g.random.Seed = seed
	g.keys = cumulativeWeights(e.Load.Keys, func(i int) float64 { return math.Pow(float64(i+1), -e.Load.Skew) })
	g.ruleSets = cumulativeWeights(len(e.RuleSets), func(i int) float64 { return e.RuleSets[i].Share })
	for _, r := range e.RuleSets {
		g.balancers = append(g.balancers, cumulativeWeights(e.Fleet.Balancers, func(i int) float64 {
			if len(r.Proxies) > 0 && !slices.Contains(r.Proxies, i) {
				return 0
			}
			return math.Pow(float64(i+1), -e.Load.Uneven)
		}))
	}
	g.tenants = cumulativeWeights(len(e.Load.Tenants), func(i int) float64 { return e.Load.Tenants[i].Share })
	return g
}

func (g *generatedLoad) next() (emu.Request, int, error) {
	times, only := g.e.loadAt(int64(g.at))
	g.at += -math.Log(g.random.Next()) / (g.e.Load.Rate * times) * 1e9
	if g.at >= float64(g.e.Length) {
		return emu.Request{}, 0, io.EOF
	}
	set := pickWeighted(&g.random, g.ruleSets)
	a := emu.Request{At: int64(g.at), RuleSet: g.e.RuleSets[set].Name}
	if k := pickWeighted(&g.random, g.keys); k >= 0 {
		a.Key = fmt.Sprint("k", k)
	}
	if k := pickWeighted(&g.random, g.tenants); k >= 0 {
		a.Tenant = g.e.Load.Tenants[k].Name
	}
	work := float64(g.e.Load.Work)
	switch x := g.random.Next(); g.e.Load.Spread {
	case "exponential":
		work *= -math.Log(x)
	case "uniform":
		work *= 2 * x
	}
	a.Work = max(1, int64(work))
	at := pickWeighted(&g.random, g.balancers[set])
	if len(only) > 0 {
		at = only[at%len(only)]
	}
	return a, at, nil
}

// loadAt returns the factor applied to the rate at a time, and the proxies that receive all of the load; none: all
// proxies.
func (e *Experiment) loadAt(at int64) (times float64, only []int) {
	times = 1
	if x := e.Load.Swing; x > 0 {
		if times += x; at/int64(e.Load.Each)%2 == 1 {
			times -= 2 * x
		}
	}
	for _, x := range e.Faults {
		if at < int64(x.At) || x.For > 0 && at >= int64(x.At)+int64(x.For) {
			continue
		}
		switch x.Kind {
		case "surge":
			times *= x.Size
		case "pour":
			only = x.Proxies
		}
	}
	return times, only
}

func (g *generatedLoad) close() {}

// traceLoad is a load read from a trace file.
type traceLoad struct {
	e        *Experiment
	file     *os.File
	rows     *trace.Reader
	dice     rng.Source
	first    int64
	started  bool
	problems *Problems
}

// Problems counts and reports the bad rows of a trace.
type Problems struct {
	Count int
	Most  int
	Tell  func(string) // called for each bad row
}

// ErrProblems is returned when a run met too many bad rows.
var ErrProblems = errors.New("too many bad rows")

func newTraceLoad(e *Experiment, seed uint64, p *Problems) (*traceLoad, error) {
	f, err := os.Open(e.resolvePath(e.Trace.File))
	if err != nil {
		return nil, err
	}
	r, err := trace.NewReader(f, trace.Layouts[e.Trace.Layout], e.Trace.Columns)
	if err != nil {
		_ = f.Close()
		return nil, fmt.Errorf("%s: %w", e.Trace.File, err)
	}
	t := &traceLoad{e: e, file: f, rows: r, problems: p}
	t.dice.Seed = seed
	return t, nil
}

func (t *traceLoad) close() { _ = t.file.Close() }

func (t *traceLoad) next() (emu.Request, int, error) {
	for {
		row, err := t.rows.Next()
		var bad *trace.RowError
		if err == io.EOF && t.rows.Truncated() && t.problems.Count == 0 {
			t.problems.Tell(t.e.Trace.File + ": the last line has no line end: the file may have been cut")
		}
		if errors.As(err, &bad) {
			t.problems.Count++
			t.problems.Tell(t.e.Trace.File + ": " + bad.Error())
			if t.problems.Count > t.problems.Most {
				return emu.Request{}, 0, fmt.Errorf("%s: %w: more than %d", t.e.Trace.File, ErrProblems, t.problems.Most)
			}
			continue
		}
		if err != nil {
			return emu.Request{}, 0, err
		}
		if !t.started {
			t.started, t.first = true, row.At
		}
		drawn, balancer := t.dice.Next(), t.dice.Next()
		if drawn >= t.e.Trace.Part {
			continue
		}
		a := emu.Request{At: int64(float64(row.At-t.first) / t.e.Trace.Speed), Key: row.Key,
			Work: min(int64(t.e.Trace.MostFor), max(int64(t.e.Trace.LeastFor), int64(float64(row.Work)*t.e.Trace.Work), 1))}
		if t.e.Length > 0 && a.At >= int64(t.e.Length) {
			return emu.Request{}, 0, io.EOF
		}
		set, ok := t.e.Trace.RuleSets[row.Kind]
		if !ok {
			set = t.e.Trace.RuleSets["*"]
		}
		if a.RuleSet = set; set == "" {
			a.RuleSet = t.e.RuleSets[0].Name
		}
		if n := len(t.e.Load.Tenants); n > 0 {
			a.Tenant = t.e.Load.Tenants[int(rng.Hash(row.Tenant, "tenant")*float64(n))].Name
		}
		return a, int(balancer * float64(t.e.Fleet.Balancers)), nil
	}
}
