package router

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"ivybank/config"
	"ivybank/router/limit"
	"ivybank/router/policy"
	"ivybank/router/table"
	"ivybank/router/upstream"
)

const (
	deadlineHeader    = "Deadline-Ms"
	tokensHeader      = "Token-Usage"
	tenantHeader      = "Tenant"
	targetHeader      = "Target-Instance"
	notRunHeader      = "Not-Executed"
	retryAfterHeader  = "Retry-After"
	prefixHeader      = "Prefix-Hash"
	priorityHeader    = "Priority"
	lastEventHeader   = "Last-Event-Id"
	authorization     = "Authorization"
	lowestPriority    = 9
	defaultDeadline   = 30 * time.Second
	mostConnects      = 3 // connections that are tried for one request before it is refused
	retryAfterFull    = 150 * time.Millisecond
	retryAfterStart   = 250 * time.Millisecond
	startPatience     = 80 * time.Millisecond
	usualStart        = 1200 * time.Millisecond // until a router has all it needs, also where the whole fleet starts
	largestBuffered   = 1 << 20                 // bytes of an answer that is checked whole before it is passed on
	defaultBodyBytes  = 4 << 20
	bodyReadTimeout   = 10 * time.Second
	trustedSilence    = 500 * time.Millisecond // of a host, after which a connection at rest says nothing of it
	blamedSilence     = time.Second            // of a host, before a time-out counts as its failure
	finishReserve     = 20 * time.Millisecond  // of the deadline, for the answer's way back
	eventStream       = "text/event-stream"
	contentTypeHeader = "Content-Type"
)

// errBeyondLimit says that a request was not sent, as its tenant's limit has nothing left for it.
var errBeyondLimit = &upstream.Error{Verdict: upstream.NotSent, Err: errors.New("router: beyond the tenant's limit")}

// errGivenUp says that a silent host began its answer just as another one was to be tried.
var errGivenUp = errors.New("router: the host was given up as its answer began")

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

// awaitStart waits a moment for what a router needs that has just started, as most of the time it comes at once.
func (r *Router) awaitStart(ctx context.Context) {
	if r.isServing() {
		return
	}
	patience := time.NewTimer(startPatience)
	defer patience.Stop()
	select {
	case <-r.serving:
	case <-patience.C:
	case <-ctx.Done():
	}
}

// admit checks the request against the configuration and reads its body. It reports false once it has answered.
func (x *exchange) admit() bool {
	if x.table == nil || !x.router.isServing() {
		x.refuse(groundStarting, max(retryAfterStart, usualStart-x.router.now()))
		return false
	}
	if x.route = x.table.Route(x.in.Host, x.in.URL.Path); x.route == nil {
		x.answer(groundNoRoute, http.StatusNotFound, "no such route")
		return false
	}
	if x.table.NeedsKey(x.route) {
		if x.tenant = x.table.Tenant(x.in.Header.Get(authorization)); x.tenant == nil {
			x.answer(groundUnknownKey, http.StatusUnauthorized, "unknown key")
			return false
		}
	}
	x.backend = x.table.Service(x.route, rand.Float64())
	x.service = x.router.service(x.backend)
	if x.service == nil {
		x.refuse(groundNoService, retryAfterFull)
		return false
	}
	x.key, x.shared = promptKey(x.in.Header.Get(prefixHeader))
	x.prompt, _, _ = limit.Tokens(x.in.Header.Get(tokensHeader))
	patience := defaultDeadline
	if ms, err := strconv.ParseFloat(x.in.Header.Get(deadlineHeader), 64); err == nil && ms > 0 {
		patience = min(patience, time.Duration(ms*float64(time.Millisecond)))
	}
	patience = min(patience, time.Duration(x.route.TimeoutMS*float64(time.Millisecond)))
	x.deadline = x.arrived.Add(patience - finishReserve)
	return x.readBody() && x.withinLimit()
}

// withinLimit charges the request against its tenant's limit.
func (x *exchange) withinLimit() bool {
	if x.tenant == nil || x.tenant.RatePerS <= 0 {
		return true
	}
	cost := limit.Cost(x.tenant, x.in.Header.Get(tokensHeader))
	charge, wait := x.router.limits.Take(x.in.Context(), x.tenant, cost)
	if charge == nil {
		x.refuseBeyondLimit(wait)
		return false
	}
	x.charge = charge
	return true
}

// refuseBeyondLimit promises that a request beyond its tenant's limit has not run.
func (x *exchange) refuseBeyondLimit(wait time.Duration) {
	x.setRetryAfter(wait)
	x.answer(groundOverLimit, http.StatusTooManyRequests, "limit used up")
}

func (x *exchange) readBody() bool {
	most := x.table.Limits.MaxBodyBytes
	if most <= 0 {
		most = defaultBodyBytes
	}
	control := http.NewResponseController(x.w)
	_ = control.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.in.Body, most))
	_ = control.SetReadDeadline(time.Time{})
	if err == nil {
		x.body = body
		return true
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		x.answer(groundBody, http.StatusRequestEntityTooLarge, "body too large")
		return false
	}
	x.w.Header().Set("Connection", "close")
	x.answer(groundBody, http.StatusBadRequest, "body not read whole")
	return false
}

// promptKey gives the key by which requests with the same shared prompt meet at one host: the last part that is shared; and
// the tokens of all that are. The last part of all belongs to the request itself.
func promptKey(header string) (key string, shared float64) {
	parts := strings.Split(header, ",")
	own := len(parts) - 1
	for i, part := range parts {
		id, size, _ := strings.Cut(strings.TrimSpace(part), ":")
		if i < own || own == 0 {
			key = id
		}
		if tokens, err := strconv.ParseUint(size, 10, 53); err == nil && i < own {
			shared += float64(tokens)
		}
	}
	return key, shared
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

// hopHeaders concern one connection only.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Expect"}

func dropHopHeaders(h http.Header) {
	for _, line := range h["Connection"] {
		for _, name := range strings.Split(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// outgoing makes the request as one host gets it.
func (x *exchange) outgoing(a *policy.Attempt) *upstream.Request {
	header := x.in.Header.Clone()
	dropHopHeaders(header)
	header.Del(authorization)
	header.Del(tenantHeader)
	priority := x.route.Priority
	if x.tenant != nil {
		header.Set(tenantHeader, x.tenant.Name)
		if x.tenant.Priority != nil {
			priority = *x.tenant.Priority
		}
	}
	header.Set(targetHeader, a.Host.ID)
	header.Set(deadlineHeader, strconv.FormatInt(max(1, time.Until(x.deadline).Milliseconds()), 10))
	header.Set(priorityHeader, strconv.Itoa(min(max(0, priority), lowestPriority)))
	return &upstream.Request{Method: x.in.Method, Target: x.in.RequestURI, Host: x.in.Host, Header: header, Body: x.body}
}

// copyHead hands a host's headers on.
func (x *exchange) copyHead(answer *http.Response) {
	header := x.w.Header()
	dropHopHeaders(answer.Header)
	for name, values := range answer.Header {
		header[name] = values
	}
	if _, told := answer.Header[contentTypeHeader]; !told {
		header[contentTypeHeader] = nil // else the server would guess one
	}
	if x.router.stopping.Load() {
		header.Set("Connection", "close")
	}
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
