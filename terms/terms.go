// Package terms decodes the settings that an instance receives at its start into balance.Config, for every
// host of package balance. The names of those settings appear only here. The package makes no decisions and
// reads no setting that package balance does not use.
package terms

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"ivybank/balance"
)

// Values holds named values as text. Err is the first error of reading one.
type Values struct {
	Raw map[string]string
	Err error
}

// SetError records that a value is not what was expected, unless an earlier error is recorded.
func (v *Values) SetError(key, want string) {
	if v.Err == nil {
		v.Err = fmt.Errorf("%s=%q: expected %s", key, v.Raw[key], want)
	}
}

// Int returns an integer, 0 if it is missing.
func (v *Values) Int(key string) int64 {
	text, ok := v.Raw[key]
	if !ok {
		return 0
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		v.SetError(key, "a whole number")
	}
	return n
}

// ID returns an unsigned integer, which must be present.
func (v *Values) ID(key string) uint64 {
	n, err := strconv.ParseUint(v.Raw[key], 10, 64)
	if err != nil {
		v.SetError(key, "a whole number")
	}
	return n
}

// Float returns a finite number, 0 if it is missing.
func (v *Values) Float(key string) float64 {
	text, ok := v.Raw[key]
	if !ok {
		return 0
	}
	n, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(n) || math.IsInf(n, 0) {
		v.SetError(key, "a number")
	}
	return n
}

// Bool returns a truth value, written as 1, 0, true or false; false if it is missing.
func (v *Values) Bool(key string) bool {
	switch v.Raw[key] {
	case "1", "true":
		return true
	case "", "0", "false":
		return false
	}
	v.SetError(key, "1 or 0")
	return false
}

// List returns a list of values separated by commas, nil if it is missing.
func (v *Values) List(key string) []string {
	if text := v.Raw[key]; text != "" {
		return strings.Split(text, ",")
	}
	return nil
}

// Flatten turns nested JSON into path=value pairs. Path elements are joined by dots. A list of objects has its
// length under .count and its items under .0, .1 and so on; a list of scalars is joined by commas.
func Flatten(text []byte) (*Values, error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	var top map[string]any
	if err := decoder.Decode(&top); err != nil {
		return nil, err
	}
	if top == nil {
		return nil, errors.New("expected an object")
	}
	v := &Values{Raw: map[string]string{}}
	v.flatten("", top)
	return v, nil
}

func (v *Values) flatten(path string, x any) {
	switch x := x.(type) {
	case map[string]any:
		for name, item := range x {
			v.flatten(strings.TrimPrefix(path+"."+name, "."), item)
		}
	case []any:
		scalars := make([]string, 0, len(x))
		for i, item := range x {
			switch item.(type) {
			case map[string]any, []any:
				v.flatten(path+"."+strconv.Itoa(i), item)
			default:
				scalars = append(scalars, fmt.Sprint(item))
			}
		}
		if len(scalars) > 0 {
			v.Raw[path] = strings.Join(scalars, ",")
		} else {
			v.Raw[path+".count"] = strconv.Itoa(len(x))
		}
	case nil:
	default:
		v.Raw[path] = fmt.Sprint(x)
	}
}

// Validate returns an error if an instance cannot run with these settings.
func Validate(v *Values) error {
	if v.Int("Ceilings.MaxDispatches") <= 0 {
		v.SetError("Ceilings.MaxDispatches", "a number above 0")
	}
	n := v.Int("RuleSets.count")
	if n <= 0 {
		v.SetError("RuleSets", "at least one rule set")
	}
	names := map[string]bool{}
	for i := range n {
		p := fmt.Sprintf("RuleSets.%d.", i)
		for _, name := range []string{"ClientTimeoutNs", "ResponseTargetNs"} {
			if v.Int(p+name) <= 0 {
				v.SetError(p+name, "a number above 0")
			}
		}
		name := v.Raw[p+"Name"]
		if name == "" || names[name] {
			v.SetError(p+"Name", "a unique name")
		}
		names[name] = true
		for _, field := range []string{"ZonesOnly", "ServedOn"} {
			allowed := map[string]string{"ZonesOnly": "Zones", "ServedOn": "HostTypes"}[field]
			_, invalid := v.Raw[p+field+".count"] // an empty list
			for _, word := range v.List(p + field) {
				invalid = invalid || v.Raw[allowed] != "" && !slices.Contains(v.List(allowed), word)
			}
			if invalid {
				v.SetError(p+field, "names of "+allowed)
			}
		}
	}
	for _, c := range [][]string{{"Discovery", "on_request", "pushed"}, {"Weights", "off", "nominal", "rough", "live"}} {
		if word, ok := v.Raw[c[0]]; ok && !slices.Contains(c[1:], word) {
			v.SetError(c[0], "one of "+strings.Join(c[1:], ", "))
		}
	}
	if v.Int("Contract.FallNs") < 0 {
		v.SetError("Contract.FallNs", "a number from 0")
	}
	if v.Float("Contract.OverloadFactor") < 0 {
		v.SetError("Contract.OverloadFactor", "a number from 0")
	}
	for _, key := range []string{"ScoringMix.Tail", "ScoringMix.TailMiss"} {
		if part := v.Float(key); part < 0 || part > 1 {
			v.SetError(key, "a number from 0 to 1")
		}
	}
	for _, key := range []string{"Ceilings.HeldReplies", "Contract.BudgetErrorNs", "Contract.StartErrorNs"} {
		if v.Int(key) < 0 {
			v.SetError(key, "a whole number from 0")
		}
	}
	v.Bool("Contract.GoneIsAdvice")
	return v.Err
}

