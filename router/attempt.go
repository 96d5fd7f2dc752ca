package router

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"ivybank/router/policy"
	"ivybank/router/upstream"
)

const (
	// maxBufferedResponse is the size in bytes up to which a response that is not a stream is read completely before it is
	// passed on.
	maxBufferedResponse = 1 << 20
	// maxIdleHostSilence is the silence of a host after which an idle connection does not show that the host is still there.
	maxIdleHostSilence = 500 * time.Millisecond
	// minFailureSilence is how long a host must have been silent for a timeout to count as its failure.
	minFailureSilence = time.Second
)

// errOverLimit reports that a request was not sent because its tenant's limit is exhausted.
var errOverLimit = &upstream.Error{Execution: upstream.NotSent, Err: errors.New("router: tenant limit exhausted")}

// errHostAbandoned reports that a silent host began its response just as the router had given it up for another one.
var errHostAbandoned = errors.New("router: host abandoned as its response began")

// errResponseTooLarge reports that a response that is not a stream has more than maxBufferedResponse.
var errResponseTooLarge = errors.New("router: response too large")

// tryHost sends the request to one host. It reports true once the client has its response, otherwise the error says
// why not.
func (x *exchange) tryHost(a *policy.Attempt) (bool, error) {
	outcome := policy.Withdrawn
	defer func() { x.endAttempt(a, outcome) }()
	conn, err := x.connect(a)
	if err != nil {
		if x.req.Context().Err() == nil {
			outcome = policy.Failed
		}
		x.countHostError(err)
		return false, err
	}
	if !x.useCharge() {
		conn.Close()
		return false, errOverLimit
	}
	response, err := x.awaitHeader(a, conn)
	if err != nil {
		conn.Close()
		outcome = x.failureOutcome(a)
		x.countHostError(err)
		return false, err
	}
	x.service.RecordActivity(a, x.router.now())
	if refused, isRefusal := refusalOutcome(response); isRefusal {
		outcome = refused
		x.router.pool.Drain(conn, response)
		return false, &upstream.Error{Execution: upstream.NotExecuted,
			Err: errors.New("router: host refused the request: " + response.Status)}
	}
	if response.StatusCode == http.StatusOK {
		x.service.RecordResponseStart(a, x.router.now())
		x.router.metrics.observeResponseStart(time.Since(x.arrivedAt))
	}
	if strings.HasPrefix(response.Header.Get(contentTypeHeader), eventStreamType) && response.StatusCode == http.StatusOK {
		outcome = x.stream(streamSource{a, conn, response})
		return true, nil
	}
	body, err := readBuffered(response)
	if err != nil {
		conn.Close()
		outcome = x.failureOutcome(a)
		x.countHostError(err)
		return false, &upstream.Error{Execution: upstream.MaybeExecuted, Err: err}
	}
	outcome = policy.Served
	if response.StatusCode >= http.StatusInternalServerError {
		outcome = policy.Failed
	}
	x.router.pool.Put(conn, response)
	x.respondBuffered(response, body)
	return true, nil
}

// awaitHeader sends the request over a connection and returns the response once its header has come.
func (x *exchange) awaitHeader(a *policy.Attempt, conn *upstream.Conn) (*http.Response, error) {
	stopTimer := x.watchHeader(a, conn)
	response, err := conn.Do(x.hostRequest(a), x.deadline)
	if !stopTimer() && err == nil {
		// The silence timer closes the connection, possibly only now, so the rest of the response would be lost.
		err = &upstream.Error{Execution: upstream.MaybeExecuted, Err: errHostAbandoned}
	}
	return response, err
}

// refusalOutcome returns the outcome of an attempt whose host says that it has not run the request. It reports false for
// any other response.
func refusalOutcome(response *http.Response) (policy.Outcome, bool) {
	if response.StatusCode == http.StatusMisdirectedRequest {
		return policy.Misplaced, true
	}
	return policy.Refused, response.Header.Get(notExecutedHeader) != ""
}

// readBuffered reads the body of a response that is not a stream.
func readBuffered(response *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBufferedResponse+1))
	if err == nil && len(body) > maxBufferedResponse {
		err = errResponseTooLarge
	}
	return body, err
}

// respondBuffered passes a complete response of a host on to the client.
func (x *exchange) respondBuffered(response *http.Response, body []byte) {
	x.copyHeader(response)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(response.StatusCode)
	_, _ = x.w.Write(body) // a write error means that the client has disconnected
}

// endAttempt records and counts the outcome of an attempt.
func (x *exchange) endAttempt(a *policy.Attempt, outcome policy.Outcome) {
	if x.service.End(a, outcome, x.router.now()) {
		x.router.metrics.attempts[outcome].Inc()
	}
}

// useCharge is called right before each send. It reports false if the tenant's limit does not allow the run.
func (x *exchange) useCharge() bool {
	x.limitExhausted = !x.charge.Use(x.req.Context())
	return !x.limitExhausted
}

// connect returns a connection to the host of an attempt. A request that may not run again on another host uses an
// idle connection only if the host was active recently; otherwise it would be lost on a host that is no longer
// reachable.
func (x *exchange) connect(a *policy.Attempt) (*upstream.Conn, error) {
	if !x.isRetryable() && !x.service.ActiveWithin(a, maxIdleHostSilence, x.router.now()) {
		return x.router.pool.Dial(x.req.Context(), a.Host.Address)
	}
	return x.router.pool.Get(x.req.Context(), a.Host.Address)
}

// failureOutcome returns the outcome of an attempt that brought no complete response. If the client has gone, the
// attempt says nothing about the host. A timeout counts against the host only if it sent nothing at all to this
// router for some time: an overloaded host still answers other requests, and an attempt that was started late leaves
// no host enough time.
func (x *exchange) failureOutcome(a *policy.Attempt) policy.Outcome {
	if x.req.Context().Err() != nil {
		return policy.Withdrawn
	}
	timedOut := !time.Now().Before(x.deadline)
	if timedOut && x.router.now()-x.service.LastActivity(a) < minFailureSilence {
		return policy.Withdrawn
	}
	return policy.Failed
}
