package router

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"ivybank/router/policy"
	"ivybank/router/upstream"
)

const (
	deadlineHeader       = "Deadline-Ms"
	tokenUsageHeader     = "Token-Usage"
	tenantHeader         = "Tenant"
	targetInstanceHeader = "Target-Instance"
	notExecutedHeader    = "Not-Executed"
	retryAfterHeader     = "Retry-After"
	prefixHashHeader     = "Prefix-Hash"
	priorityHeader       = "Priority"
	lastEventIDHeader    = "Last-Event-Id"
	contentTypeHeader    = "Content-Type"
	authorizationHeader  = "Authorization"
	eventStreamType      = "text/event-stream"
	lowestPriority       = 9
)

// hopByHopHeaders apply to one connection only and are not forwarded.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Expect"}

func removeHopByHopHeaders(h http.Header) {
	for _, value := range h["Connection"] {
		for _, name := range strings.Split(value, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

// hostRequest returns the request in the form in which it is sent to the host of an attempt.
func (x *exchange) hostRequest(a *policy.Attempt) *upstream.Request {
	header := x.req.Header.Clone()
	removeHopByHopHeaders(header)
	header.Del(authorizationHeader)
	header.Del(tenantHeader)
	priority := x.route.Priority
	if x.tenant != nil {
		header.Set(tenantHeader, x.tenant.Name)
		if x.tenant.Priority != nil {
			priority = *x.tenant.Priority
		}
	}
	header.Set(targetInstanceHeader, a.Host.ID)
	header.Set(deadlineHeader, strconv.FormatInt(max(1, time.Until(x.deadline).Milliseconds()), 10))
	header.Set(priorityHeader, strconv.Itoa(min(max(0, priority), lowestPriority)))
	return &upstream.Request{Method: x.req.Method, Target: x.req.RequestURI, Host: x.req.Host, Header: header, Body: x.body}
}

// copyHeader copies the headers of a host's response to the response for the client.
func (x *exchange) copyHeader(response *http.Response) {
	header := x.w.Header()
	removeHopByHopHeaders(response.Header)
	for name, values := range response.Header {
		header[name] = values
	}
	if _, present := response.Header[contentTypeHeader]; !present {
		header[contentTypeHeader] = nil // otherwise net/http would guess a type
	}
	if x.router.stopping.Load() {
		header.Set("Connection", "close")
	}
}
