// Package soak has a test alone: it plays real processes of a fleet (control, agents, routers) on loopback under series
// of troubles that overlap, all drawn from one seed, and checks what stand-ins for hosts ran against the limits.
//
//	go test ./rehearse/soak -v -seed 7 -seconds 60 -fronts 8
package soak
