package router

import (
	"io"
	"net/http"
	"strconv"
	"time"
)

// retryAfterNoHost is the Retry-After time of a request for which no host had capacity.
const retryAfterNoHost = 150 * time.Millisecond

// respondOverLimit rejects a request that exceeds its tenant's limit. The response guarantees that the request has
// not run.
func (x *exchange) respondOverLimit(retryAfter time.Duration) {
	x.setRetryAfter(retryAfter)
	x.respond(reasonOverLimit, http.StatusTooManyRequests, "limit used up")
}

// respondFailure sends the final response to a request that no host has answered. If the request cannot have run, the
// response guarantees that it has not.
func (x *exchange) respondFailure() {
	if !x.mayHaveRun {
		x.charge.Return()
		if x.limitExhausted {
			x.respondOverLimit(retryAfterNoHost)
			return
		}
		reason := reasonNoHost
		if x.sendCount > 0 {
			reason = reasonNotRetried
		}
		x.respondUnavailable(reason, retryAfterNoHost)
		return
	}
	if !time.Now().Before(x.deadline) {
		x.respond(reasonDeadline, http.StatusGatewayTimeout, "no answer in time")
		return
	}
	x.respond(reasonHostFailed, http.StatusBadGateway, "no answer from a host")
}

// respondUnavailable rejects the request with a Retry-After time. The response guarantees that the request has not
// run.
func (x *exchange) respondUnavailable(reason endReason, retryAfter time.Duration) {
	x.setRetryAfter(retryAfter)
	x.respond(reason, http.StatusServiceUnavailable, "not run, come back")
}

func (x *exchange) setRetryAfter(retryAfter time.Duration) {
	x.w.Header().Set(retryAfterHeader, strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
}

// respond ends the request with a response of the router itself.
func (x *exchange) respond(reason endReason, status int, text string) {
	x.router.metrics.ended[reason].Inc()
	header := x.w.Header()
	header.Set(contentTypeHeader, "text/plain; charset=utf-8")
	header.Set("Content-Length", strconv.Itoa(len(text)))
	x.w.WriteHeader(status)
	_, _ = io.WriteString(x.w, text)
}
