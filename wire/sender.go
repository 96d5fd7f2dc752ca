package wire

// Sender sends messages to one peer. Send returns false if there is no connection or the peer has fallen too far
// behind.
type Sender interface {
	Send(m *Message) bool
}

// LinkHandle is an open link, independent of its implementation.
type LinkHandle interface {
	Sender
	// Up reports whether there is a connection.
	Up() bool
	// Redial makes a link without a connection reconnect at once: the other end is known to be available.
	Redial()
	// Close closes the link.
	Close()
}

// LinkEvents are the callbacks of a link. All are called in its owner's loop, one at a time.
type LinkEvents struct {
	// Subscribe returns the first message of a new connection, after the Hello; may be nil.
	Subscribe func() *Message
	Received  func(m *Message)
	// Connected reports that messages can be sent from now on; may be nil.
	Connected func()
}
