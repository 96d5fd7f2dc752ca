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

// mostConnects is how many connections are tried for one request before it is refused.
const mostConnects = 3

// exchange is one client's request on its way.
type exchange struct {
	router   *Router
	w        http.ResponseWriter
	in       *http.Request
	table    *table.Table
	route    *config.Route
	tenant   *config.Tenant
	backend  string // name of the service
	service  *policy.Service
	body     []byte
	key      string
	prompt   float64 // tokens
	shared   float64 // of these, tokens of parts that other requests share
	arrived  time.Time
	deadline time.Time     // of the route or the client, whichever is earlier
	tried    []string      // ids of hosts
	charge   *limit.Charge // of the tenant's limit; nil without one
	limited  bool          // the limit has nothing left for a further run
	sent     int           // hosts that it was sent to
	mayRun   bool
}

// ServeHTTP serves one request of a client.
func (r *Router) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	r.active.Add(1)
	defer r.active.Add(-1)
	if r.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	x := &exchange{router: r, w: w, in: in, arrived: time.Now()}
	r.awaitStart(in.Context())
	x.table = r.table.Load()
	if !x.admit() {
		return
	}
	x.serve()
}

// serve sends the request to hosts until one answers or nothing more may be done.
func (x *exchange) serve() {
	x.router.retries.request(x.backend)
	connects := 0
	for {
		if x.in.Context().Err() != nil {
			x.charge.Return()
			panic(http.ErrAbortHandler) // the client has gone
		}
		if !time.Now().Before(x.deadline) {
			x.giveUp()
			return
		}
		attempt, ok := x.service.Begin(x.request(), x.router.now())
		if !ok {
			x.giveUp()
			return
		}
		x.tried = append(x.tried, attempt.Host.ID)
		done, err := x.attempt(attempt)
		if done {
			return
		}
		var failure *upstream.Error
		if !errors.As(err, &failure) {
			failure = &upstream.Error{Verdict: upstream.MayHaveRun, Err: err}
		}
		if x.limited {
			x.giveUp()
			return
		}
		if failure.Verdict != upstream.MayHaveRun {
			x.charge.NotRun()
		}
		if failure.Verdict == upstream.NotSent {
			if connects++; connects >= mostConnects {
				x.giveUp()
				return
			}
			continue
		}
		x.sent++
		x.mayRun = x.mayRun || failure.Verdict == upstream.MayHaveRun
		if x.mayRun && !x.repeatable() || !x.again() {
			x.giveUp()
			return
		}
	}
}

// request is what the choice of a host needs to know.
func (x *exchange) request() policy.Request {
	return policy.Request{Key: x.key, Tokens: x.prompt, Shared: x.shared, Tried: x.tried}
}

// again says whether the request may go to one more host, and counts it if so.
func (x *exchange) again() bool {
	if x.sent >= max(1, x.route.MaxAttempts) {
		return false
	}
	return x.router.retries.spend(x.backend) || x.router.limits.TakeRepeat(x.in.Context(), x.backend)
}

// repeatable says whether the request may run more than once.
func (x *exchange) repeatable() bool {
	return x.route.Type == config.Idempotent || x.route.Type == config.Streaming && x.route.Resumable
}
