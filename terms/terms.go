// Package terms decodes the settings that an instance is told at its start into balance.Terms. It owns
// the names of the settings, for every host of the module; it must never decide anything, nor read a
// setting that the module does not use.
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

// Values holds named values as text; the first one that cannot be read stays in Err.
type Values struct {
	At  map[string]string
	Err error
}

// Fail notes that a value is not what was expected.
func (v *Values) Fail(key, want string) {
	if v.Err == nil {
		v.Err = fmt.Errorf("%s=%q: expected %s", key, v.At[key], want)
	}
}

// Int reads a whole number, 0 where there is none.
func (v *Values) Int(key string) int64 {
	text, ok := v.At[key]
	if !ok {
		return 0
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		v.Fail(key, "a whole number")
	}
	return n
}

// ID reads a number that must be there.
func (v *Values) ID(key string) uint64 {
	n, err := strconv.ParseUint(v.At[key], 10, 64)
	if err != nil {
		v.Fail(key, "a whole number")
	}
	return n
}

// Float reads a finite number, 0 where there is none.
func (v *Values) Float(key string) float64 {
	text, ok := v.At[key]
	if !ok {
		return 0
	}
	n, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(n) || math.IsInf(n, 0) {
		v.Fail(key, "a number")
	}
	return n
}

// Bool reads 1, 0, true or false, false where there is none.
func (v *Values) Bool(key string) bool {
	switch v.At[key] {
	case "1", "true":
		return true
	case "", "0", "false":
		return false
	}
	v.Fail(key, "1 or 0")
	return false
}

// Words reads a list of plain values; nil where there is none.
func (v *Values) Words(key string) []string {
	if text := v.At[key]; text != "" {
		return strings.Split(text, ",")
	}
	return nil
}

// Flatten turns nested JSON into path=value pairs: parts joined by dots, the length of a list of objects
// under .count and its items under .0, .1 and so on, a list of plain values joined by commas.
func Flatten(text []byte) (*Values, error) {
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	var top map[string]any
	if err := d.Decode(&top); err != nil {
		return nil, err
	}
	if top == nil {
		return nil, errors.New("expected an object")
	}
	v := &Values{At: map[string]string{}}
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
		plain := make([]string, 0, len(x))
		for i, item := range x {
			switch item.(type) {
			case map[string]any, []any:
				v.flatten(path+"."+strconv.Itoa(i), item)
			default:
				plain = append(plain, fmt.Sprint(item))
			}
		}
		if len(plain) > 0 {
			v.At[path] = strings.Join(plain, ",")
		} else {
			v.At[path+".count"] = strconv.Itoa(len(x))
		}
	case nil:
	default:
		v.At[path] = fmt.Sprint(x)
	}
}

// Check says whether rule sets and ceilings can be served by.
func Check(v *Values) error {
	if v.Int("Ceilings.MaxDispatches") <= 0 {
		v.Fail("Ceilings.MaxDispatches", "a number above 0")
	}
	n := v.Int("RuleSets.count")
	if n <= 0 {
		v.Fail("RuleSets", "one rule set at least")
	}
	names := map[string]bool{}
	for i := range n {
		p := fmt.Sprintf("RuleSets.%d.", i)
		for _, name := range []string{"ClientTimeoutNs", "ResponseTargetNs"} {
			if v.Int(p+name) <= 0 {
				v.Fail(p+name, "a number above 0")
			}
		}
		name := v.At[p+"Name"]
		if name == "" || names[name] {
			v.Fail(p+"Name", "a name of its own")
		}
		names[name] = true
		for _, field := range []string{"ZonesOnly", "ServedOn"} {
			known := map[string]string{"ZonesOnly": "Zones", "ServedOn": "HostTypes"}[field]
			_, empty := v.At[p+field+".count"]
			for _, word := range v.Words(p + field) {
				empty = empty || v.At[known] != "" && !slices.Contains(v.Words(known), word)
			}
			if empty {
				v.Fail(p+field, "names of "+known)
			}
		}
	}
	for _, c := range [][]string{{"Discovery", "on_request", "pushed"}, {"Weights", "off", "nominal", "rough", "live"}} {
		if word, ok := v.At[c[0]]; ok && !slices.Contains(c[1:], word) {
			v.Fail(c[0], "one of "+strings.Join(c[1:], ", "))
		}
	}
	if v.Int("Contract.FallNs") < 0 {
		v.Fail("Contract.FallNs", "a number from 0")
	}
	if v.Float("Contract.OverloadFactor") < 0 {
		v.Fail("Contract.OverloadFactor", "a number from 0")
	}
	for _, key := range []string{"ScoringMix.Tail", "ScoringMix.TailMiss"} {
		if part := v.Float(key); part < 0 || part > 1 {
			v.Fail(key, "a number from 0 to 1")
		}
	}
	for _, key := range []string{"Ceilings.HeldReplies", "Contract.BudgetErrorNs", "Contract.StartErrorNs"} {
		if v.Int(key) < 0 {
			v.Fail(key, "a whole number from 0")
		}
	}
	v.Bool("Contract.GoneIsAdvice")
	return v.Err
}

