package router

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"ivybank/internal/metrics"
)

// Each request that the router ends itself is counted by reason, and each attempt by outcome.
func TestMetricsCountReasonsAndOutcomes(t *testing.T) {
	host := newFakeHost(t, "h1", respondOK)
	r, server := newTestRouter(t, host)
	post(t, t.Context(), server, "/unsafe/x", "u1", nil)
	assert.Equal(t, post(t, t.Context(), server, "/nowhere/x", "u2", nil).status, http.StatusNotFound)

	var text bytes.Buffer
	r.metrics.write(t.Context(), &text)
	for _, line := range []string{`ivybank_router_requests_ended_total{ground="no_route"} 1`, `ivybank_router_requests_ended_total{ground="no_host"} 0`,
		`ivybank_router_attempts_total{outcome="served"} 1`, `ivybank_router_requests_moved_total{cause="silent_before_answer"} 0`,
		`ivybank_router_limit_refusals_total{by="no_owner"} 0`, `ivybank_router_answer_begins_seconds_count 1`,
		`ivybank_router_answer_begins_seconds_bucket{le="+Inf"} 1`} {
		assert.Assert(t, strings.Contains(text.String(), line+"\n"), "%s is not in\n%s", line, text.String())
	}
	response := httptest.NewRecorder()
	metrics.Handler("/figures", r.metrics.write).ServeHTTP(response, httptest.NewRequest(http.MethodGet, "/figures", nil))
	assert.Assert(t, strings.HasPrefix(response.Header().Get("Content-Type"), "text/plain; version=0.0.4"))
	assert.Equal(t, response.Body.Len(), text.Len())
}

// Each attempt without a whole response is counted by its cause.
func TestHostErrorsAreCountedByCause(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: u\r\n"
	for cause, response := range map[hostErrorCause]string{
		hostErrorHeaderTooLarge: head + "A: " + strings.Repeat("b", 1<<20),
		hostErrorBodyTooLarge:   head + "Content-Length: 2000000\r\n\r\n" + strings.Repeat("b", 2_000_000),
		hostErrorInvalid:        "these bytes form no answer\r\n\r\n",
		hostErrorIncomplete:     head + "Content-Length: 20\r\n\r\nhalf",
	} {
		t.Run(string(cause), func(t *testing.T) {
			host := newFakeHost(t, "h1", func(q *hostRequest) bool {
				q.write(response)
				return false
			})
			r, server := newTestRouter(t, host)
			assert.Equal(t, post(t, t.Context(), server, "/unsafe/x", "u", nil).status, http.StatusBadGateway)
			for _, other := range hostErrorCauses {
				want := uint64(0)
				if other == cause {
					want = 1
				}
				assert.Equal(t, r.metrics.hostErrors[other].Get(), want, "%s", other)
			}
		})
	}
}
