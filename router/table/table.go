// Package table compiles a configuration into the lookup tables that a router uses for each request. A Table is
// immutable.
package table

import (
	"fmt"
	"net"
	"slices"
	"strings"

	"ivybank/config"
)

// Table is one revision of the configuration, prepared for lookups.
type Table struct {
	Revision     int64
	Limits       config.Limits
	Services     map[string]*config.Service
	routes       map[string][]*config.Route // by lower-case host name, longest path prefix first
	tenantsByKey map[string]*config.Tenant  // by API key
	hasTenants   bool
}

// Compile builds the table of a configuration.
func Compile(c *config.Config) *Table {
	t := &Table{Revision: c.Revision, Limits: c.Limits, Services: map[string]*config.Service{},
		routes: map[string][]*config.Route{}, tenantsByKey: map[string]*config.Tenant{}, hasTenants: len(c.Tenants) > 0}
	for i := range c.Services {
		t.Services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Routes {
		host := strings.ToLower(c.Routes[i].Hostname)
		t.routes[host] = append(t.routes[host], &c.Routes[i])
	}
	for _, routes := range t.routes {
		slices.SortFunc(routes, func(a, b *config.Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	for i := range c.Tenants {
		for _, key := range c.Tenants[i].APIKeys {
			t.tenantsByKey[key] = &c.Tenants[i]
		}
	}
	return t
}

// Route returns the route for a Host header and path; nil if none matches.
func (t *Table) Route(host, path string) *config.Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range t.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Service chooses the service for a request on a route, by the weights of its traffic split. random is between 0 and
// 1.
func (t *Table) Service(r *config.Route, random float64) string {
	if len(r.TrafficSplits) == 0 {
		return r.Backend
	}
	sum := 0.0
	for _, s := range r.TrafficSplits {
		sum += s.Weight
	}
	remaining := random * sum
	for _, s := range r.TrafficSplits {
		if remaining < s.Weight {
			return s.Backend
		}
		remaining -= s.Weight
	}
	return r.TrafficSplits[len(r.TrafficSplits)-1].Backend
}

// NeedsKey reports whether requests on a route must carry an API key.
func (t *Table) NeedsKey(r *config.Route) bool { return t.hasTenants && !r.Public }

// Tenant returns the tenant whose API key is in an Authorization header; nil if the key is unknown.
func (t *Table) Tenant(authorization string) *config.Tenant {
	scheme, key, ok := strings.Cut(strings.TrimSpace(authorization), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return nil
	}
	return t.tenantsByKey[strings.TrimSpace(key)]
}

// String returns the revision.
func (t *Table) String() string { return fmt.Sprintf("revision %d", t.Revision) }
