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
	eventBuffer  = 4 << 10
	largestEvent = 1 << 20
)

var errLargeEvent = errors.New("router: event too large")

// event is one whole event of a stream, its empty line included.
type event struct {
	bytes []byte
	id    string
}

// eventReader reads whole events.
type eventReader struct{ *bufio.Reader }

// next reads one event. At the end of the stream it gives io.EOF; an event that breaks off gives io.ErrUnexpectedEOF.
func (r eventReader) next() (event, error) {
	var e event
	for {
		line, err := r.ReadSlice('\n')
		e.bytes = append(e.bytes, line...)
		if len(e.bytes) > largestEvent {
			return e, errLargeEvent
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

// source is a host's answer that a stream is read from.
type source struct {
	attempt *policy.Attempt
	conn    *upstream.Conn
	answer  *http.Response
}

// position is the id of the newest event that the client has. It is safe for concurrent use.
type position struct {
	mu sync.Mutex
	id string
}

func (p *position) get() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.id
}

func (p *position) set(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.id = id
}

// stream passes a stream on, event by event. Where the route allows it and the host breaks off or falls silent, another
// host goes on behind the last whole event, within the same answer.
func (x *exchange) stream(from source) policy.Outcome {
	x.mayRun = true
	x.sent++
	x.copyHead(from.answer)
	x.w.WriteHeader(from.answer.StatusCode)
	_ = http.NewResponseController(x.w).Flush()
	last := &position{id: x.in.Header.Get(lastEventHeader)}
	first := from.attempt
	for {
		next := x.await(from, last)
		err := x.pass(from, last)
		successor := next.finish(err != nil)
		if err == nil {
			x.router.pool.Put(from.conn, from.answer)
			if from.attempt == first {
				return policy.Served
			}
			x.end(from.attempt, policy.Served)
			return policy.Withdrawn // the first host's outcome has been told
		}
		from.conn.Close()
		if x.in.Context().Err() != nil {
			x.drop(&from)
			if successor != nil {
				x.drop(successor)
			}
			panic(http.ErrAbortHandler)
		}
		x.end(from.attempt, x.blame(from.attempt))
		for successor == nil && !x.limited && x.repeatable() && x.again() {
			successor = x.open(last.get())
		}
		if successor == nil {
			x.router.decisions.ended[groundBroken].Inc()
			panic(http.ErrAbortHandler) // the client sees that the answer is not whole
		}
		from = *successor
	}
}

// pass copies events to the client until the stream ends, and keeps last at the newest one.
func (x *exchange) pass(from source, last *position) error {
	control := http.NewResponseController(x.w)
	reader := eventReader{bufio.NewReaderSize(from.answer.Body, eventBuffer)}
	aim := time.Duration(x.route.GapAimMS * float64(time.Millisecond))
	for {
		e, err := reader.next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if gap := x.service.Event(from.attempt, x.router.now()); aim > 0 && gap > aim {
			x.router.decisions.lateGaps.Inc()
		}
		if e.id != "" && !after(e.id, last.get()) {
			continue // an event that the client has
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

// open has one more host go on behind the last event; nil where it doesn't.
func (x *exchange) open(last string) *source {
	a, ok := x.service.Begin(x.request(), x.router.now())
	if !ok {
		return nil
	}
	x.tried = append(x.tried, a.Host.ID)
	fail := func(o policy.Outcome) *source {
		x.end(a, o)
		return nil
	}
	conn, err := x.router.pool.Get(x.in.Context(), a.Host.Address)
	if err != nil {
		return fail(policy.Failed)
	}
	if !x.useCharge() {
		conn.Close()
		return fail(policy.Withdrawn)
	}
	request := x.outgoing(a)
	if last != "" {
		request.Header.Set(lastEventHeader, last)
	}
	x.sent++
	answer, err := conn.Do(request, x.deadline)
	if err != nil {
		conn.Close()
		return fail(x.blame(a))
	}
	if answer.StatusCode != http.StatusOK || !strings.HasPrefix(answer.Header.Get(contentTypeHeader), eventStream) {
		conn.Close()
		return fail(policy.Refused)
	}
	return &source{a, conn, answer}
}

// after says whether an event comes behind another in a stream; ids rise.
func after(id, last string) bool {
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
