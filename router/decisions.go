package router

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"ivybank/router/policy"
	"ivybank/settings"
)

// ground is why a router ended a request with an answer of its own.
type ground string

// The grounds.
const (
	groundStarting   ground = "starting"      // no configuration or hosts yet
	groundNoRoute    ground = "no_route"      // by the configuration in force
	groundUnknownKey ground = "unknown_key"   // likewise
	groundBody       ground = "body"          // not read whole, or too large
	groundNoService  ground = "no_service"    // the route's service is not known
	groundOverLimit  ground = "over_limit"    // its tenant's limit has nothing left
	groundNoHost     ground = "no_host"       // none ran it: no connection, full, or none left to try
	groundNoBudget   ground = "not_repeated"  // hosts refused it, and it may not be sent to more of them
	groundDeadline   ground = "deadline"      // a host may have run it, and its time is over
	groundHostFailed ground = "host_failed"   // a host may have run it, and failed
	groundBroken     ground = "stream_broken" // in the middle of a stream, and no other host went on
)

var grounds = []ground{groundStarting, groundNoRoute, groundUnknownKey, groundBody, groundNoService, groundOverLimit, groundNoHost,
	groundNoBudget, groundDeadline, groundHostFailed, groundBroken}

// move is why a request was sent to one more host although the one before had not failed.
type move string

// The moves.
const (
	moveHeadSilence move = "silent_before_answer"
	moveGapSilence  move = "silent_within_stream"
)

var moves = []move{moveHeadSilence, moveGapSilence}

var outcomeNames = map[policy.Outcome]string{policy.Served: "served", policy.Failed: "failed", policy.Refused: "refused",
	policy.Withdrawn: "withdrawn", policy.Misplaced: "misplaced"}

// decisions counts what a router decided and on which ground, in the text format of Prometheus.
type decisions struct {
	set       *metrics.Set
	ended     map[ground]*metrics.Counter
	moved     map[move]*metrics.Counter
	attempts  map[policy.Outcome]*metrics.Counter
	ejections *metrics.Counter
	lateGaps  *metrics.Counter
	firstByte *metrics.PrometheusHistogram
}

func newDecisions() *decisions {
	d := &decisions{set: metrics.NewSet(), ended: map[ground]*metrics.Counter{}, moved: map[move]*metrics.Counter{},
		attempts: map[policy.Outcome]*metrics.Counter{}}
	for _, g := range grounds {
		d.ended[g] = d.set.NewCounter(fmt.Sprintf("ivybank_router_requests_ended_total{ground=%q}", g))
	}
	for _, m := range moves {
		d.moved[m] = d.set.NewCounter(fmt.Sprintf("ivybank_router_requests_moved_total{cause=%q}", m))
	}
	for outcome, name := range outcomeNames {
		d.attempts[outcome] = d.set.NewCounter(fmt.Sprintf("ivybank_router_attempts_total{outcome=%q}", name))
	}
	d.ejections = d.set.NewCounter("ivybank_router_ejections_total")
	d.lateGaps = d.set.NewCounter("ivybank_router_events_beyond_aim_total")
	d.firstByte = d.set.NewPrometheusHistogram("ivybank_router_answer_begins_seconds")
	return d
}

// addLimits shows what the limiter counts.
func (d *decisions) addLimits(refused func() (byOwner, absent int64)) {
	d.set.NewGauge(`ivybank_router_limit_refusals{by="owner"}`, func() float64 { owner, _ := refused(); return float64(owner) })
	d.set.NewGauge(`ivybank_router_limit_refusals{by="no_owner"}`, func() float64 { _, absent := refused(); return float64(absent) })
}

// handler serves the figures as text.
func (d *decisions) handler(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	d.set.WritePrometheus(w)
}

// write gives the figures as text.
func (d *decisions) write(w io.Writer) { d.set.WritePrometheus(w) }

// serveMetrics serves the figures where the settings say so.
func (r *Router) serveMetrics(s *settings.Settings) (io.Closer, error) {
	port, path, _ := strings.Cut(s.Metrics, "/")
	listener, err := net.Listen("tcp4", net.JoinHostPort(s.IP, port))
	if err != nil {
		return nil, fmt.Errorf("router: metrics: %w", err)
	}
	handler := func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path != "/"+path {
			http.NotFound(w, q)
			return
		}
		r.decisions.handler(w, q)
	}
	go func() {
		_ = (&http.Server{Handler: http.HandlerFunc(handler), ReadHeaderTimeout: headerTimeout}).Serve(listener)
	}()
	return listener, nil
}

// began counts an answer that has begun.
func (d *decisions) began(took time.Duration) { d.firstByte.Update(took.Seconds()) }
