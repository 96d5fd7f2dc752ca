package router

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"ivybank/router/policy"
	"ivybank/router/upstream"
)

const (
	eventBufferBytes = 4 << 10
	maxEventBytes    = 1 << 20
)

var errEventTooLarge = errors.New("router: event too large")

// event is one complete event of a stream, including its terminating empty line.
type event struct {
	bytes []byte
	id    string
}

// eventReader reads complete events.
type eventReader struct{ *bufio.Reader }

// next reads one event. At the end of the stream it returns io.EOF, and for an event that is cut off
// io.ErrUnexpectedEOF.
func (r eventReader) next() (event, error) {
	var e event
	for {
		line, err := r.ReadSlice('\n')
		e.bytes = append(e.bytes, line...)
		if len(e.bytes) > maxEventBytes {
			return e, errEventTooLarge
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(e.bytes) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return e, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if id, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			e.id = string(bytes.TrimSpace(id))
		}
		if len(text) == 0 {
			return e, nil
		}
	}
}

// streamSource is a host's response from which a stream is read.
type streamSource struct {
	attempt  *policy.Attempt
	conn     *upstream.Conn
	response *http.Response
}

// lastEventID holds the ID of the newest event that was sent to the client. It is safe for concurrent use.
type lastEventID struct {
	mu sync.Mutex
	id string
}

func (e *lastEventID) get() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.id
}

func (e *lastEventID) set(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.id = id
}

// stream relays a stream event by event. If the host fails or falls silent and the route allows it, another host
// continues after the last complete event, within the same response. It returns the outcome of the first attempt.
func (x *exchange) stream(from streamSource) policy.Outcome {
	x.mayHaveRun = true
	x.sendCount++
	x.copyHeader(from.response)
	x.w.WriteHeader(from.response.StatusCode)
	_ = http.NewResponseController(x.w).Flush()
	last := &lastEventID{id: x.req.Header.Get(lastEventIDHeader)}
	firstAttempt := from.attempt
	for {
		successorWatch := x.watchStream(from, last)
		err := x.relayEvents(from, last)
		successor := successorWatch.finish(err != nil)
		if err == nil {
			x.router.pool.Put(from.conn, from.response)
			if from.attempt == firstAttempt {
				return policy.Served
			}
			x.endAttempt(from.attempt, policy.Served)
			return policy.Withdrawn // the outcome of the first attempt has already been recorded
		}
		from.conn.Close()
		if x.req.Context().Err() != nil {
			x.discard(&from)
			if successor != nil {
				x.discard(successor)
			}
			panic(http.ErrAbortHandler)
		}
		x.endAttempt(from.attempt, x.failureOutcome(from.attempt))
		x.countHostError(err)
		for successor == nil && !x.limitExhausted && x.isRetryable() && x.reserveRetry() {
			successor = x.openSuccessor(last.get())
		}
		if successor == nil {
			x.router.metrics.ended[reasonBroken].Inc()
			panic(http.ErrAbortHandler) // closing the connection shows the client that the response is incomplete
		}
		from = *successor
	}
}

// relayEvents copies events to the client until the stream ends, and keeps last up to date.
func (x *exchange) relayEvents(from streamSource, last *lastEventID) error {
	control := http.NewResponseController(x.w)
	reader := eventReader{bufio.NewReaderSize(from.response.Body, eventBufferBytes)}
	target := time.Duration(x.route.EventIntervalTargetMS * float64(time.Millisecond))
	for {
		e, err := reader.next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if interval := x.service.RecordEvent(from.attempt, x.router.now()); target > 0 && interval > target {
			x.router.metrics.lateEvents.Inc()
		}
		if e.id != "" && !isAfter(e.id, last.get()) {
			continue // the client already has this event
		}
		if _, err := x.w.Write(e.bytes); err != nil {
			return err
		}
		if err := control.Flush(); err != nil {
			return err
		}
		if e.id != "" {
			last.set(e.id)
		}
	}
}

// openSuccessor asks one more host to continue after the last event. It returns nil if that host does not.
func (x *exchange) openSuccessor(last string) *streamSource {
	a, ok := x.service.Begin(x.policyRequest(), x.router.now())
	if !ok {
		return nil
	}
	x.triedHosts = append(x.triedHosts, a.Host.ID)
	fail := func(o policy.Outcome) *streamSource {
		x.endAttempt(a, o)
		return nil
	}
	conn, err := x.router.pool.Get(x.req.Context(), a.Host.Address)
	if err != nil {
		x.countHostError(err)
		return fail(policy.Failed)
	}
	if !x.useCharge() {
		conn.Close()
		return fail(policy.Withdrawn)
	}
	request := x.hostRequest(a)
	if last != "" {
		request.Header.Set(lastEventIDHeader, last)
	}
	x.sendCount++
	response, err := conn.Do(request, x.deadline)
	if err != nil {
		conn.Close()
		x.countHostError(err)
		return fail(x.failureOutcome(a))
	}
	if response.StatusCode != http.StatusOK || !strings.HasPrefix(response.Header.Get(contentTypeHeader), eventStreamType) {
		conn.Close()
		return fail(policy.Refused)
	}
	return &streamSource{a, conn, response}
}

// isAfter reports whether an event comes later in a stream than another. Numeric IDs increase; other IDs are only
// compared for equality.
func isAfter(id, last string) bool {
	if last == "" {
		return true
	}
	a, errA := strconv.ParseUint(id, 10, 64)
	b, errB := strconv.ParseUint(last, 10, 64)
	if errA != nil || errB != nil {
		return id != last
	}
	return a > b
}
