// Package config parses and checks the operator's configuration: routes, services, limits and tenants.
package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// RouteType says whether the requests of a route may be repeated.
type RouteType string

// The route types.
const (
	Idempotent RouteType = "idempotent"
	Unsafe     RouteType = "unsafe"
	Streaming  RouteType = "streaming"
)

// TokenUnit is the unit of a tenant's limit that counts tokens; any other unit counts requests.
const TokenUnit = "token_count"

// Config is one revision of the configuration, as the operator sends it.
type Config struct {
	Revision int64     `json:"revision"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
	Tenants  []Tenant  `json:"tenants"`
}

// Route maps a host name and a path prefix to services.
type Route struct {
	Name                  string         `json:"name"`
	Hostname              string         `json:"hostname"`
	PathPrefix            string         `json:"path_prefix"`
	Type                  RouteType      `json:"route_type"`
	TimeoutMS             float64        `json:"timeout_ms"`
	FirstEventTargetMS    float64        `json:"target_ms"`
	Priority              int            `json:"priority"`
	Backend               string         `json:"backend"`
	TrafficSplits         []TrafficSplit `json:"traffic_split"`
	MaxAttempts           int            `json:"max_attempts"`
	Public                bool           `json:"public"`
	Sticky                bool           `json:"sticky"`
	Resumable             bool           `json:"resumable"`
	EventIntervalTargetMS float64        `json:"gap_aim_ms"`
}

// TrafficSplit is one service's share of a route's traffic.
type TrafficSplit struct {
	Backend string  `json:"backend"`
	Weight  float64 `json:"weight"`
}

// Service is a set of interchangeable hosts.
type Service struct {
	Name       string  `json:"name"`
	HealthPath string  `json:"health_path"`
	MaxConns   int     `json:"max_conns"`
	Protocol   string  `json:"protocol"`
	Engine     *Engine `json:"engine"`
}

// Engine describes the model hosts of a service.
type Engine struct {
	Slots    int `json:"slots"`
	KVTokens int `json:"kv_tokens"`
}

// Limits bound what clients may send. Sizes are in bytes.
type Limits struct {
	MaxHeaderBytes  int     `json:"max_header_bytes"`
	MaxBodyBytes    int64   `json:"max_body_bytes"`
	HeaderTimeoutMS float64 `json:"header_timeout_ms"`
	IdleTimeoutMS   float64 `json:"idle_timeout_ms"`
}

// Tenant is a customer with its API keys and its rate limit.
type Tenant struct {
	Name          string   `json:"name"`
	APIKeys       []string `json:"api_keys"`
	Priority      *int     `json:"priority"`
	Unit          string   `json:"unit"`
	DefaultTokens float64  `json:"plain_tokens"`
	RatePerS      float64  `json:"rate_per_s"`
	Burst         float64  `json:"burst"`
}

// Decode decodes a configuration without checking its values. Data after its end is an error.
func Decode(body []byte) (*Config, error) {
	decoder := json.NewDecoder(bytes.NewReader(body))
	c := &Config{}
	if err := decoder.Decode(c); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("configuration: more follows its end")
	}
	return c, nil
}

// Check validates a configuration and returns the first error found.
func (c *Config) Check() error {
	if c.Revision <= 0 {
		return fmt.Errorf("revision: %d is not above 0", c.Revision)
	}
	services := map[string]bool{}
	for _, s := range c.Services {
		if s.Name == "" || services[s.Name] {
			return fmt.Errorf("services: name %q is empty or stands twice", s.Name)
		}
		services[s.Name] = true
	}
	routesByPlace := map[[2]string]string{}
	for _, r := range c.Routes {
		if err := r.check(services); err != nil {
			return fmt.Errorf("route %q: %w", r.Name, err)
		}
		key := [2]string{strings.ToLower(r.Hostname), r.PathPrefix}
		if other, exists := routesByPlace[key]; exists {
			return fmt.Errorf("route %q: shares host and prefix with %q", r.Name, other)
		}
		routesByPlace[key] = r.Name
	}
	return c.checkTenants()
}

func (r *Route) check(services map[string]bool) error {
	if r.Hostname == "" || !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		return fmt.Errorf("host %q and prefix %q: a host and a prefix between slashes are needed", r.Hostname, r.PathPrefix)
	}
	if r.TimeoutMS <= 0 {
		return fmt.Errorf("timeout_ms: %v is not above 0", r.TimeoutMS)
	}
	if len(r.TrafficSplits) == 0 && !services[r.Backend] {
		return fmt.Errorf("unknown service %q", r.Backend)
	}
	sum := 0.0
	for _, s := range r.TrafficSplits {
		if !services[s.Backend] {
			return fmt.Errorf("unknown service %q", s.Backend)
		}
		if s.Weight < 0 {
			return fmt.Errorf("weight %v of %q is below 0", s.Weight, s.Backend)
		}
		sum += s.Weight
	}
	if len(r.TrafficSplits) > 0 && sum <= 0 {
		return errors.New("weights add up to 0")
	}
	return nil
}

func (c *Config) checkTenants() error {
	tenantsByKey := map[string]string{}
	names := map[string]bool{}
	for _, t := range c.Tenants {
		if t.Name == "" || names[t.Name] {
			return fmt.Errorf("tenants: name %q is empty or stands twice", t.Name)
		}
		names[t.Name] = true
		for _, key := range t.APIKeys {
			if other, exists := tenantsByKey[key]; exists {
				return fmt.Errorf("tenants %q and %q share a key", other, t.Name)
			}
			tenantsByKey[key] = t.Name
		}
	}
	return nil
}
