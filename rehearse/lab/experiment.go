// Package lab runs experiments against an emulated fleet: in virtual time with the decision module, or on loopback with
// the built program. It writes the results as tables and charts.
//
// This file holds the experiment file format. A file must never be accepted in part, and missing values must never be
// guessed.
package lab

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"ivybank/balance"
	"ivybank/conf"
	"ivybank/rehearse/emu"
	"ivybank/rehearse/trace"
)

// Format is the value of the format field of an experiment file.
const Format = "ivybank/experiment/1"

// Experiment is a parsed experiment file.
type Experiment struct {
	Format string        `toml:"format"`
	Name   string        `toml:"name"`
	About  string        `toml:"about"`
	Mode   string        `toml:"mode"` // virtual, sockets or processes
	Seeds  []uint64      `toml:"seeds"`
	Length conf.Duration `toml:"length"`
	Warm   conf.Duration `toml:"warm"` // warm-up at the start, left out of the figures

	Fleet struct {
		Balancers     int           `toml:"balancers"`
		Zones         []string      `toml:"zones"`
		Queue         int           `toml:"queue"`
		OneWay        conf.Duration `toml:"one_way"`
		Cross         conf.Duration `toml:"cross"`
		Told          conf.Duration `toml:"told"`
		Grace         conf.Duration `toml:"grace"`
		CacheKeys     int           `toml:"cache_keys"`
		CacheFor      conf.Duration `toml:"cache_for"`
		CacheSaves    float64       `toml:"cache_saves"`
		Ramp          conf.Duration `toml:"ramp"`
		StartCapacity float64       `toml:"start_capacity"`
		FallOver      float64       `toml:"fall_over"`
		FallAfter     conf.Duration `toml:"fall_after"`
		ReportEvery   conf.Duration `toml:"report_every"`
		Machines      []struct {
			Count int     `toml:"count"`
			Cores int     `toml:"cores"`
			Speed float64 `toml:"speed"`
			Share float64 `toml:"share"`
		} `toml:"machine"`
	} `toml:"fleet"`

	Load struct {
		Rate    float64       `toml:"rate"`   // requests per second, over all balancers
		Swing   float64       `toml:"swing"`  // fraction by which the rate is raised and lowered in turn
		Each    conf.Duration `toml:"each"`   // duration of each raised or lowered period
		Uneven  float64       `toml:"uneven"` // exponent: the n-th balancer's share is 1/n^uneven; 0: equal shares
		Keys    int           `toml:"keys"`
		Skew    float64       `toml:"skew"` // exponent: the n-th key is requested in proportion to 1/n^skew
		Work    conf.Duration `toml:"work"`
		Spread  string        `toml:"spread"` // distribution of work: fixed, uniform or exponential
		Timeout conf.Duration `toml:"timeout"`
		Retries int           `toml:"retries"`
		Wait    conf.Duration `toml:"wait"`
		Ignores bool          `toml:"ignores_advice"` // clients retry after wait and ignore Retry-After
		Key     string        `toml:"idempotent"`     // sockets: header in which all attempts of a request carry the same idempotency key
		Tenants []struct {
			Name  string  `toml:"name"`
			Share float64 `toml:"share"`
		} `toml:"tenant"`
	} `toml:"load"`

	RuleSets []struct {
		Name   string        `toml:"name"`
		Effect string        `toml:"effect"` // replayable, uniqued or non-replayable
		Group  string        `toml:"group"`  // all, zone or cell
		Window conf.Duration `toml:"window"`
		Target conf.Duration `toml:"response_target"`
		Value  float64       `toml:"value"`
		Share  float64       `toml:"share"` // relative share of the requests

		Proxies []int `toml:"proxies"` // indices of the proxies that receive its requests; empty: all
	} `toml:"ruleset"`

	Trace *Trace `toml:"trace"`

	Faults []struct {
		Kind    string        `toml:"kind"`
		At      conf.Duration `toml:"at"`
		For     conf.Duration `toml:"for"`
		Servers []string      `toml:"servers"`
		Count   int           `toml:"count"`
		Zone    string        `toml:"zone"`
		Size    float64       `toml:"size"`

		Proxies []int         `toml:"proxies"`
		Way     string        `toml:"way"`
		Loss    float64       `toml:"loss"`
		Double  float64       `toml:"double"`
		Garble  float64       `toml:"garble"`
		Delay   conf.Duration `toml:"delay"`
		Spread  conf.Duration `toml:"spread"`
	} `toml:"fault"`

	Maintenance *maintenance `toml:"maintenance"` // nil: no maintenance

	Limits string `toml:"limits"` // processes: the operator file whose limits all variants are checked against

	Variants []Variant `toml:"variant"`

	path string
}

