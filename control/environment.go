package control

import (
	"time"

	"ivybank/control/lease"
	"ivybank/control/replica"
	"ivybank/control/store"
	"ivybank/wire"
)

// Environment is what a node needs of the world: in service sockets, files and the platform, in tests a simulated one.
// All that it tells the node comes as events in the node's loop.
type Environment interface {
	// Now is the steady clock, from the start of this life of the process. It may be called from outside the loop.
	Now() time.Duration
	// Do runs an event in the node's loop. It may be called from outside the loop.
	Do(event func())
	// Save starts a write; Node.Saved is called once it is on disk. There is one at a time.
	Save(s *replica.Save)
	// SaveTenures starts a write of what the leases' granter remembers; Node.TenuresSaved is called with its outcome. There is
	// one at a time.
	SaveTenures(t lease.Tenures)
	// SaveParts starts a write of parts of the coordination state; Node.PartsSaved is called once it is on disk. There is one at
	// a time.
	SaveParts(b *store.PartsBatch)
	// OpenLink keeps a connection to the control process at an address.
	LinkHandle(ip string, hello wire.Hello, events wire.LinkEvents) wire.LinkHandle
	// ReadHosts reads the platform's list; Node.HostsRead is called with the outcome.
	ReadHosts()
	// KnownControls gives the addresses of control processes that peers have told of.
	KnownControls() []string
	// SpoiltDatagrams counts what peers sent that could not be read.
	SpoiltDatagrams() int64
}
