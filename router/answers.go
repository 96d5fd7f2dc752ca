package router

import (
	"io"
	"net/http"
	"strconv"
	"time"
)

// retryAfterFull is when a request may come back that no host had a place for.
const retryAfterFull = 150 * time.Millisecond

// refuseBeyondLimit promises that a request beyond its tenant's limit has not run.
func (x *exchange) refuseBeyondLimit(wait time.Duration) {
	x.setRetryAfter(wait)
	x.answer(groundOverLimit, http.StatusTooManyRequests, "limit used up")
}

// giveUp gives the final answer to a request that no host has answered: a promise where it can't have run.
func (x *exchange) giveUp() {
	if !x.mayRun {
		x.charge.Return()
		if x.limited {
			x.refuseBeyondLimit(retryAfterFull)
			return
		}
		g := groundNoHost
		if x.sent > 0 {
			g = groundNoBudget
		}
		x.refuse(g, retryAfterFull)
		return
	}
	if !time.Now().Before(x.deadline) {
		x.answer(groundDeadline, http.StatusGatewayTimeout, "no answer in time")
		return
	}
	x.answer(groundHostFailed, http.StatusBadGateway, "no answer from a host")
}

// refuse promises that the request has not run and says when to come back.
func (x *exchange) refuse(g ground, after time.Duration) {
	x.setRetryAfter(after)
	x.answer(g, http.StatusServiceUnavailable, "not run, come back")
}

func (x *exchange) setRetryAfter(after time.Duration) {
	x.w.Header().Set(retryAfterHeader, strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
}

// answer ends the request with an answer of this router's own.
func (x *exchange) answer(g ground, status int, text string) {
	x.router.decisions.ended[g].Inc()
	header := x.w.Header()
	header.Set(contentTypeHeader, "text/plain; charset=utf-8")
	header.Set("Content-Length", strconv.Itoa(len(text)))
	x.w.WriteHeader(status)
	_, _ = io.WriteString(x.w, text)
}
