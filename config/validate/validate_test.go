package validate

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"
)

func validConfig() map[string]any {
	route := func(prefix string) map[string]any {
		return map[string]any{"name": "r" + prefix, "hostname": "a.example", "path_prefix": prefix, "route_type": "streaming",
			"timeout_ms": 12000, "target_ms": 500, "priority": 0, "backend": "one", "max_attempts": 2, "public": false,
			"sticky": true, "resumable": true, "gap_aim_ms": 600}
	}
	return map[string]any{
		"revision": 7,
		"routes":   []any{route("/a/"), route("/b/")},
		"services": []any{
			map[string]any{"name": "one", "health_path": "/health", "max_conns": 360, "protocol": "h1", "tls": false,
				"engine": map[string]any{"slots": 64, "kv_tokens": 432396}},
			map[string]any{"name": "two"}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000},
		"tenants": []any{
			map[string]any{"name": "t", "api_keys": []any{"k1", "k2"}, "priority": 1, "unit": "token_count", "rate_per_s": 170347},
			map[string]any{"name": "u", "api_keys": []any{"k3"}}},
	}
}

func parse(t *testing.T, v *Validator, c map[string]any) error {
	t.Helper()
	body, err := json.Marshal(c)
	assert.NilError(t, err)
	_, err = v.Parse(body)
	return err
}

func TestValidConfiguration(t *testing.T) {
	v := &Validator{}
	for range checksPerContext + 1 {
		assert.NilError(t, parse(t, v, validConfig()))
	}
}

func TestInvalidConfigurations(t *testing.T) {
	routeOf := func(c map[string]any) map[string]any { return c["routes"].([]any)[1].(map[string]any) }
	tenantOf := func(c map[string]any) map[string]any { return c["tenants"].([]any)[1].(map[string]any) }
	for name, c := range map[string]struct {
		modify  func(c map[string]any)
		wantErr string
	}{
		"no revision":          {func(c map[string]any) { delete(c, "revision") }, "revision"},
		"revision 0":           {func(c map[string]any) { c["revision"] = 0 }, "revision"},
		"unknown service":      {func(c map[string]any) { routeOf(c)["backend"] = "three" }, `unknown service "three"`},
		"no service":           {func(c map[string]any) { delete(routeOf(c), "backend") }, "unknown service"},
		"same host and prefix": {func(c map[string]any) { routeOf(c)["path_prefix"] = "/a/" }, "shares host and prefix"},
		"same host and prefix in capitals": {func(c map[string]any) {
			routeOf(c)["path_prefix"], routeOf(c)["hostname"] = "/a/", "A.example"
		}, "shares host and prefix"},
		"no weight": {func(c map[string]any) {
			routeOf(c)["traffic_split"] = []any{map[string]any{"backend": "one", "weight": 0}}
		}, "weights add up to 0"},
		"weight below 0": {func(c map[string]any) {
			routeOf(c)["traffic_split"] = []any{map[string]any{"backend": "one", "weight": -1}}
		}, "weight"},
		"unknown service in a split": {func(c map[string]any) {
			routeOf(c)["traffic_split"] = []any{map[string]any{"backend": "three", "weight": 1}}
		}, `unknown service "three"`},
		"no timeout":                    {func(c map[string]any) { routeOf(c)["timeout_ms"] = 0 }, "timeout_ms"},
		"text for a number":             {func(c map[string]any) { routeOf(c)["timeout_ms"] = "4 s" }, "timeout_ms"},
		"unknown type":                  {func(c map[string]any) { routeOf(c)["route_type"] = "other" }, "route_type"},
		"prefix without trailing slash": {func(c map[string]any) { routeOf(c)["path_prefix"] = "/a" }, "path_prefix"},
		"shared key":                    {func(c map[string]any) { tenantOf(c)["api_keys"] = []any{"k1"} }, "share a key"},
		"same tenant":                   {func(c map[string]any) { tenantOf(c)["name"] = "t" }, "stands twice"},
		"routes are not a list":         {func(c map[string]any) { c["routes"] = "none" }, "routes"},
	} {
		t.Run(name, func(t *testing.T) {
			invalid := validConfig()
			c.modify(invalid)
			assert.ErrorContains(t, parse(t, &Validator{}, invalid), c.wantErr)
		})
	}
}

func TestMalformedConfigurations(t *testing.T) {
	body, err := json.Marshal(validConfig())
	assert.NilError(t, err)
	v := &Validator{}
	for length := range len(body) {
		_, err := v.Parse(body[:length])
		assert.Assert(t, err != nil, "the first %d bytes are accepted", length)
	}
	for _, text := range []string{"", "null", "[]", "{}", "7", string(body) + "x", string(body) + string(body)} {
		_, err := v.Parse([]byte(text))
		assert.Assert(t, err != nil, "%q is accepted", text)
	}
}
