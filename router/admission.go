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

	"ivybank/router/limit"
)

const (
	defaultDeadline  = 30 * time.Second
	retryAfterStart  = 250 * time.Millisecond
	startPatience    = 80 * time.Millisecond
	usualStart       = 1200 * time.Millisecond // until a router has all it needs, also where the whole fleet starts
	defaultBodyBytes = 4 << 20
	bodyReadTimeout  = 10 * time.Second
	finishReserve    = 20 * time.Millisecond // of the deadline, for the answer's way back
)

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