// Variant is one of the configurations that an experiment compares.
type Variant struct {
	Name     string `toml:"name"`
	Policy   string `toml:"policy"`   // virtual only
	Operator string `toml:"operator"` // an operator file, relative to the experiment file; virtual uses only its [fleet]
	Build    string `toml:"build"`    // sockets: path of the program; empty: this program

	Maintenance string `toml:"maintenance"` // processes: plan, timer or at once; empty: no maintenance

	Others      []string `toml:"others"`       // processes: build and operator file of the last OthersCount proxies
	OthersCount int      `toml:"others_count"` // number of proxies that use Others
}

// Trace describes a load that is read from a trace file instead of being generated.
type Trace struct {
	File     string            `toml:"file"` // relative to the experiment file
	Layout   string            `toml:"layout"`
	Columns  map[string]string `toml:"columns"` // column name in the layout = column name in the file
	Speed    float64           `toml:"speed"`   // factor by which the replay is faster than the trace
	Part     float64           `toml:"part"`    // fraction of the rows to play, drawn by seed
	Work     float64           `toml:"work"`    // factor applied to the work in the trace
	LeastFor conf.Duration     `toml:"least_work"`
	MostFor  conf.Duration     `toml:"most_work"`
	RuleSets map[string]string `toml:"rulesets"` // request kind in the trace = rule set; "*" covers all others
	Problems int               `toml:"problems"` // a run stops when it meets more bad rows than this
}

var effects = map[string]balance.Effect{"replayable": balance.Replayable, "uniqued": balance.Deduplicated, "non-replayable": balance.NonReplayable}
var groups = map[string]balance.Group{"": balance.GroupAll, "all": balance.GroupAll, "zone": balance.GroupZone, "cell": balance.GroupCell}

// Load reads and checks an experiment.
func Load(path string) (*Experiment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Read(path, text)
}

// Read parses and checks the text of an experiment file; path is used in errors and to resolve the files that it names.
func Read(path string, text []byte) (*Experiment, error) {
	e := &Experiment{}
	f, err := conf.Read(path, text, e)
	if err != nil {
		return nil, err
	}
	e.path = path
	if err := e.check(f); err != nil {
		return nil, err
	}
	return e, nil
}