// CheckNoneMissing returns an error if new settings lack a name that the old ones have. As rule sets and tenants are
// added and removed, an item of a list only needs the fields that all items of the old list have in common.
func CheckNoneMissing(old, next []byte) error {
	before, err := Flatten(old)
	if err != nil {
		return err
	}
	after, err := Flatten(next)
	if err != nil {
		return err
	}
	for _, key := range slices.Sorted(maps.Keys(before.Raw)) {
		if _, ok := after.Raw[key]; ok || listItem.MatchString(key) {
			continue
		}
		if _, ok := after.Raw[key+".count"]; ok {
			continue
		}
		if list, ok := strings.CutSuffix(key, ".count"); ok {
			if _, ok := after.Raw[list]; ok {
				continue
			}
		}
		return fmt.Errorf("%s: missing", key)
	}
	for _, list := range []string{"RuleSets", "Tenants"} {
		common := fields(before, list, 0)
		for i := range before.Int(list + ".count") {
			names := fields(before, list, i)
			common = slices.DeleteFunc(common, func(f string) bool { return !slices.Contains(names, f) })
		}
		for i := range after.Int(list + ".count") {
			names := fields(after, list, i)
			for _, f := range common {
				if !slices.Contains(names, f) {
					return fmt.Errorf("%s.%d.%s: missing", list, i, f)
				}
			}
		}
	}
	return after.Err
}

var listItem = regexp.MustCompile(`\.[0-9]+(\.|$)`)

// fields returns the names of the fields of one list item.
func fields(v *Values, list string, i int64) (names []string) {
	p := fmt.Sprintf("%s.%d.", list, i)
	for _, key := range slices.Sorted(maps.Keys(v.Raw)) {
		if name, ok := strings.CutPrefix(key, p); ok {
			names = append(names, name)
		}
	}
	return names
}

// Decode decodes the settings that package balance uses. Errors are recorded in v.Err.
func Decode(v *Values, seed uint64) balance.Config {
	t := balance.Config{
		Seed: seed, Zone: v.Raw["Zone"],
		FleetSize:     int(v.Int("FleetSize")),
		MaxDispatches: int(v.Int("Ceilings.MaxDispatches")),
		AllowParallel: v.Bool("Ceilings.ParallelTries"), CanCancel: v.Bool("Ceilings.Cancel"),
		LiveWeights:   v.Raw["Weights"] == "live",
		ListOnRequest: v.Raw["Discovery"] == "on_request",
		AskWithin:     v.Int("Contract.AskWithinNs"), StartCapacity: v.Float("Contract.StartCapacity"),
		RampTime: v.Int("Contract.RampTimeNs"), CrossZonePrice: v.Float("Prices.CrossZone"),
		WastePrice: v.Float("Prices.Waste"), Tick: v.Int("TickNs"),
		TailWeight: v.Float("ScoringMix.Tail"), TailMissRate: v.Float("ScoringMix.TailMiss"),
		OverloadFactor: v.Float("Contract.OverloadFactor"), OverloadTime: v.Int("Contract.FallNs"),
		WarmKeys: v.Bool("Extra.WarmKeys"), MaxHeldAnswers: int(v.Int("Ceilings.HeldReplies")),
		BudgetError: v.Int("Contract.BudgetErrorNs"),
		StartError:  v.Int("Contract.StartErrorNs"), GoneIsAdvice: v.Bool("Contract.GoneIsAdvice"),
	}
	if v.Bool("Ceilings.RetryAfter") {
		t.MaxRetryAfter = v.Int("Ceilings.MaxRetryAfterNs")
	}
	for i := range v.Int("RuleSets.count") {
		p := fmt.Sprintf("RuleSets.%d.", i)
		effect, ok := map[string]balance.Effect{"retryable": balance.Replayable, "dedup": balance.Deduplicated,
			"fragile": balance.NonReplayable}[v.Raw[p+"Effect"]]
		if !ok {
			effect = balance.NonReplayable // unknown: the strictest
		}
		group, ok := map[string]balance.Group{"all": balance.GroupAll, "zone": balance.GroupZone,
			"cell": balance.GroupCell}[v.Raw[p+"Group"]]
		if !ok {
			group = balance.GroupCell
		}
		t.RuleSets = append(t.RuleSets, balance.RuleSet{Name: v.Raw[p+"Name"], Effect: effect, Group: group,
			Window: v.Int(p + "WindowNs"), ResponseTarget: v.Int(p + "ResponseTargetNs"),
			BillingValue: v.Float(p + "BillingValue"), OverdueValue: v.Float(p + "OverdueBillingValue"),
			Zones: v.List(p + "ZonesOnly"), Kinds: v.List(p + "ServedOn")})
	}
	for i := range v.Int("Tenants.count") {
		p := fmt.Sprintf("Tenants.%d.", i)
		t.Tenants = append(t.Tenants, balance.Tenant{Name: v.Raw[p+"Name"], Share: v.Float(p + "Share")})
	}
	return t
}
