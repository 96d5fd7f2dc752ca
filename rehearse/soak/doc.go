// Package soak has tests alone: they play real processes of a fleet on loopback under series of troubles that overlap, all
// drawn from one seed, and check what came of it.
//
// TestSoak plays control processes, agents and routers, and checks what stand-ins for hosts ran against the limits.
// TestCoordinationSoak plays control processes, and checks what applications were told of locks, numbers, keys and watches.
//
//	go test ./rehearse/soak -v -run TestSoak -seed 7 -seconds 60 -fronts 8
//	go test ./rehearse/soak -v -run TestCoordinationSoak -seed 7 -runs 10 -coordination-seconds 60
package soak