// check validates what the types of the fields do not.
func (e *Experiment) check(f *conf.File) error {
	rules := []conf.Rule{
		{e.Format != Format, "format", fmt.Sprintf("expected %q", Format)},
		{e.Name == "" || e.Name != filepath.Base(e.Name), "name", "expected a name that can be a folder's"},
		{!slices.Contains([]string{"virtual", "sockets", "processes"}, e.Mode), "mode", "expected virtual, sockets or processes"},
		{len(e.Seeds) == 0, "seeds", "expected one seed at least"},
		{e.Length <= 0 && e.Trace == nil, "length", "expected a time above 0"},
		{e.Warm > 0 && e.Warm >= e.Length && e.Trace == nil, "warm", "expected less than length"},
		{e.Fleet.Balancers <= 0, "fleet.balancers", "expected one at least"},
		{len(e.Fleet.Zones) == 0, "fleet.zones", "expected one at least"},
		{e.Fleet.Queue <= 0, "fleet.queue", "expected a number above 0"},
		{len(e.Fleet.Machines) == 0, "fleet.machine", "expected one at least"},
		{e.Fleet.CacheSaves < 0 || e.Fleet.CacheSaves >= 1, "fleet.cache_saves", "expected a part from 0 to below 1"},
		{e.Fleet.Ramp > 0 && (e.Fleet.StartCapacity <= 0 || e.Fleet.StartCapacity > 1), "fleet.start_capacity", "expected a part above 0 to 1"},
		{e.Load.Rate <= 0 && e.Trace == nil, "load.rate", "expected a number above 0"},
		{e.Load.Work <= 0 && e.Trace == nil, "load.work", "expected a time above 0"},
		{!slices.Contains([]string{"", "fixed", "uniform", "exponential"}, e.Load.Spread), "load.spread", "expected fixed, uniform or exponential"},
		{e.Load.Timeout <= 0, "load.timeout", "expected a time above 0"},
		{e.Load.Swing < 0 || e.Load.Swing >= 1, "load.swing", "expected a part from 0 to below 1"},
		{e.Load.Swing > 0 && e.Load.Each <= 0, "load.each", "expected a time above 0"},
		{e.Load.Retries < 0, "load.retries", "expected 0 or more"},
		{e.Load.Key != "" && e.Mode == "virtual", "load.idempotent", "only on sockets"},
		{len(e.RuleSets) == 0, "ruleset", "expected one at least"},
		{len(e.Variants) == 0, "variant", "expected one at least"},
	}
	for i, m := range e.Fleet.Machines {
		p := fmt.Sprintf("fleet.machine.%d.", i)
		rules = append(rules, conf.Rule{m.Count <= 0, p + "count", "expected a number above 0"}, conf.Rule{m.Cores <= 0, p + "cores", "expected a number above 0"},
			conf.Rule{m.Speed <= 0, p + "speed", "expected a number above 0"}, conf.Rule{m.Share <= 0, p + "share", "expected a number above 0"})
	}
	names := map[string]bool{}
	for i, r := range e.RuleSets {
		p := fmt.Sprintf("ruleset.%d.", i)
		_, effect := effects[r.Effect]
		_, group := groups[r.Group]
		rules = append(rules, conf.Rule{r.Name == "" || names[r.Name], p + "name", "expected a name of its own"},
			conf.Rule{!effect, p + "effect", "expected replayable, uniqued or non-replayable"}, conf.Rule{!group, p + "group", "expected all, zone or cell"},
			conf.Rule{r.Target <= 0, p + "response_target", "expected a time above 0"}, conf.Rule{r.Share < 0, p + "share", "expected 0 or more"},
			conf.Rule{r.Value < 0, p + "value", "expected 0 or more"},
			conf.Rule{slices.ContainsFunc(r.Proxies, func(i int) bool { return i < 0 || i >= e.Fleet.Balancers }), p + "proxies", "expected places below balancers"})
		names[r.Name] = true
	}
	for i, x := range e.Faults {
		p := fmt.Sprintf("fault.%d.", i)
		_, known := emu.FaultKinds[x.Kind]
		sized := slices.Contains([]string{"slow", "errors", "reset", "lossy", "late", "surge", "proxy_starve"}, x.Kind)
		rules = append(rules, conf.Rule{!known, p + "kind", "no such kind of fault"}, conf.Rule{sized && x.Size <= 0, p + "size", "expected a number above 0"},
			conf.Rule{x.Kind == "cut" && x.Zone == "", p + "zone", "expected the zone that is cut off"},
			conf.Rule{e.Mode == "virtual" && (strings.HasPrefix(x.Kind, "proxy_") && x.Kind != "proxy_kill" || strings.HasPrefix(x.Kind, "un") || strings.HasPrefix(x.Kind, "state_")), p + "kind", "only on sockets is there a proxy to kill or cut off"},
			conf.Rule{slices.ContainsFunc(x.Proxies, func(i int) bool { return i < 0 || i >= e.Fleet.Balancers }), p + "proxies", "expected places below balancers"},
			conf.Rule{!slices.Contains([]string{"", "out", "in"}, x.Way), p + "way", "expected out or in"},
			conf.Rule{x.Kind == "pour" && len(x.Proxies) == 0, p + "proxies", "expected one at least"},
			conf.Rule{x.Kind == "state_cut" && (x.Size < 0 || x.Size >= 1), p + "size", "expected a part from 0 to below 1"},
			conf.Rule{x.Kind == "proxy_starve" && x.Size >= 1, p + "size", "expected a part below 1"})
	}
	variants := map[string]bool{}
	for i, v := range e.Variants {
		p := fmt.Sprintf("variant.%d.", i)
		rules = append(rules, conf.Rule{v.Name == "" || variants[v.Name], p + "name", "expected a name of its own"},
			conf.Rule{len(v.Others) > 2 || (len(v.Others) > 0) != (v.OthersCount > 0), p + "others", "expected a build and an operator file, with others_count"},
			conf.Rule{!slices.Contains(maintenances, v.Maintenance) || v.Maintenance != "" && (e.Maintenance == nil || e.Mode != "processes"), p + "maintenance", "expected plan, timer or at once, in processes and with a part [maintenance]"},
			conf.Rule{e.Mode == "virtual" && !slices.Contains(Policies, v.Policy), p + "policy", fmt.Sprintf("expected one of %v", Policies)},
			conf.Rule{e.Mode != "virtual" && v.Policy != "", p + "policy", "on sockets the program decides"})
		variants[v.Name] = true
	}
	if x := e.Maintenance; x != nil {
		rules = append(rules, conf.Rule{x.Work <= 0, "maintenance.work", "expected a time above 0"}, conf.Rule{x.AtOnce < 1, "maintenance.at_once", "expected one at least"},
			conf.Rule{x.Each <= 0, "maintenance.each", "expected a time above 0"})
	}
	if t := e.Trace; t != nil {
		_, known := trace.Layouts[t.Layout]
		rules = append(rules, conf.Rule{!known, "trace.layout", "no such layout"}, conf.Rule{t.File == "", "trace.file", "expected a file"},
			conf.Rule{t.Speed <= 0, "trace.speed", "expected a number above 0"}, conf.Rule{t.Part <= 0 || t.Part > 1, "trace.part", "expected a part above 0 to 1"},
			conf.Rule{t.Work <= 0, "trace.work", "expected a number above 0"}, conf.Rule{t.MostFor <= 0, "trace.most_work", "expected a time above 0"},
			conf.Rule{t.Problems < 0, "trace.problems", "expected 0 or more"})
		for kind, set := range t.RuleSets {
			rules = append(rules, conf.Rule{!names[set], "trace.rulesets." + kind, fmt.Sprintf("no rule set %q", set)})
		}
	}
	return f.CheckRules("", rules)
}

