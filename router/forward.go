package router

import (
	"errors"
	"net/http"
	"time"

	"ivybank/config"
	"ivybank/router/limit"
	"ivybank/router/policy"
	"ivybank/router/table"
	"ivybank/router/upstream"
)

// maxConnectAttempts is how many connections are tried for one request before it is rejected.
const maxConnectAttempts = 3

// exchange is one client request while the router handles it.
type exchange struct {
	router         *Router
	w              http.ResponseWriter
	req            *http.Request
	table          *table.Table
	route          *config.Route
	tenant         *config.Tenant
	serviceName    string
	service        *policy.Service
	body           []byte
	promptKey      string
	promptTokens   float64
	sharedTokens   float64 // part of promptTokens that is shared with other requests
	arrivedAt      time.Time
	deadline       time.Time     // of the route or the client, whichever is earlier
	triedHosts     []string      // IDs of the hosts tried so far
	charge         *limit.Charge // against the tenant's limit; nil without a limit
	limitExhausted bool          // the limit does not allow another run
	sendCount      int           // number of hosts the request was sent to
	mayHaveRun     bool          // a host may have run the request
}

// ServeHTTP handles one client request.
func (r *Router) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	r.active.Add(1)
	defer r.active.Add(-1)
	if r.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	x := &exchange{router: r, w: w, req: req, arrivedAt: time.Now()}
	r.awaitServing(req.Context())
	x.table = r.table.Load()
	if !x.admit() {
		return
	}
	x.serve()
}

// serve sends the request to hosts until one responds or no further attempt is allowed.
func (x *exchange) serve() {
	x.router.retries.addRequest(x.serviceName)
	connectAttempts := 0
	for {
		if x.req.Context().Err() != nil {
			x.charge.Return()
			panic(http.ErrAbortHandler) // the client has gone
		}
		if !time.Now().Before(x.deadline) {
			x.respondFailure()
			return
		}
		attempt, ok := x.service.Begin(x.policyRequest(), x.router.now())
		if !ok {
			x.respondFailure()
			return
		}
		x.triedHosts = append(x.triedHosts, attempt.Host.ID)
		done, err := x.tryHost(attempt)
		if done {
			return
		}
		var failure *upstream.Error
		if !errors.As(err, &failure) {
			failure = &upstream.Error{Execution: upstream.MaybeExecuted, Err: err}
		}
		if x.limitExhausted {
			x.respondFailure()
			return
		}
		if failure.Execution != upstream.MaybeExecuted {
			x.charge.MarkNotRun()
		}
		if failure.Execution == upstream.NotSent {
			if connectAttempts++; connectAttempts >= maxConnectAttempts {
				x.respondFailure()
				return
			}
			continue
		}
		x.sendCount++
		x.mayHaveRun = x.mayHaveRun || failure.Execution == upstream.MaybeExecuted
		if x.mayHaveRun && !x.isRetryable() || !x.reserveRetry() {
			x.respondFailure()
			return
		}
	}
}

// policyRequest returns the properties of the request that the choice of a host depends on.
func (x *exchange) policyRequest() policy.Request {
	return policy.Request{Key: x.promptKey, Tokens: x.promptTokens, Shared: x.sharedTokens, Tried: x.triedHosts}
}

// reserveRetry reports whether the request may go to one more host, and takes that retry from the budget.
func (x *exchange) reserveRetry() bool {
	if x.sendCount >= max(1, x.route.MaxAttempts) {
		return false
	}
	return x.router.retries.spend(x.serviceName) || x.router.limiter.TakeRetry(x.req.Context(), x.serviceName)
}

// isRetryable reports whether the request may run more than once.
func (x *exchange) isRetryable() bool {
	return x.route.Type == config.Idempotent || x.route.Type == config.Streaming && x.route.Resumable
}
