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

// The network stands between all processes of different machines. Each machine uses a port of its own for what it says to
// others, so that what machine a sends to machine b comes to b's address and a's port: there a relay listens, and passes
// it on to b's own port, unless the way from a to b is cut. Nothing needs privileges, and all stays on loopback.
type network struct {
	mu       sync.Mutex
	cuts     map[link]time.Time // until when
	conns    map[link]map[net.Conn]bool
	machines int
	closers  []io.Closer
	senders  map[int]*net.UDPConn // by machine, for datagrams that are passed on in its name
}

// way is the direction from one machine to another.
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

// ipOf is the address of a machine. Runs of other processes have other addresses.
func ipOf(machine int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", addressStart+pid>>7&127, pid&127<<1|machine/machinesPerNet, machine%machinesPerNet+1)
}

// portOf is the port that a machine uses for what it says to others. Runs at the same time have slots of their own.
func portOf(machine int) int { return firstPort + *slotFlag*portsPerSlot + portsPerMachine*machine }

func addressOf(machine, port int) string { return net.JoinHostPort(ipOf(machine), strconv.Itoa(port)) }

// add connects a further machine with all that there are. Control processes alone are dialled.
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
		for _, w := range []link{{machine, other}, {other, machine}} {
			if err := n.relay(w, isControl(w.to)); err != nil {
				return err
			}
		}
	}
	return nil
}

func (n *network) relay(w link, dialled bool) error {
	datagrams, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(ipOf(w.to)), Port: portOf(w.from)})
	if err != nil {
		return err
	}
	n.track(datagrams)
	go n.forwardDatagrams(w, datagrams)
	if !dialled {
		return nil
	}
	listener, err := net.Listen("tcp4", addressOf(w.to, portOf(w.from)))
	if err != nil {
		return err
	}
	n.track(listener)
	go n.forwardConnections(w, listener)
	return nil
}

func (n *network) track(c io.Closer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closers = append(n.closers, c)
}

func (n *network) forwardDatagrams(w link, in *net.UDPConn) {
	buffer := make([]byte, largestUDP)
	to := &net.UDPAddr{IP: net.ParseIP(ipOf(w.to)), Port: portOf(w.to)}
	for {
		size, err := in.Read(buffer)
		if err != nil {
			return
		}
		if !n.isCut(w) {
			n.mu.Lock()
			sender := n.senders[w.from]
			n.mu.Unlock()
			_, _ = sender.WriteToUDP(buffer[:size], to)
		}
	}
}

func (n *network) forwardConnections(w link, listener net.Listener) {
	for {
		in, err := listener.Accept()
		if err != nil {
			return
		}
		go n.forwardConnection(w, in)
	}
}

func (n *network) forwardConnection(w link, in net.Conn) {
	defer in.Close()
	reverse := link{w.to, w.from}
	for n.isCut(w) || n.isCut(reverse) { // it does not come up meanwhile
		time.Sleep(cutPoll)
		if isClosed(in) {
			return
		}
	}
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ipOf(w.from))}, Timeout: time.Second}
	out, err := dialer.Dial("tcp4", addressOf(w.to, portOf(w.to)))
	if err != nil {
		return
	}
	defer out.Close()
	n.trackConn(w, in, true)
	defer n.trackConn(w, in, false)
	done := make(chan struct{}, 2)
	go func() { n.copy(w, out, in); done <- struct{}{} }()
	go func() { n.copy(reverse, in, out); done <- struct{}{} }()
	<-done
}

// isClosed says whether the peer has ended a connection on which nothing was read yet.
func isClosed(c net.Conn) bool {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	_ = raw.Control(func(fd uintptr) { closed = peerHasClosed(int(fd)) })
	return closed
}

func (n *network) trackConn(w link, c net.Conn, held bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.conns[w] == nil {
		n.conns[w] = map[net.Conn]bool{}
	}
	if held {
		n.conns[w][c] = true
	} else {
		delete(n.conns[w], c)
	}
}

// copy passes bytes on; while the way is cut it holds them back.
func (n *network) copy(w link, to, from net.Conn) {
	buffer := make([]byte, relayBuffer)
	for {
		size, err := from.Read(buffer)
		for n.isCut(w) {
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

func (n *network) isCut(w link) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Now().Before(n.cuts[w])
}

// cut parts one machine from another, one way, for a time.
func (n *network) cut(w link, span time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if until := time.Now().Add(span); until.After(n.cuts[w]) {
		n.cuts[w] = until
	}
}

// reset ends all connections between two machines.
func (n *network) reset(w link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns[w] {
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
