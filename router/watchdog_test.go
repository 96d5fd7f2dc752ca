package router

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A host that reads a long prompt is silent for longer than others. The request must not be sent to another host,
// which would have to read the prompt too and take as long.
func TestRouterWaitsForLongPrompt(t *testing.T) {
	respondSlowly := func(q *hostRequest) bool {
		time.Sleep(400 * time.Millisecond)
		return streamAll(q)
	}
	first, second := newFakeHost(t, "h1", respondSlowly), newFakeHost(t, "h2", respondSlowly)
	_, server := newTestRouter(t, first, second)
	for i := range 6 { // before and after the router has measured how long such prompts take
		id := fmt.Sprint("r", i)
		got := postWith(t, t.Context(), server, "/stream/x", id, nil, map[string]string{tokenUsageHeader: "40000,50"})
		assert.Equal(t, got, clientResult{status: http.StatusOK, body: eventsFrom(1, 7)})
		assert.Equal(t, first.runCount(id)+second.runCount(id), 1)
	}
}

// A request is sent to another host if the first one is silent for much longer than usual.
func TestRequestLeavesHangingHost(t *testing.T) {
	hang := func(q *hostRequest) bool {
		time.Sleep(3 * time.Second)
		return false
	}
	bad, good := newFakeHost(t, "h1", hang), newFakeHost(t, "h2", streamAll)
	_, server := newTestRouter(t, bad, good)
	for i := range 4 {
		id := fmt.Sprint("r", i)
		start := time.Now()
		got := postWith(t, t.Context(), server, "/stream/x", id, nil, map[string]string{tokenUsageHeader: "4000,50"})
		assert.Equal(t, got, clientResult{status: http.StatusOK, body: eventsFrom(1, 7)})
		assert.Assert(t, time.Since(start) < 2*time.Second)
	}
}