// Once reduces the experiment to one run, with its first seed, of one policy in virtual time.
func (e *Experiment) Once(policy string) error {
	if !slices.Contains(Policies, policy) {
		return fmt.Errorf("policy %q: expected one of %v", policy, Policies)
	}
	e.Mode, e.Seeds, e.Variants = "virtual", e.Seeds[:1], []Variant{{Name: policy, Policy: policy}}
	return nil
}

// balanceConfig returns the balancer configuration of this deployment.
func (e *Experiment) balanceConfig() balance.Config {
	t := balance.Config{MaxDispatches: 3, CanCancel: true, MaxRetryAfter: 15e8, ListOnRequest: true, AskWithin: 2e9,
		StartCapacity: e.Fleet.StartCapacity, RampTime: int64(e.Fleet.Ramp), CrossZonePrice: 0.01, WastePrice: 0.05, Tick: 5e6,
		FleetSize: e.Fleet.Balancers, OverloadFactor: e.Fleet.FallOver, OverloadTime: int64(e.Fleet.FallAfter)}
	for _, r := range e.RuleSets {
		t.RuleSets = append(t.RuleSets, balance.RuleSet{Name: r.Name, Effect: effects[r.Effect], Group: groups[r.Group],
			Window: int64(r.Window), ResponseTarget: int64(r.Target), BillingValue: r.Value})
	}
	for _, x := range e.Load.Tenants {
		t.Tenants = append(t.Tenants, balance.Tenant{Name: x.Name, Share: x.Share})
	}
	return t
}

// zone returns the zone of the n-th balancer or server.
func (e *Experiment) zone(n int) string { return e.Fleet.Zones[n%len(e.Fleet.Zones)] }

// machines returns all machines, spread over the zones in turn.
func (e *Experiment) machines() (all []emu.Machine) {
	for _, m := range e.Fleet.Machines {
		for range m.Count {
			n := len(all)
			all = append(all, emu.Machine{ID: fmt.Sprintf("s-%03d", n+1), Zone: e.zone(n),
				Cell: int64(n % len(e.Fleet.Zones)), Cores: m.Cores, Speed: m.Speed, Share: m.Share})
		}
	}
	return all
}

func (e *Experiment) serverParams() emu.ServerParams {
	x := &e.Fleet
	return emu.ServerParams{QueueCapacity: x.Queue, CacheKeys: x.CacheKeys, CacheTTL: int64(x.CacheFor), CacheSavings: x.CacheSaves, RampTime: int64(x.Ramp),
		StartCapacity: x.StartCapacity, OverloadFactor: x.FallOver, OverloadWindow: int64(x.FallAfter), ReportInterval: int64(x.ReportEvery)}
}

func (e *Experiment) network() emu.Network {
	return emu.Network{SameZoneDelay: int64(e.Fleet.OneWay), CrossZoneDelay: int64(e.Fleet.Cross), DiscoveryDelay: int64(e.Fleet.Told)}
}

func (e *Experiment) faults() (all []emu.Fault) {
	for _, x := range e.Faults {
		all = append(all, emu.Fault{Kind: x.Kind, At: int64(x.At), Duration: int64(x.For), Servers: x.Servers, Count: x.Count, Zone: x.Zone, Magnitude: x.Size,
			Proxies: x.Proxies, Direction: x.Way, LossRatio: x.Loss, DuplicateRatio: x.Double, CorruptRatio: x.Garble, Delay: int64(x.Delay), Jitter: int64(x.Spread)})
	}
	return all
}

func (e *Experiment) clientConfig() emu.ClientConfig {
	return emu.ClientConfig{Timeout: int64(e.Load.Timeout), MaxRetries: e.Load.Retries, RetryDelay: int64(e.Load.Wait), IgnoreRetryAfter: e.Load.Ignores}
}

// resolvePath returns the path of a file that the experiment names, relative to the experiment file.
func (e *Experiment) resolvePath(file string) string {
	if filepath.IsAbs(file) {
		return file
	}
	file = filepath.Join(filepath.Dir(e.path), file)
	if whole, err := filepath.Abs(file); err == nil { // absolute, because a proxy runs in a folder of its own
		return whole
	}
	return file
}
