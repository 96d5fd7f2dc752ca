package control

import (
	"time"

	"ivybank/control/lease"
	"ivybank/control/replica"
	"ivybank/control/store"
	"ivybank/wire"
)

// Environment is what a node needs from outside: sockets, files and the platform in production, a simulation in tests.
// It reports back to the node through events in the node's event loop.
type Environment interface {
	// Now returns the monotonic time since this process started. It may be called from outside the event loop.
	Now() time.Duration
	// Do runs an event in the node's event loop. It may be called from outside the event loop.
	Do(event func())
	// Save starts a write; Node.Saved is called once it is on disk. At most one write is in progress at a time.
	Save(s *replica.Save)
	// SaveTenures starts a write of the granter's tenures; Node.TenuresSaved is called with the result. At most one
	// write is in progress at a time.
	SaveTenures(t lease.LongTenures)
	// SaveParts starts a write of the parts of the coordination state; Node.PartsSaved is called once it is on disk.
	// At most one write is in progress at a time.
	SaveParts(b *store.PartsBatch)
	// OpenLink maintains a connection to the control process at an address.
	OpenLink(ip string, hello wire.Hello, events wire.LinkEvents) wire.LinkHandle
	// ReadHosts starts a read of the platform's host list; Node.HostsRead is called with the result.
	ReadHosts()
	// KnownControlIPs returns the addresses of the control processes that were learned from peers.
	KnownControlIPs() []string
	// UnreadableDatagrams counts the datagrams from peers that could not be decoded.
	UnreadableDatagrams() int64
}
