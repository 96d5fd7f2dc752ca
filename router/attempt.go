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
	largestBuffered = 1 << 20                // bytes of an answer that is checked whole before it is passed on
	trustedSilence  = 500 * time.Millisecond // of a host, after which a connection at rest says nothing of it
	blamedSilence   = time.Second            // of a host, before a time-out counts as its failure
)

// errBeyondLimit says that a request was not sent, as its tenant's limit has nothing left for it.
var errBeyondLimit = &upstream.Error{Verdict: upstream.NotSent, Err: errors.New("router: beyond the tenant's limit")}

// errGivenUp says that a silent host began its answer just as another one was to be tried.
var errGivenUp = errors.New("router: the host was given up as its answer began")

// attempt sends the request to one host. It reports true once the client has its answer; else the error says why not.
func (x *exchange) attempt(a *policy.Attempt) (bool, error) {
	outcome := policy.Withdrawn
	defer func() { x.end(a, outcome) }()
	conn, err := x.connect(a)
	if err != nil {
		if x.in.Context().Err() == nil {
			outcome = policy.Failed
		}
		return false, err
	}
	if !x.useCharge() {
		conn.Close()
		return false, errBeyondLimit
	}
	stopWatch := x.watchHead(a, conn)
	answer, err := conn.Do(x.outgoing(a), x.deadline)
	if !stopWatch() && err == nil {
		// The watch is closing the connection, perhaps only now: the rest of the answer would not come.
		err = &upstream.Error{Verdict: upstream.MayHaveRun, Err: errGivenUp}
	}
	if err != nil {
		conn.Close()
		outcome = x.blame(a)
		return false, err
	}
	x.service.Heard(a, x.router.now())
	if answer.Header.Get(notRunHeader) != "" || answer.StatusCode == http.StatusMisdirectedRequest {
		outcome = policy.Refused
		if answer.StatusCode == http.StatusMisdirectedRequest {
			outcome = policy.Misplaced
		}
		if _, err := io.CopyN(io.Discard, answer.Body, largestBuffered); errors.Is(err, io.EOF) {
			x.router.pool.Put(conn, answer)
		} else {
			conn.Close()
		}
		return false, &upstream.Error{Verdict: upstream.NotRun, Err: errors.New("refused by the host: " + answer.Status)}
	}
	if answer.StatusCode == http.StatusOK {
		x.service.Began(a, x.router.now())
		x.router.decisions.began(time.Since(x.arrived))
	}
	if strings.HasPrefix(answer.Header.Get(contentTypeHeader), eventStream) && answer.StatusCode == http.StatusOK {
		outcome = x.stream(source{a, conn, answer})
		return true, nil
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, largestBuffered+1))
	if err != nil || len(body) > largestBuffered {
		conn.Close()
		outcome = x.blame(a)
		return false, &upstream.Error{Verdict: upstream.MayHaveRun, Err: upstream.ErrSpoilt}
	}
	outcome = policy.Served
	if answer.StatusCode >= http.StatusInternalServerError {
		outcome = policy.Failed
	}
	x.router.pool.Put(conn, answer)
	x.copyHead(answer)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(answer.StatusCode)
	_, _ = x.w.Write(body)
	return true, nil
}

// end takes and counts the outcome of an attempt.
func (x *exchange) end(a *policy.Attempt, outcome policy.Outcome) {
	if x.service.End(a, outcome, x.router.now()) {
		x.router.decisions.attempts[outcome].Inc()
	}
}

// useCharge is called right before each send, and reports false where the tenant's limit doesn't allow it.
func (x *exchange) useCharge() bool {
	x.limited = !x.charge.Use(x.in.Context())
	return !x.limited
}

// connect gives a connection to an attempt's host. A request that may not run again elsewhere goes over one at rest only
// if the host was heard of lately: else a host that has gone dark would swallow it.
func (x *exchange) connect(a *policy.Attempt) (*upstream.Conn, error) {
	if !x.repeatable() && !x.service.HeardWithin(a, trustedSilence, x.router.now()) {
		return x.router.pool.Dial(x.in.Context(), a.Host.Address)
	}
	return x.router.pool.Get(x.in.Context(), a.Host.Address)
}

// blame says how an attempt that brought no whole answer speaks of its host. A client that has left says nothing; a
// time-out blames only a host that was silent for long enough towards this router altogether: a crowded one answers
// others, and a try that came late leaves no host a chance.
func (x *exchange) blame(a *policy.Attempt) policy.Outcome {
	if x.in.Context().Err() != nil {
		return policy.Withdrawn
	}
	timedOut := !time.Now().Before(x.deadline)
	if timedOut && x.router.now()-x.service.SilentSince(a) < blamedSilence {
		return policy.Withdrawn
	}
	return policy.Failed
}
