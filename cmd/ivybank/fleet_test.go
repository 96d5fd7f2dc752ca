package main

import (
	"fmt"
	"path/filepath"
	"slices"
	"testing"

	"ivybank/emu"
	"ivybank/lab"
)

// rehearse starts so many processes of the program that hear one another through the rig, with a little load to be played.
func rehearse(t *testing.T, proxies int, more string) *lab.Rehearsal {
	t.Helper()
	e, err := lab.Read(filepath.Join(t.TempDir(), "e.toml"), fmt.Appendf(nil, `format = "ivybank/experiment/1"
name = "test"
mode = "processes"
seeds = [1]
length = "4s"
[fleet]
balancers = %d
zones = ["a", "b"]
queue = 100
one_way = "300us"
cross = "800us"
told = "100ms"
grace = "1s"
ramp = "15s"
start_capacity = 0.2
fall_over = 3.0
fall_after = "3s"
[[fleet.machine]]
count = 6
cores = 1
speed = 1.0
share = 1.0
[load]
rate = 60.0
work = "50ms"
timeout = "3s"
[[ruleset]]
name = "batch"
effect = "replayable"
response_target = "800ms"
value = 1.0
share = 0.5
[[ruleset]]
name = "filing"
effect = "non-replayable"
response_target = "800ms"
value = 8.0
share = 0.5
[[variant]]
name = "on"
%s`, proxies, more))
	if err != nil {
		t.Fatal(err)
	}
	operator, err := filepath.Abs("../../lab/experiments/operator/fleet.toml")
	if err != nil {
		t.Fatal(err)
	}
	r, err := lab.Begin(e, lab.Variant{Name: "on", Build: binary, Operator: operator}, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.End)
	return r
}

// sees says whether a proxy's view of a member is one of some states.
func sees(r *lab.Rehearsal, proxy, member int, states ...string) bool {
	v, ok := r.View(proxy)
	return ok && member < len(v.Members) && slices.Contains(states, v.Members[member].State)
}

// together waits until all of some proxies hold so many members to be alive.
func together(t *testing.T, r *lab.Rehearsal, alive int, proxies ...int) {
	t.Helper()
	for _, i := range proxies {
		eventually(t, fmt.Sprintf("proxy %d holds %d alive", i, alive), func() bool {
			v, ok := r.View(i)
			return ok && v.Alive == alive
		})
	}
}

// Two processes find each other by their configuration; one that is killed is known to be dead, and known again when it is back.
func TestFleetOfTwo(t *testing.T) {
	r := rehearse(t, 2, "")
	together(t, r, 2, 0, 1)
	undo := r.Strike(emu.Fault{Kind: "proxy_kill", Proxies: []int{1}, For: 6e9})
	defer undo()
	eventually(t, "the killed one is held to be dead", func() bool { return sees(r, 0, 1, "dead") })
	together(t, r, 2, 0, 1)
	eventually(t, "it lives another life", func() bool {
		v, ok := r.View(0)
		w, also := r.View(1)
		return ok && also && v.Members[1].Life == w.Life
	})
}
