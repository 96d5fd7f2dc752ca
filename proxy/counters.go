package proxy

// This file holds the counters. No decision may depend on them.

import (
	"encoding/json"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ivybank/balance"
)

// Counters counts what the proxy received, sent and answered since its start.
type Counters struct {
	Taken, Done, Denied, Aborted, Withdrawn, Malformed, Crowded, Rested int
	Sent, Dialled, Reused                                               int
	Outcomes                                                            [balance.Unknown + 1]int
	Watches, WatchesLost, Lines, BadLines                               int
	// Responses relayed in pieces; of them those cut off.
	Streamed, Cut int
	// Requests with an idempotency key; of them repeats, and those not admitted.
	Keyed, Repeats, KeyConflicts, KeysRefused int
	Panics, Reloads                           int
	// Latency of successful requests and delay between reading and handling an event, in microseconds.
	latency, loopLag *hdrhistogram.Histogram
}

func newCounters() Counters {
	const longest, digits = 60e6, 2
	return Counters{latency: hdrhistogram.New(1, longest, digits), loopLag: hdrhistogram.New(1, longest, digits)}
}

// record adds the time between two timestamps, given in ns. A value above the histogram's maximum is dropped.
func record(h *hdrhistogram.Histogram, from, to int64) { _ = h.RecordValue((to - from) / 1e3) }

var outcomeNames = [balance.Unknown + 1]string{balance.Served: "served", balance.Errored: "errored",
	balance.Refused: "refused", balance.TimedOut: "timed_out", balance.NoConnection: "no_connection",
	balance.Reset: "reset", balance.Cancelled: "cancelled", balance.NotSent: "not_sent", balance.Unknown: "unknown"}

// Values returns every counter by its name.
func (c *Counters) Values() map[string]any {
	m := map[string]any{"taken": c.Taken, "done": c.Done, "denied": c.Denied, "aborted": c.Aborted,
		"withdrawn": c.Withdrawn, "malformed": c.Malformed, "crowded": c.Crowded, "rested": c.Rested,
		"sent": c.Sent, "dialled": c.Dialled, "reused": c.Reused,
		"watches": c.Watches, "watches_lost": c.WatchesLost, "lines": c.Lines, "bad_lines": c.BadLines,
		"panics": c.Panics, "reloads": c.Reloads, "streamed": c.Streamed, "keyed": c.Keyed, "repeats": c.Repeats,
		"key_conflicts": c.KeyConflicts, "keys_refused": c.KeysRefused, "cut": c.Cut}
	for o, n := range c.Outcomes {
		m["outcome_"+outcomeNames[o]] = n
	}
	for name, h := range map[string]*hdrhistogram.Histogram{"done_us_": c.latency, "lag_us_": c.loopLag} {
		m[name+"p50"], m[name+"p99"], m[name+"max"] = h.ValueAtPercentile(50), h.ValueAtPercentile(99), h.Max()
	}
	return m
}

// JSON returns the counters as a JSON object with a trailing newline.
func (c *Counters) JSON() []byte {
	text, err := json.Marshal(c.Values())
	if err != nil {
		return nil // cannot happen: the values are numbers
	}
	return append(text, '\n')
}

// FinalCounters returns the counters; call it once Run has returned.
func (p *Proxy) FinalCounters() map[string]any { return p.count.Values() }
