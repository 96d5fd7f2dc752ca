package lab

import (
	"math"
	"testing"

	"ivybank/conf"
	"ivybank/rehearse/emu"
)

// measured records requests of value 1 and 8, ten of each per second for 8 s; become decides the result of each.
func measured(t *testing.T, become func(value float64, at int64) emu.ResultKind) *Figures {
	t.Helper()
	e := &Experiment{}
	for _, x := range []struct {
		name  string
		value float64
	}{{"low", 1}, {"high", 8}} {
		e.RuleSets = append(e.RuleSets, struct {
			Name   string        `toml:"name"`
			Effect string        `toml:"effect"`
			Group  string        `toml:"group"`
			Window conf.Duration `toml:"window"`
			Target conf.Duration `toml:"response_target"`
			Value  float64       `toml:"value"`
			Share  float64       `toml:"share"`

			Proxies []int `toml:"proxies"`
		}{Name: x.name, Target: 8e8, Value: x.value})
	}
	f := &Figures{}
	m := newMeasure(e, f)
	for at := int64(0); at < 8e9; at += 1e8 {
		for _, x := range e.RuleSets {
			m.add(emu.Result{Request: emu.Request{At: at, RuleSet: x.Name}, Kind: become(x.Value, at), Latency: 1e6, Attempts: 1})
		}
	}
	m.close(emu.NewChecker(emu.NewVirtualClock(1), 0))
	return f
}

// Denying requests of high value while those of lower value are served counts as inversion; denying those of the lowest
// value does not.
func TestInversions(t *testing.T) {
	wrong := measured(t, func(value float64, _ int64) emu.ResultKind {
		if value > 1 {
			return emu.Denied
		}
		return emu.Done
	})
	if math.Abs(wrong.Inverted-0.5) > 1e-9 || wrong.Classes["high"] != 0 || wrong.Classes["low"] != 1 {
		t.Errorf("%.2f inverted, classes %v, want each denied request counted", wrong.Inverted, wrong.Classes)
	}
	right := measured(t, func(value float64, _ int64) emu.ResultKind {
		if value > 1 {
			return emu.Done
		}
		return emu.Denied
	})
	if right.Inverted != 0 {
		t.Errorf("%.2f inverted by denying the lowest value", right.Inverted)
	}
}
