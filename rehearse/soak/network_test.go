package soak

import (
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"sync"
	"time"
)

// network relays all traffic between processes of different machines. Each machine sends to the others at its own
// port number, so that what machine a sends to machine b arrives at b's address and a's port. A relay listens there
// and forwards it to b's own port, unless the link from a to b is cut. This needs no privileges, and all traffic
// stays on loopback.
type network struct {
	mu       sync.Mutex
	cuts     map[link]time.Time // the time at which each cut ends
	conns    map[link]map[net.Conn]bool
	machines int
	closers  []io.Closer
	senders  map[int]*net.UDPConn // by machine, for datagrams that are forwarded from its address
}

// link is one direction of the connection between two machines.
type link struct{ from, to int }

const (
	firstPort       = 10000
	portsPerSlot    = 1200
	portsPerMachine = 2 // internal and local
	servicePort     = 19000
	relayBuffer     = 16 << 10
	largestUDP      = 4096
	cutPoll         = 20 * time.Millisecond
	machinesPerNet  = 200
	addressStart    = 64
)

func newNetwork() *network {
	return &network{cuts: map[link]time.Time{}, conns: map[link]map[net.Conn]bool{}, senders: map[int]*net.UDPConn{}}
}

// ipOf returns the address of a machine. It depends on the process ID, so that concurrent runs use different addresses.
func ipOf(machine int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", addressStart+pid>>7&127, pid&127<<1|machine/machinesPerNet, machine%machinesPerNet+1)
}

// portOf returns the port that a machine uses to send to others. Concurrent runs use different slots.
func portOf(machine int) int { return firstPort + *slotFlag*portsPerSlot + portsPerMachine*machine }

func addressOf(machine, port int) string { return net.JoinHostPort(ipOf(machine), strconv.Itoa(port)) }

// add connects a new machine with all existing ones. Only control processes accept TCP connections.
func (n *network) add(machine int, isControl func(int) bool) error {
	from, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(ipOf(machine))})
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.senders[machine] = from
	n.closers = append(n.closers, from)
	n.machines++
	n.mu.Unlock()
	for other := range machine {
		for _, l := range []link{{machine, other}, {other, machine}} {
			if err := n.relay(l, isControl(l.to)); err != nil {
				return err
			}
		}
	}
	return nil
}

func (n *network) relay(l link, acceptsTCP bool) error {
	datagrams, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(ipOf(l.to)), Port: portOf(l.from)})
	if err != nil {
		return err
	}
	n.track(datagrams)
	go n.forwardDatagrams(l, datagrams)
	if !acceptsTCP {
		return nil
	}
	listener, err := net.Listen("tcp4", addressOf(l.to, portOf(l.from)))
	if err != nil {
		return err
	}
	n.track(listener)
	go n.forwardConnections(l, listener)
	return nil
}

func (n *network) track(c io.Closer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closers = append(n.closers, c)
}

func (n *network) forwardDatagrams(l link, in *net.UDPConn) {
	buffer := make([]byte, largestUDP)
	to := &net.UDPAddr{IP: net.ParseIP(ipOf(l.to)), Port: portOf(l.to)}
	for {
		size, err := in.Read(buffer)
		if err != nil {
			return
		}
		if !n.isCut(l) {
			n.mu.Lock()
			sender := n.senders[l.from]
			n.mu.Unlock()
			_, _ = sender.WriteToUDP(buffer[:size], to)
		}
	}
}

func (n *network) forwardConnections(l link, listener net.Listener) {
	for {
		in, err := listener.Accept()
		if err != nil {
			return
		}
		go n.forwardConnection(l, in)
	}
}

func (n *network) forwardConnection(l link, in net.Conn) {
	defer in.Close()
	reverse := link{l.to, l.from}
	for n.isCut(l) || n.isCut(reverse) { // the connection is not established while either direction is cut
		time.Sleep(cutPoll)
		if isClosed(in) {
			return
		}
	}
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ipOf(l.from))}, Timeout: time.Second}
	out, err := dialer.Dial("tcp4", addressOf(l.to, portOf(l.to)))
	if err != nil {
		return
	}
	defer out.Close()
	n.trackConn(l, in, true)
	defer n.trackConn(l, in, false)
	done := make(chan struct{}, 2)
	go func() { n.copy(l, out, in); done <- struct{}{} }()
	go func() { n.copy(reverse, in, out); done <- struct{}{} }()
	<-done
}

// isClosed reports whether the peer has closed a connection from which nothing was read yet.
func isClosed(c net.Conn) bool {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	_ = raw.Control(func(fd uintptr) { closed = peerHasClosed(int(fd)) })
	return closed
}

func (n *network) trackConn(l link, c net.Conn, add bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.conns[l] == nil {
		n.conns[l] = map[net.Conn]bool{}
	}
	if add {
		n.conns[l][c] = true
	} else {
		delete(n.conns[l], c)
	}
}

// copy forwards bytes; while the link is cut it holds them back.
func (n *network) copy(l link, to, from net.Conn) {
	buffer := make([]byte, relayBuffer)
	for {
		size, err := from.Read(buffer)
		for n.isCut(l) {
			time.Sleep(cutPoll)
		}
		if size > 0 {
			if _, err := to.Write(buffer[:size]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (n *network) isCut(l link) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Now().Before(n.cuts[l])
}

// cut cuts one direction between two machines for a given time.
func (n *network) cut(l link, duration time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if until := time.Now().Add(duration); until.After(n.cuts[l]) {
		n.cuts[l] = until
	}
}

// reset closes all connections from one machine to another.
func (n *network) reset(l link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns[l] {
		c.Close()
	}
}

// heal ends all cuts.
func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cuts)
}

func (n *network) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.closers {
		c.Close()
	}
	for _, conns := range n.conns {
		for c := range conns {
			c.Close()
		}
	}
}
