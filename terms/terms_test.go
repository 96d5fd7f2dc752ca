package terms

import (
	"reflect"
	"strings"
	"testing"

	"ivybank/balance"
)

func TestFlatten(t *testing.T) {
	v, err := Flatten([]byte(`{"Zone":"a","Zones":["a","b"],"TickNs":5000000,"Ceilings":{"Cancel":true,"X":0.5},
		"RuleSets":[{"Name":"n","WindowNs":7}],"Tenants":[],"Nothing":null}`))
	want := map[string]string{"Zone": "a", "Zones": "a,b", "TickNs": "5000000", "Ceilings.Cancel": "true",
		"Ceilings.X": "0.5", "RuleSets.count": "1", "RuleSets.0.Name": "n", "RuleSets.0.WindowNs": "7", "Tenants.count": "0"}
	if err != nil || !reflect.DeepEqual(v.Raw, want) {
		t.Fatalf("got %v, %v, want %v", v, err, want)
	}
	for _, text := range []string{"", "[]", "null", "{"} {
		if _, err := Flatten([]byte(text)); err == nil {
			t.Errorf("%q: got no error", text)
		}
	}
}

func TestRead(t *testing.T) {
	t.Run("whole", func(t *testing.T) {
		v := &Values{Raw: map[string]string{"Zone": "a", "FleetSize": "3", "Ceilings.MaxDispatches": "3",
			"Ceilings.RetryAfter": "true", "Ceilings.MaxRetryAfterNs": "15", "Discovery": "on_request",
			"RuleSets.count": "1", "RuleSets.0.Name": "n", "RuleSets.0.Effect": "dedup", "RuleSets.0.Group": "zone",
			"Tenants.count": "1", "Tenants.0.Name": "t", "Tenants.0.Share": "0.5"}}
		want := balance.Config{Seed: 9, Zone: "a", FleetSize: 3, MaxDispatches: 3, MaxRetryAfter: 15, ListOnRequest: true,
			RuleSets: []balance.RuleSet{{Name: "n", Effect: balance.Deduplicated, Group: balance.GroupZone}},
			Tenants:  []balance.Tenant{{Name: "t", Share: 0.5}}}
		if got := Decode(v, 9); v.Err != nil || !reflect.DeepEqual(got, want) {
			t.Fatalf("got %+v, %v, want %+v", got, v.Err, want)
		}
	})
	t.Run("clocks, buffers, placement", func(t *testing.T) {
		v := &Values{Raw: map[string]string{"Contract.BudgetErrorNs": "5", "Contract.StartErrorNs": "6",
			"Contract.GoneIsAdvice": "true", "Ceilings.HeldReplies": "7", "ScoringMix.Tail": "0.2", "ScoringMix.TailMiss": "0.01",
			"RuleSets.count": "1", "RuleSets.0.ServedOn": "small,tiny", "RuleSets.0.ZonesOnly": "a"}}
		want := balance.Config{BudgetError: 5, StartError: 6, GoneIsAdvice: true, MaxHeldAnswers: 7, TailWeight: 0.2,
			TailMissRate: 0.01,
			RuleSets: []balance.RuleSet{{Effect: balance.NonReplayable, Group: balance.GroupCell,
				Kinds: []string{"small", "tiny"}, Zones: []string{"a"}}}}
		if got := Decode(v, 0); v.Err != nil || !reflect.DeepEqual(got, want) {
			t.Fatalf("got %+v, %v, want %+v", got, v.Err, want)
		}
	})
	t.Run("unknown kinds are the strictest", func(t *testing.T) {
		v := &Values{Raw: map[string]string{"RuleSets.count": "1", "RuleSets.0.Effect": "new", "RuleSets.0.Group": "new"}}
		if r := Decode(v, 0).RuleSets[0]; r.Effect != balance.NonReplayable || r.Group != balance.GroupCell {
			t.Fatalf("got %+v", r)
		}
	})
	t.Run("bad number", func(t *testing.T) {
		v := &Values{Raw: map[string]string{"TickNs": "soon"}}
		if Decode(v, 0); v.Err == nil {
			t.Fatal("got no error")
		}
	})
}

func TestCheckOptionalSettings(t *testing.T) {
	for key, text := range map[string]string{"": "", "RuleSets.0.ServedOn": "small", "RuleSets.0.ZonesOnly": "a,b",
		"Contract.BudgetErrorNs": "-1", "Contract.StartErrorNs": "soon", "Contract.GoneIsAdvice": "maybe",
		"Ceilings.HeldReplies": "-2", "ScoringMix.TailMiss": "1.5", "RuleSets.0.ServedOn.count": "0",
		"RuleSets.0.ServedOn ": "large"} { // the blank makes a second, valid case of the same name
		v := &Values{Raw: map[string]string{"Ceilings.MaxDispatches": "3", "RuleSets.count": "1", "RuleSets.0.Name": "n",
			"RuleSets.0.ClientTimeoutNs": "9", "RuleSets.0.ResponseTargetNs": "5", "HostTypes": "large,dual", "Zones": "a,c"}}
		good := key == "" || key == "RuleSets.0.ServedOn "
		v.Raw[strings.TrimSpace(key)] = text
		if err := Validate(v); (err == nil) != good || !good && !strings.Contains(err.Error(), strings.TrimSuffix(key, ".count")) {
			t.Errorf("%s = %q: %v", key, text, err)
		}
	}
}

// The limits of the operators' standing test come with the settings: each must reach package balance unchanged.
func TestStandingTestSettings(t *testing.T) {
	v, err := Flatten([]byte(`{"Discovery":"pushed","FleetSize":300,"TickNs":5000000,
		"Ceilings":{"MaxDispatches":3,"RetryAfter":true,"MaxRetryAfterNs":1500000000},
		"Contract":{"AskWithinNs":4000000000,"OverloadFactor":3,"FallNs":3000000000,"StartCapacity":0.16,
			"RampTimeNs":24000000000},
		"RuleSets":[{"Name":"filing","Effect":"fragile","ClientTimeoutNs":3000000000,"ResponseTargetNs":800000000,
			"BillingValue":1,"OverdueBillingValue":0}],
		"Tenants":[{"Name":"halls","Share":0.64},{"Name":"offices","Share":0.21}]}`))
	if err == nil {
		err = Validate(v)
	}
	want := balance.Config{Seed: 5, FleetSize: 300, MaxDispatches: 3, MaxRetryAfter: 15e8, AskWithin: 4e9, OverloadFactor: 3,
		OverloadTime: 3e9, StartCapacity: 0.16, RampTime: 24e9, Tick: 5e6,
		RuleSets: []balance.RuleSet{{Name: "filing", Effect: balance.NonReplayable, Group: balance.GroupCell,
			ResponseTarget: 8e8, BillingValue: 1}},
		Tenants: []balance.Tenant{{Name: "halls", Share: 0.64}, {Name: "offices", Share: 0.21}}}
	if got := Decode(v, 5); err != nil || v.Err != nil || !reflect.DeepEqual(got, want) {
		t.Fatalf("got %+v, %v, %v, want %+v", got, err, v.Err, want)
	}
	v.Raw["Discovery"] = "on_request"
	if !Decode(v, 5).ListOnRequest {
		t.Error("a list that arrives on request was taken for one that is pushed")
	}
}
