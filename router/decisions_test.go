package router

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"ivybank/settings"
)

// Each end of a request by the router itself is counted on its ground, and each attempt by its outcome.
func TestDecisionsAreCounted(t *testing.T) {
	good := newRawHost(t, "h1", serveWell)
	r, server := newCrossing(t, good)
	post(t, t.Context(), server, "/unsafe/x", "u1", nil)
	assert.Equal(t, post(t, t.Context(), server, "/nowhere/x", "u2", nil).status, http.StatusNotFound)

	var text bytes.Buffer
	r.decisions.write(&text)
	for _, line := range []string{`ivybank_router_requests_ended_total{ground="no_route"} 1`, `ivybank_router_requests_ended_total{ground="no_host"} 0`,
		`ivybank_router_attempts_total{outcome="served"} 1`, `ivybank_router_requests_moved_total{cause="silent_before_answer"} 0`,
		`ivybank_router_limit_refusals{by="no_owner"} 0`, `ivybank_router_answer_begins_seconds_count 1`,
		`ivybank_router_answer_begins_seconds_bucket{le="+Inf"} 1`} {
		assert.Assert(t, strings.Contains(text.String(), line+"\n"), "%s is not in\n%s", line, text.String())
	}
	answer := httptest.NewRecorder()
	r.decisions.handler(answer, nil)
	assert.Assert(t, strings.HasPrefix(answer.Header().Get("Content-Type"), "text/plain; version=0.0.4"))
	assert.Equal(t, answer.Body.Len(), text.Len())
}

// The figures are at the place that the settings name, and nowhere else.
func TestFiguresAreServed(t *testing.T) {
	r, _ := newCrossing(t, newRawHost(t, "h1", serveWell))
	free, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	port := free.Addr().(*net.TCPAddr).Port
	assert.NilError(t, free.Close())
	served, err := r.serveMetrics(&settings.Settings{IP: "127.0.0.1", Metrics: strconv.Itoa(port) + "/own//figures"})
	assert.NilError(t, err)
	defer served.Close()
	for path, want := range map[string]int{"/own//figures": http.StatusOK, "/own": http.StatusNotFound} {
		answer, err := http.Get("http://127.0.0.1:" + strconv.Itoa(port) + path)
		assert.NilError(t, err)
		body, err := io.ReadAll(answer.Body)
		assert.NilError(t, err)
		assert.NilError(t, answer.Body.Close())
		assert.Equal(t, answer.StatusCode, want)
		assert.Equal(t, strings.Contains(string(body), "ivybank_router_attempts_total"), want == http.StatusOK)
	}
	_, err = r.serveMetrics(&settings.Settings{IP: "127.0.0.1", Metrics: strconv.Itoa(port) + "/x"})
	assert.ErrorContains(t, err, "metrics")
}
