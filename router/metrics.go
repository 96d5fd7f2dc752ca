package router

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"ivybank/router/policy"
	"ivybank/router/upstream"
)

// endReason says why the router ended a request with a response of its own. It is the value of a metric label.
type endReason string

const (
	reasonStarting   endReason = "starting"      // no configuration or hosts yet
	reasonNoRoute    endReason = "no_route"      // none matches in the active configuration
	reasonUnknownKey endReason = "unknown_key"   // the API key is not in the active configuration
	reasonBody       endReason = "body"          // the request body was not read completely, or is too large
	reasonNoService  endReason = "no_service"    // the service of the route is unknown
	reasonOverLimit  endReason = "over_limit"    // the tenant's limit is exhausted
	reasonNoHost     endReason = "no_host"       // no host ran the request: none reachable, all full, or none left to try
	reasonNotRetried endReason = "not_repeated"  // hosts refused the request, and it may not be sent to further ones
	reasonDeadline   endReason = "deadline"      // the deadline has passed, and a host may have run the request
	reasonHostFailed endReason = "host_failed"   // a host failed and may have run the request
	reasonBroken     endReason = "stream_broken" // a stream broke off and no other host continued it
)

var endReasons = []endReason{reasonStarting, reasonNoRoute, reasonUnknownKey, reasonBody, reasonNoService, reasonOverLimit,
	reasonNoHost, reasonNotRetried, reasonDeadline, reasonHostFailed, reasonBroken}

// rerouteCause says why a request was sent to one more host although the previous one had not failed.
type rerouteCause string

const (
	rerouteSilentBeforeResponse rerouteCause = "silent_before_answer"
	rerouteSilentInStream       rerouteCause = "silent_within_stream"
)

var rerouteCauses = []rerouteCause{rerouteSilentBeforeResponse, rerouteSilentInStream}

// hostErrorCause says why an attempt at a host brought no complete response. It is the value of a metric label.
type hostErrorCause string

const (
	hostErrorNotConnected   hostErrorCause = "not_connected"    // no connection, or none that took a byte
	hostErrorHeaderTooLarge hostErrorCause = "header_too_large" // the response header did not end within its limit
	hostErrorBodyTooLarge   hostErrorCause = "body_too_large"   // the response, or an event of it, is over its limit
	hostErrorInvalid        hostErrorCause = "invalid_response" // the bytes are no response to the request
	hostErrorIncomplete     hostErrorCause = "incomplete"       // the connection ended before the response did
	hostErrorTimeout        hostErrorCause = "timeout"          // the deadline of the request passed
	hostErrorSilent         hostErrorCause = "silent"           // the router gave up the silent host and closed the connection
)

var hostErrorCauses = []hostErrorCause{hostErrorNotConnected, hostErrorHeaderTooLarge, hostErrorBodyTooLarge, hostErrorInvalid,
	hostErrorIncomplete, hostErrorTimeout, hostErrorSilent}

// hostErrorCauseOf returns the cause of an error of an attempt.
func hostErrorCauseOf(err error) hostErrorCause {
	var exchange *upstream.Error
	var network *net.OpError
	switch {
	case errors.As(err, &exchange) && exchange.Execution == upstream.NotSent:
		return hostErrorNotConnected
	case errors.Is(err, upstream.ErrHeaderTooLarge):
		return hostErrorHeaderTooLarge
	case errors.Is(err, errResponseTooLarge), errors.Is(err, errEventTooLarge):
		return hostErrorBodyTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return hostErrorTimeout
	case errors.Is(err, errHostAbandoned), errors.Is(err, net.ErrClosed):
		return hostErrorSilent
	case errors.Is(err, upstream.ErrIncompleteResponse), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &network):
		return hostErrorIncomplete
	default:
		return hostErrorInvalid
	}
}

var outcomeNames = map[policy.Outcome]string{policy.Served: "served", policy.Failed: "failed", policy.Refused: "refused",
	policy.Withdrawn: "withdrawn", policy.Misplaced: "misplaced"}

// routerMetrics counts the decisions of the router, in the Prometheus text format.
type routerMetrics struct {
	set           *metrics.Set
	ended         map[endReason]*metrics.Counter
	rerouted      map[rerouteCause]*metrics.Counter
	attempts      map[policy.Outcome]*metrics.Counter
	hostErrors    map[hostErrorCause]*metrics.Counter
	ejections     *metrics.Counter
	lateEvents    *metrics.Counter
	responseStart *metrics.PrometheusHistogram
	limitRefusals func() (byOwner, noOwner int64) // requests rejected by limits since the start
}

func newRouterMetrics(limitRefusals func() (byOwner, noOwner int64)) *routerMetrics {
	m := &routerMetrics{set: metrics.NewSet(), ended: map[endReason]*metrics.Counter{},
		rerouted: map[rerouteCause]*metrics.Counter{}, hostErrors: map[hostErrorCause]*metrics.Counter{},
		attempts: map[policy.Outcome]*metrics.Counter{}, limitRefusals: limitRefusals}
	for _, reason := range endReasons {
		m.ended[reason] = m.set.NewCounter(fmt.Sprintf("ivybank_router_requests_ended_total{ground=%q}", reason))
	}
	for _, cause := range rerouteCauses {
		m.rerouted[cause] = m.set.NewCounter(fmt.Sprintf("ivybank_router_requests_moved_total{cause=%q}", cause))
	}
	for outcome, name := range outcomeNames {
		m.attempts[outcome] = m.set.NewCounter(fmt.Sprintf("ivybank_router_attempts_total{outcome=%q}", name))
	}
	for _, cause := range hostErrorCauses {
		m.hostErrors[cause] = m.set.NewCounter(fmt.Sprintf("ivybank_router_host_errors_total{cause=%q}", cause))
	}
	m.ejections = m.set.NewCounter("ivybank_router_ejections_total")
	m.lateEvents = m.set.NewCounter("ivybank_router_events_beyond_aim_total")
	m.responseStart = m.set.NewPrometheusHistogram("ivybank_router_answer_begins_seconds")
	return m
}

// write writes the metrics as text.
func (m *routerMetrics) write(_ context.Context, w io.Writer) {
	m.set.WritePrometheus(w)
	byOwner, noOwner := m.limitRefusals()
	metrics.WriteCounterUint64(w, `ivybank_router_limit_refusals_total{by="owner"}`, uint64(byOwner))
	metrics.WriteCounterUint64(w, `ivybank_router_limit_refusals_total{by="no_owner"}`, uint64(noOwner))
}

// observeResponseStart records the time from the arrival of a request to the start of its response.
func (m *routerMetrics) observeResponseStart(elapsed time.Duration) {
	m.responseStart.Update(elapsed.Seconds())
}

// countHostError counts why an attempt brought no complete response, unless the client has gone: then nothing is known of
// the host.
func (x *exchange) countHostError(err error) {
	if x.req.Context().Err() == nil {
		x.router.metrics.hostErrors[hostErrorCauseOf(err)].Inc()
	}
}
