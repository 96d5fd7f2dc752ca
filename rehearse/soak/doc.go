// Package soak holds only tests. They run real processes of a fleet on loopback, inject overlapping faults that are all
// drawn from one seed, and check the outcome.
//
// TestSoak runs control processes, agents and routers, and checks the requests that simulated hosts ran against the
// limits. TestCoordinationSoak runs control processes, and checks the answers that applications got about locks,
// numbers, keys and watches.
//
//	go test ./rehearse/soak -v -run TestSoak -seed 7 -seconds 60 -fronts 8
//	go test ./rehearse/soak -v -run TestCoordinationSoak -seed 7 -runs 10 -coordination-seconds 60
package soak
