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
	defaultDeadline      = 30 * time.Second
	minStartupRetryAfter = 250 * time.Millisecond
	startupWait          = 80 * time.Millisecond
	// typicalStartupTime is the time until a router has its configuration and hosts, also when the whole fleet starts.
	typicalStartupTime  = 1200 * time.Millisecond
	defaultMaxBodyBytes = 4 << 20
	bodyReadTimeout     = 10 * time.Second
	// responseReserve is the part of the deadline that is kept for sending the response back to the client.
	responseReserve = 20 * time.Millisecond
)

// awaitServing waits briefly for the configuration and hosts of a router that has just started: they usually arrive
// within that time.
func (r *Router) awaitServing(ctx context.Context) {
	if r.isServing() {
		return
	}
	timer := time.NewTimer(startupWait)
	defer timer.Stop()
	select {
	case <-r.serving:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// admit checks the request against the configuration, reads its body and charges its tenant's limit. It reports false
// if it has responded to the client itself.
func (x *exchange) admit() bool {
	if x.table == nil || !x.router.isServing() {
		x.respondUnavailable(reasonStarting, max(minStartupRetryAfter, typicalStartupTime-x.router.now()))
		return false
	}
	if x.route = x.table.Route(x.req.Host, x.req.URL.Path); x.route == nil {
		x.respond(reasonNoRoute, http.StatusNotFound, "no such route")
		return false
	}
	if x.table.NeedsKey(x.route) {
		if x.tenant = x.table.Tenant(x.req.Header.Get(authorizationHeader)); x.tenant == nil {
			x.respond(reasonUnknownKey, http.StatusUnauthorized, "unknown key")
			return false
		}
	}
	x.serviceName = x.table.Service(x.route, rand.Float64())
	x.service = x.router.service(x.serviceName)
	if x.service == nil {
		x.respondUnavailable(reasonNoService, retryAfterNoHost)
		return false
	}
	x.promptKey, x.sharedTokens = parsePrefixHash(x.req.Header.Get(prefixHashHeader))
	x.promptTokens, _, _ = limit.ParseTokenUsage(x.req.Header.Get(tokenUsageHeader))
	timeout := defaultDeadline
	if ms, err := strconv.ParseFloat(x.req.Header.Get(deadlineHeader), 64); err == nil && ms > 0 {
		timeout = min(timeout, time.Duration(ms*float64(time.Millisecond)))
	}
	timeout = min(timeout, time.Duration(x.route.TimeoutMS*float64(time.Millisecond)))
	x.deadline = x.arrivedAt.Add(timeout - responseReserve)
	return x.readBody() && x.chargeLimit()
}

// chargeLimit charges the request against its tenant's limit. It reports false if it has responded to the client
// itself.
func (x *exchange) chargeLimit() bool {
	if x.tenant == nil || x.tenant.RatePerS <= 0 {
		return true
	}
	cost := limit.Cost(x.tenant, x.req.Header.Get(tokenUsageHeader))
	charge, wait := x.router.limiter.Take(x.req.Context(), x.tenant, cost)
	if charge == nil {
		x.respondOverLimit(wait)
		return false
	}
	x.charge = charge
	return true
}

func (x *exchange) readBody() bool {
	maxBytes := x.table.Limits.MaxBodyBytes
	if maxBytes <= 0 {
		maxBytes = defaultMaxBodyBytes
	}
	control := http.NewResponseController(x.w)
	_ = control.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.req.Body, maxBytes))
	_ = control.SetReadDeadline(time.Time{})
	if err == nil {
		x.body = body
		return true
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		x.respond(reasonBody, http.StatusRequestEntityTooLarge, "body too large")
		return false
	}
	x.w.Header().Set("Connection", "close")
	x.respond(reasonBody, http.StatusBadRequest, "body not read whole")
	return false
}

// parsePrefixHash returns the key of the last prompt part that is shared with other requests, so that requests with
// the same shared prompt are sent to the same host, and the number of tokens in all shared parts. The last part of
// the header belongs to the request alone, unless it is the only one.
func parsePrefixHash(header string) (key string, shared float64) {
	parts := strings.Split(header, ",")
	last := len(parts) - 1
	for i, part := range parts {
		id, size, _ := strings.Cut(strings.TrimSpace(part), ":")
		if i < last || last == 0 {
			key = id
		}
		if tokens, err := strconv.ParseUint(size, 10, 53); err == nil && i < last {
			shared += float64(tokens)
		}
	}
	return key, shared
}
