package router

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A host that reads a long prompt is silent for longer than others: the request is not sent to another one, which would
// read the prompt anew and take as long.
func TestLongPromptIsWaitedFor(t *testing.T) {
	slowly := func(q *turn) bool {
		time.Sleep(400 * time.Millisecond)
		return streamAll(q)
	}
	first, second := newRawHost(t, "h1", slowly), newRawHost(t, "h2", slowly)
	_, server := newCrossing(t, first, second)
	for i := range 6 { // before and after it is known how long such prompts take
		id := fmt.Sprint("r", i)
		got := postWith(t, t.Context(), server, "/stream/x", id, nil, map[string]string{tokensHeader: "40000,50"})
		assert.Equal(t, got, reply{status: http.StatusOK, body: eventsFrom(1, 7)})
		assert.Equal(t, first.ran(id)+second.ran(id), 1)
	}
}

// One that is silent for much longer than usual is left for another.
func TestHostThatHangsIsLeft(t *testing.T) {
	hang := func(q *turn) bool {
		time.Sleep(3 * time.Second)
		return false
	}
	bad, good := newRawHost(t, "h1", hang), newRawHost(t, "h2", streamAll)
	_, server := newCrossing(t, bad, good)
	for i := range 4 {
		id := fmt.Sprint("r", i)
		began := time.Now()
		got := postWith(t, t.Context(), server, "/stream/x", id, nil, map[string]string{tokensHeader: "4000,50"})
		assert.Equal(t, got, reply{status: http.StatusOK, body: eventsFrom(1, 7)})
		assert.Assert(t, time.Since(began) < 2*time.Second)
	}
}