// Follows says whether settings name all that those before them named. Items of a list are told by what all items
// of the list before have in common, as rule sets and tenants come and go.
func Follows(old, next []byte) error {
	before, err := Flatten(old)
	if err != nil {
		return err
	}
	after, err := Flatten(next)
	if err != nil {
		return err
	}
	for _, key := range slices.Sorted(maps.Keys(before.At)) {
		if _, ok := after.At[key]; ok || item.MatchString(key) {
			continue
		}
		if _, ok := after.At[key+".count"]; ok {
			continue
		}
		if list, ok := strings.CutSuffix(key, ".count"); ok {
			if _, ok := after.At[list]; ok {
				continue
			}
		}
		return fmt.Errorf("%s: missing", key)
	}
	for _, list := range []string{"RuleSets", "Tenants"} {
		common := fields(before, list, 0)
		for i := range before.Int(list + ".count") {
			here := fields(before, list, i)
			common = slices.DeleteFunc(common, func(f string) bool { return !slices.Contains(here, f) })
		}
		for i := range after.Int(list + ".count") {
			here := fields(after, list, i)
			for _, f := range common {
				if !slices.Contains(here, f) {
					return fmt.Errorf("%s.%d.%s: missing", list, i, f)
				}
			}
		}
	}
	return after.Err
}

var item = regexp.MustCompile(`\.[0-9]+(\.|$)`)

// fields names what one item of a list has.
func fields(v *Values, list string, i int64) (names []string) {
	p := fmt.Sprintf("%s.%d.", list, i)
	for _, key := range slices.Sorted(maps.Keys(v.At)) {
		if name, ok := strings.CutPrefix(key, p); ok {
			names = append(names, name)
		}
	}
	return names
}

// Read decodes the settings that the module reads.
func Read(v *Values, seed uint64) balance.Terms {
	t := balance.Terms{
		Seed: seed, Zone: v.At["Zone"],
		Copies:        int(v.Int("FleetSize")),
		MaxDispatches: int(v.Int("Ceilings.MaxDispatches")),
		Parallel:      v.Bool("Ceilings.ParallelTries"), CanCancel: v.Bool("Ceilings.Cancel"),
		Live:      v.At["Weights"] == "live",
		MustAsk:   v.At["Discovery"] == "on_request",
		AskWithin: v.Int("Contract.AskWithinNs"), StartCapacity: v.Float("Contract.StartCapacity"),
		RampTime: v.Int("Contract.RampTimeNs"), CrossPrice: v.Float("Prices.CrossZone"),
		WastePrice: v.Float("Prices.Waste"), Tick: v.Int("TickNs"),
		Tail: v.Float("ScoringMix.Tail"), TailMiss: v.Float("ScoringMix.TailMiss"),
		Overload: v.Float("Contract.OverloadFactor"), FallTime: v.Int("Contract.FallNs"),
		WarmKeys: v.Bool("Extra.WarmKeys"), Held: int(v.Int("Ceilings.HeldReplies")), BudgetError: v.Int("Contract.BudgetErrorNs"),
		StartError: v.Int("Contract.StartErrorNs"), GoneIsAdvice: v.Bool("Contract.GoneIsAdvice"),
	}
	if v.Bool("Ceilings.RetryAfter") {
		t.MaxAdvice = v.Int("Ceilings.MaxRetryAfterNs")
	}
	for i := range v.Int("RuleSets.count") {
		p := fmt.Sprintf("RuleSets.%d.", i)
		effect, ok := map[string]balance.Effect{"retryable": balance.Replayable, "dedup": balance.Uniqued,
			"fragile": balance.NonReplayable}[v.At[p+"Effect"]]
		if !ok {
			effect = balance.NonReplayable // not known: the strictest
		}
		group, ok := map[string]balance.Group{"all": balance.GroupAll, "zone": balance.GroupZone,
			"cell": balance.GroupCell}[v.At[p+"Group"]]
		if !ok {
			group = balance.GroupCell
		}
		t.RuleSets = append(t.RuleSets, balance.RuleSet{Name: v.At[p+"Name"], Effect: effect, Group: group,
			Window: v.Int(p + "WindowNs"), ResponseTarget: v.Int(p + "ResponseTargetNs"),
			BillingValue: v.Float(p + "BillingValue"), OverdueValue: v.Float(p + "OverdueBillingValue"),
			Zones: v.Words(p + "ZonesOnly"), Kinds: v.Words(p + "ServedOn")})
	}
	for i := range v.Int("Tenants.count") {
		p := fmt.Sprintf("Tenants.%d.", i)
		t.Tenants = append(t.Tenants, balance.Tenant{Name: v.At[p+"Name"], Share: v.Float(p + "Share")})
	}
	return t
}
