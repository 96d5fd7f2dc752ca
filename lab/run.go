package lab

// This file owns the playing of an experiment in virtual time: each seed with each variant in turn, and what is measured. It must
// never let one run look at another.

import (
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ivybank/balance"
	"ivybank/emu"
)

// Figures are what came of one run.
type Figures struct {
	Seed    uint64
	Variant string

	Asks, Done, Denied, Aborted, Unanswered int
	Service                                 float64 // value answered within the response target, of the value asked for
	P50, P90, P99                           float64 // milliseconds, of those done
	Tries                                   float64 // of an ask, its client's retries included
	Begun                                   int     // executions at servers
	Breaches                                [5]int  // of each rule, by the servers' and clients' evidence
	Strain                                  float64 // the most offered to a cold server, of what pushes it over
	Notes                                   []string
	Hash                                    string // of all decisions; sockets: none
	Line                                    []float64
	Events                                  int           // of the virtual clock
	Wall                                    time.Duration // that it took
	Late                                    float64       // milliseconds: how late the load generator was, 99 in 100; 0 in virtual time
	Unusable                                string        // why the machine could not keep up, empty where it could
	Problems                                int           // bad rows of a trace
}

// measure gathers results into figures.
type measure struct {
	e           *Experiment
	figures     *Figures
	took        *hdrhistogram.Histogram
	good, asked float64
	tries       int
	line        [][2]float64 // value answered in time and asked for, by second
}

func newMeasure(e *Experiment, f *Figures) *measure {
	return &measure{e: e, figures: f, took: hdrhistogram.New(1, 600e6, 3)}
}

// add takes what became of one ask.
func (m *measure) add(r emu.Result) {
	value, target := 1.0, int64(0)
	for _, x := range m.e.RuleSets {
		if x.Name == r.RuleSet {
			value, target = x.Value, int64(x.Target)
		}
	}
	intime := 0.0
	if r.Kind == emu.Done && r.Took <= target {
		intime = value
	}
	second := int(r.At / 1e9)
	for len(m.line) <= second {
		m.line = append(m.line, [2]float64{})
	}
	m.line[second][0] += intime
	m.line[second][1] += value
	if r.At < int64(m.e.Warm) {
		return
	}
	f := m.figures
	f.Asks++
	m.tries += r.Tries
	m.good, m.asked = m.good+intime, m.asked+value
	switch r.Kind {
	case emu.Done:
		f.Done++
		_ = m.took.RecordValue(max(1, r.Took/1e3))
	case emu.Denied:
		f.Denied++
	case emu.Aborted:
		f.Aborted++
	default:
		f.Unanswered++
	}
}

// close works the figures out.
func (m *measure) close(j *emu.Judge) {
	f := m.figures
	if m.asked > 0 {
		f.Service = m.good / m.asked
	}
	if f.Asks > 0 {
		f.Tries = float64(m.tries) / float64(f.Asks)
	}
	for _, x := range []struct {
		to *float64
		at float64
	}{{&f.P50, 50}, {&f.P90, 90}, {&f.P99, 99}} {
		*x.to = float64(m.took.ValueAtPercentile(x.at)) / 1e3
	}
	for _, x := range m.line {
		part := 0.0
		if x[1] > 0 {
			part = x[0] / x[1]
		}
		f.Line = append(f.Line, part)
	}
	f.Breaches, f.Strain, f.Notes, f.Begun = j.Breaches, j.Strain, j.Notes, j.Begun
}

// virtual plays one run in virtual time.
func virtual(e *Experiment, v Variant, seed uint64, policy func(t balance.Terms, now int64) emu.Policy, p *Problems) (*Figures, error) {
	begun := time.Now()
	clock := emu.NewVirtual(1e12)
	fleet := emu.NewFleet(clock, seed, e.nature(), e.wire(), e.machines(), int64(e.Fleet.Grace))
	if policy == nil {
		policy = newPolicy(v.Policy, fleet)
	}
	f := &Figures{Seed: seed, Variant: v.Name}
	m := newMeasure(e, f)
	zones := make([]string, e.Fleet.Balancers)
	for i := range zones {
		zones[i] = e.zone(i)
	}
	seats := emu.NewSeats(fleet, clock, zones, e.terms(), e.clients(), seed, policy, m.add)
	if err := fleet.Schedule(e.faults()); err != nil {
		return nil, err
	}
	l, err := e.load(seed, p)
	if err != nil {
		return nil, err
	}
	defer l.close()
	start, end := clock.Now(), clock.Now()
	for {
		a, at, err := l.next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, err
		}
		end = start + a.At
		clock.Run(end)
		seats.Arrive(at, a)
	}
	// Those that came last have their time, with all their clients' retries.
	clock.Run(end + int64(e.Load.Timeout)*int64(2+e.Load.Retries) + 1e9)
	fleet.Judge.Close()
	m.close(fleet.Judge)
	f.Hash, f.Events, f.Wall, f.Problems = seats.Hash(), clock.Events, time.Since(begun), p.Count
	return f, nil
}

func (e *Experiment) load(seed uint64, p *Problems) (load, error) {
	if e.Trace == nil {
		return newGenerated(e, seed), nil
	}
	p.Most = e.Trace.Problems
	return newTraced(e, seed, p)
}

// Run plays all seeds with all variants in turn, so that what changes on the machine meanwhile meets all variants alike.
func Run(e *Experiment, say func(format string, a ...any)) ([]*Figures, error) {
	var all []*Figures
	for n, seed := range e.Seeds {
		for i := range e.Variants {
			v := e.Variants[(i+n)%len(e.Variants)] // no variant is always the first
			p := &Problems{Tell: func(what string) {
				if n == 0 && i == 0 { // the rows are the same each time
					say("%s", what)
				}
			}}
			var f *Figures
			var err error
			if e.Mode == "sockets" {
				f, err = sockets(e, v, seed, p)
			} else {
				f, err = virtual(e, v, seed, nil, p)
			}
			if err != nil {
				return all, fmt.Errorf("%s, seed %d, %s: %w", e.Name, seed, v.Name, err)
			}
			all = append(all, f)
			say("%s seed %d %-12s service %.3f  p50 %.0f ms  p99 %.0f ms  done %d  denied %d  aborted %d  breaches %v%s", e.Name, seed,
				v.Name, f.Service, f.P50, f.P99, f.Done, f.Denied, f.Aborted, f.Breaches[1:], map[bool]string{true: "  UNUSABLE: " + f.Unusable}[f.Unusable != ""])
			for _, note := range f.Notes {
				say("  %s", note)
			}
		}
	}
	return all, nil
}
