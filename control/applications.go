package control

import (
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"ivybank/wire"
)

const (
	maxCallBodyBytes      = 32 << 10 // bytes of a request body
	callRetryAfterSeconds = "0.05"   // Retry-After in seconds
)

// applicationCall describes one HTTP call of the application API.
type applicationCall struct {
	name    operatorCall // label in metrics
	pattern string
	kind    wire.CommandKind
	success func(*wire.Answer) any // builds the body of a 200 response
}

// applicationCalls lists the calls on locks, numbers, keys and watches.
var applicationCalls = []applicationCall{
	{"lock_begin", "POST /v1/Locks.Begin/{id}", wire.BeginLock, func(a *wire.Answer) any { return fenceBody{a.Fence} }},
	{"lock_heartbeat", "POST /v1/Locks.Heartbeat/{id}", wire.HeartbeatLock, emptyBody},
	{"lock_finish", "POST /v1/Locks.Finish/{id}", wire.FinishLock, emptyBody},
	{"number", "POST /v1/numbers/{id}", wire.NextNumber, func(a *wire.Answer) any { return numberBody{a.Number} }},
	{"key_replace", "POST /v1/Cells.Replace/{id}", wire.ReplaceKey,
		func(a *wire.Answer) any { return revisionBody{a.Revision} }},
	{"key_get", "GET /v1/Cells.Get/{id}", wire.GetKey, func(a *wire.Answer) any { return keyBody{a.Value, a.Revision} }},
	{"watch", "GET /v1/watch/{id}", wire.WatchGroup, watchAnswer},
}

// Bodies of requests and responses.
type (
	requestBody struct {
		Holder     string  `json:"holder"`
		Fence      uint64  `json:"fence"`
		HoldMS     float64 `json:"hold_ms"`
		Value      string  `json:"value"`
		IfRevision *uint64 `json:"if_revision"`
	}
	fenceBody struct {
		Fence uint64 `json:"fence"`
	}
	numberBody struct {
		Value uint64 `json:"value"`
	}
	revisionBody struct {
		Rev uint64 `json:"rev"`
	}
	keyBody struct {
		Value string `json:"value"`
		Rev   uint64 `json:"rev"`
	}
	eventBody struct {
		Name  string `json:"name"`
		Value string `json:"value"`
		Rev   uint64 `json:"rev"`
	}
	watchBody struct {
		Events []eventBody `json:"events"`
		Rev    uint64      `json:"rev"`
	}
)

func emptyBody(*wire.Answer) any { return struct{}{} }

func watchAnswer(a *wire.Answer) any {
	body := watchBody{Events: []eventBody{}, Rev: a.Revision}
	for _, e := range a.Events {
		body.Events = append(body.Events, eventBody{e.Key, e.Value, e.Revision})
	}
	return body
}

// applicationHandler serves the application API. It is safe for concurrent use.
type applicationHandler struct{ node *Node }

// register adds the application calls to mux.
func (h *applicationHandler) register(mux *http.ServeMux) {
	for _, call := range applicationCalls {
		mux.HandleFunc(call.pattern, func(w http.ResponseWriter, r *http.Request) { h.serve(w, r, &call) })
	}
}

// serve submits a call to the node's event loop and writes the response. If the outcome is unknown, it closes the
// connection without a response.
func (h *applicationHandler) serve(w http.ResponseWriter, r *http.Request, call *applicationCall) {
	receivedAt := h.node.env.Now()
	command, ok := readCommand(w, r, call.kind)
	if !ok {
		h.write(w, call, wire.Answer{Outcome: wire.Invalid})
		return
	}
	if call.kind == wire.WatchGroup {
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{}) // a watch may outlast the server's read timeout
	}
	answers := make(chan wire.Answer, 1)
	submitted := make(chan *partCall, 1)
	h.node.env.Do(func() {
		submitted <- h.node.submitCall(command, receivedAt, func(a wire.Answer) { answers <- a })
	})
	select {
	case a := <-answers:
		if call.kind != wire.WatchGroup {
			h.node.counters.partCallSeconds.Update((h.node.env.Now() - receivedAt).Seconds())
		}
		h.write(w, call, a)
	case <-r.Context().Done():
		h.node.env.Do(func() { h.node.callerDisconnected(<-submitted) })
		panic(http.ErrAbortHandler) // returning without a response would make net/http send 200
	}
}

// readCommand decodes a request. It returns false if the request is malformed.
func readCommand(w http.ResponseWriter, r *http.Request, kind wire.CommandKind) (wire.Command, bool) {
	command := wire.Command{Kind: kind, Name: r.PathValue("id")}
	if r.Method == http.MethodGet {
		return command, kind != wire.WatchGroup || readWatch(r, &command)
	}
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxCallBodyBytes))
	if err != nil {
		return command, false
	}
	var body requestBody
	if err := json.Unmarshal(text, &body); err != nil || !(body.HoldMS >= 0 && body.HoldMS < math.MaxInt32) {
		return command, false
	}
	body.fillCommand(&command)
	return command, true
}

// fillCommand copies only the fields that the command's kind uses, so that log entries carry no others.
func (b *requestBody) fillCommand(c *wire.Command) {
	switch c.Kind {
	case wire.BeginLock:
		c.Holder, c.HoldMS = b.Holder, int64(math.Ceil(b.HoldMS))
	case wire.HeartbeatLock:
		c.Holder, c.Fence, c.HoldMS = b.Holder, b.Fence, int64(math.Ceil(b.HoldMS))
	case wire.FinishLock:
		c.Holder, c.Fence = b.Holder, b.Fence
	case wire.ReplaceKey:
		c.Value, c.IfRevision = b.Value, b.IfRevision
	}
}

// readWatch decodes the query parameters of a watch. Missing parameters are 0.
func readWatch(r *http.Request, command *wire.Command) bool {
	query := r.URL.Query()
	if after := query.Get("after"); after != "" {
		number, err := strconv.ParseUint(after, 10, 64)
		if err != nil {
			return false
		}
		command.After = number
	}
	if wait := query.Get("wait_ms"); wait != "" {
		number, err := strconv.ParseInt(wait, 10, 64)
		if err != nil {
			return false
		}
		command.WaitMS = number
	}
	return true
}

// write writes the response for an answer.
func (h *applicationHandler) write(w http.ResponseWriter, call *applicationCall, a wire.Answer) {
	status := httpStatus(a.Outcome)
	h.node.counters.countResponse(call.name, status)
	if status == 0 {
		panic(http.ErrAbortHandler) // closes the connection without a response
	}
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		w.Header().Set("Retry-After", callRetryAfterSeconds)
	}
	body := emptyBody(&a)
	switch status {
	case http.StatusOK:
		body = call.success(&a)
	case http.StatusPreconditionFailed:
		body = revisionBody{a.Revision}
	}
	text, err := json.Marshal(body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text) // a write error means that the client has disconnected
}

// httpStatus returns the HTTP status for an outcome, or 0 if the connection has to be closed without a response.
func httpStatus(o wire.Outcome) int {
	switch o {
	case wire.Done:
		return http.StatusOK
	case wire.HeldByOther, wire.LockLost:
		return http.StatusConflict
	case wire.Mismatched:
		return http.StatusPreconditionFailed
	case wire.NotFound:
		return http.StatusNotFound
	case wire.Compacted:
		return http.StatusGone
	case wire.Full:
		return http.StatusTooManyRequests
	case wire.Invalid:
		return http.StatusBadRequest
	case wire.NotServed:
		return http.StatusServiceUnavailable
	default:
		return 0
	}
}
