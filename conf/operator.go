package conf

// This file owns the operator file: what operators set beside the platform's configuration. What a file does not name stays
// as it is without one.

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"github.com/sirupsen/logrus"
)

// OperatorFormat is what an operator file says it is.
const OperatorFormat = "ivybank/operator/1"

// Operator is an operator file.
type Operator struct {
	Format string `toml:"format"`
	Log    struct {
		Level  string `toml:"level"`  // debug, info, warning or error
		Format string `toml:"format"` // text or json
	} `toml:"log"`
	Idempotency *struct {
		Header   string   `toml:"header"`
		Folder   string   `toml:"folder"` // empty: memory alone
		Entries  int      `toml:"entries"`
		Answers  int64    `toml:"answer_bytes"`   // of all answers that are kept
		Largest  int      `toml:"largest_answer"` // bytes; of a larger one only the outcome is kept
		Waiters  int      `toml:"waiters"`        // on one key
		Longest  int      `toml:"longest_key"`
		RetryIn  Duration `toml:"retry_in"`
		RuleSets []struct {
			Name   string   `toml:"name"`
			Retain Duration `toml:"retain"`
		} `toml:"ruleset"`
	} `toml:"idempotency"`
	Fleet *Fleet `toml:"fleet"`
}

// Fleet is what operators set on proxies that hear one another.
type Fleet struct {
	Name      string   `toml:"name"`   // what all members call their fleet
	Listen    string   `toml:"listen"` // empty: where the platform's configuration says
	Peers     []string `toml:"peers"`  // one address for each place, the own one among them; empty: as the configuration says
	Me        int      `toml:"me"`     // own place among them; read with peers
	Datagrams float64  `toml:"datagrams_per_second"`
	AckWait   Duration `toml:"ack_wait"`
	Quiet     Duration `toml:"quiet"`
	Overload  *struct {
		Further float64 `toml:"further"`         // part of first dispatches
		Most    float64 `toml:"most_per_member"` // reqs a second
		Over    float64 `toml:"over_share"`      // part of its worth left to what a tenant asks past its share
	} `toml:"overload"`
	Probes *struct {
		Every   Duration `toml:"every"`
		After   Duration `toml:"take_over_after"`
		Timeout Duration `toml:"timeout"`
		Path    string   `toml:"path"`
	} `toml:"probes"`
}

// LoadOperator reads and checks one.
func LoadOperator(path string) (*Operator, error) {
	o := &Operator{}
	f, err := Load(path, o)
	if err != nil {
		return nil, err
	}
	levels := []string{"", "debug", "info", "warning", "error"}
	switch {
	case o.Format != OperatorFormat:
		return nil, f.Fault("format", "expected %q", OperatorFormat)
	case !slices.Contains(levels, o.Log.Level):
		return nil, f.Fault("log.level", "%q: expected one of %v", o.Log.Level, levels[1:])
	case !slices.Contains([]string{"", "text", "json"}, o.Log.Format):
		return nil, f.Fault("log.format", "%q: expected text or json", o.Log.Format)
	}
	if err := o.checkKeys(f); err != nil {
		return nil, err
	}
	return o, o.checkFleet(f)
}

func (o *Operator) checkKeys(f *File) error {
	k := o.Idempotency
	if k == nil {
		return nil
	}
	rules := []Rule{
		{k.Header == "" || strings.ContainsAny(k.Header, " :\t"), "header", "expected the name of a field"},
		{k.Entries <= 0, "entries", "expected a number above 0"},
		{k.Answers < 0, "answer_bytes", "expected 0 or more"},
		{k.Largest < 0 || k.Largest > 1<<16, "largest_answer", "expected 0 to 65536"},
		{k.Waiters <= 0, "waiters", "expected a number above 0"},
		{k.Longest <= 0 || k.Longest > 4096, "longest_key", "expected 1 to 4096"},
		{k.RetryIn <= 0, "retry_in", "expected a time above 0"},
		{len(k.RuleSets) == 0, "ruleset", "expected one at least"},
	}
	names := map[string]bool{}
	for i, r := range k.RuleSets {
		p := fmt.Sprintf("ruleset.%d.", i)
		rules = append(rules, Rule{r.Name == "" || names[r.Name], p + "name", "expected a name of its own"},
			Rule{r.Retain <= 0, p + "retain", "expected a time above 0"})
		names[r.Name] = true
	}
	return f.Keep("idempotency.", rules)
}

func (o *Operator) checkFleet(f *File) error {
	x := o.Fleet
	if x == nil {
		return nil
	}
	rules := []Rule{
		{x.Name == "", "name", "expected a name that all members share"},
		{x.Datagrams < 2 || x.Datagrams > 1000, "datagrams_per_second", "expected 2 to 1000"},
		{x.AckWait <= 0, "ack_wait", "expected a time above 0"},
		{x.Quiet < 3*x.AckWait, "quiet", "expected three times ack_wait at the least, or the living are taken for dead"},
		{len(x.Peers) > 0 && (x.Me < 0 || x.Me >= len(x.Peers)), "me", "expected a place among peers, from 0"},
		{(x.Listen == "") != (len(x.Peers) == 0), "listen", "expected with peers, and only then"},
	}
	if x.Listen != "" {
		_, err := netip.ParseAddrPort(x.Listen)
		rules = append(rules, Rule{err != nil, "listen", "expected address:port"})
	}
	for i, a := range x.Peers {
		_, err := netip.ParseAddrPort(a)
		rules = append(rules, Rule{err != nil, "peers", fmt.Sprintf("the one at %d: expected address:port", i)})
	}
	if v := x.Overload; v != nil {
		rules = append(rules, Rule{v.Further < 0 || v.Further > 1, "overload.further", "expected a part from 0 to 1"},
			Rule{v.Most <= 0, "overload.most_per_member", "expected a number above 0"},
			Rule{v.Over < 0 || v.Over > 1, "overload.over_share", "expected a part from 0 to 1"})
	}
	if v := x.Probes; v != nil {
		rules = append(rules, Rule{v.Every < Duration(50e6), "probes.every", "expected 50ms at the least"},
			Rule{v.After < 2*v.Every, "probes.take_over_after", "expected two times every at the least, or several probe at once"},
			Rule{v.Timeout <= 0, "probes.timeout", "expected a time above 0"},
			Rule{!strings.HasPrefix(v.Path, "/"), "probes.path", "expected a path such as \"/ping\""})
	}
	return f.Keep("fleet.", rules)
}

// Apply puts it in force.
func (o *Operator) Apply() {
	if level, err := logrus.ParseLevel(o.Log.Level); err == nil && o.Log.Level != "" {
		logrus.SetLevel(level)
	}
	if o.Log.Format == "json" {
		logrus.SetFormatter(&logrus.JSONFormatter{})
	}
}
