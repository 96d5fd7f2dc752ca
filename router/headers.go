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
	deadlineHeader    = "Deadline-Ms"
	tokensHeader      = "Token-Usage"
	tenantHeader      = "Tenant"
	targetHeader      = "Target-Instance"
	notRunHeader      = "Not-Executed"
	retryAfterHeader  = "Retry-After"
	prefixHeader      = "Prefix-Hash"
	priorityHeader    = "Priority"
	lastEventHeader   = "Last-Event-Id"
	contentTypeHeader = "Content-Type"
	authorization     = "Authorization"
	eventStream       = "text/event-stream"
	lowestPriority    = 9
)

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
