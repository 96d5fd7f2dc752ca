package conf

import (
	"strings"
	"testing"
)

func TestLimitsTable(t *testing.T) {
	valid := `format = "ivybank/operator/1"
[fleet]
name = "a"
listen = "127.0.0.1:1"
peers = ["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"]
[fleet.limits]
voters = 3
drift = 200
[[fleet.limits.limit]]
name = "web"
kind = "rate"
amount = 40.0
burst = "250ms"
mode = "bounded"
floor = 4.0
lease = "2s"
[[fleet.limits.limit]]
name = "open"
tenant = "acme"
kind = "in_flight"
amount = 30.0
mode = "strict"
lease = "3s"
`
	check := func(text string) (*OperatorConfig, error) {
		o := &OperatorConfig{}
		f, err := Read("o.toml", []byte(text), o)
		if err != nil {
			return nil, err
		}
		return o, o.checkLimits(f)
	}
	o, err := check(valid)
	if err != nil {
		t.Fatal(err)
	}
	all := o.Fleet.Limits.LeaseLimits(5e9)
	if x := all[0]; x.Units != 10 || x.Floor != 1 || x.Period != 250e6 || x.Strict || x.MaxExcess(3) != 2 {
		t.Errorf("%+v", x)
	}
	if x := all[1]; x.Units != 30 || x.MaxRequestDuration != 5e9 || !x.Strict || x.MaxExcess(3) != 0 || x.Tenant != "acme" {
		t.Errorf("%+v", x)
	}
	for i, want := range []string{"limit web: 40 a second, 10 at once, exceeded by at most 8 with 3 members",
		"limit open: 30 in flight, exceeded by at most 0 with 3 members"} {
		if got := o.Fleet.Limits.All[i].DescribeOvershoot(3); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
	for change, want := range map[string]string{
		"voters = 3 -> voters = 2":                          "o.toml:7: fleet.limits.voters: expected 1, 3",
		"voters = 3 -> voters = 5":                          "o.toml:7: fleet.limits.voters: expected no more than",
		"drift = 200 -> drift = -1":                         "o.toml:8: fleet.limits.drift",
		"name = \"open\" -> name = \"web\"":                 "o.toml:18: fleet.limits.limit.1.name: expected a unique name",
		"kind = \"rate\" -> kind = \"cost\"":                "o.toml:11: fleet.limits.limit.0.kind",
		"burst = \"250ms\"\n -> ":                           "o.toml:9: fleet.limits.limit.0.burst",
		"amount = 40.0 -> amount = 41.0":                    "o.toml:12: fleet.limits.limit.0.amount: expected a multiple of 4",
		"amount = 30.0 -> amount = 0.5":                     "o.toml:21: fleet.limits.limit.1.amount: expected a whole number",
		"mode = \"strict\" -> mode = \"lax\"":               "o.toml:22: fleet.limits.limit.1.mode",
		"floor = 4.0 -> floor = 44.0":                       "o.toml:15: fleet.limits.limit.0.floor",
		"mode = \"bounded\" -> mode = \"strict\"":           "o.toml:15: fleet.limits.limit.0.floor: requires mode bounded",
		"lease = \"3s\" -> lease = \"100ms\"":               "o.toml:23: fleet.limits.limit.1.lease",
		"tenant = \"acme\" -> server = \"s-1\"":             "o.toml:19: fleet.limits.limit.server: no such field",
		"[[fleet.limits.limit]]\nname = \"web\" -> [other]": "o.toml:9: other: no such field",
	} {
		from, to, _ := strings.Cut(change, " -> ")
		if _, err := check(strings.Replace(valid, from, to, 1)); err == nil ||
			!strings.HasPrefix(err.Error(), want) {
			t.Errorf("%s: got %v, want %s", change, err, want)
		}
	}
}
