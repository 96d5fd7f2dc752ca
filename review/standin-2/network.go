package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"time"
)

const (
	portsPerMachine = 4 // the first is the internal port, the second the one between router and agent
	lowestPort      = 10000
	portSpan        = 20000
	controlPort     = 8665
	frontPort       = 8662
	readyPort       = 8663
	cutPoll         = 10 * time.Millisecond
)

// pair is one direction between two machines.
type pair struct{ from, to int }

// network carries everything that machines say to each other. Each machine has an address of its own and its own
// internal port, at which it also calls the others: what machine a sends to machine b arrives at b's address and a's
// port, where a relay passes it on to b's own port, unless the direction is cut. A cut is silent: bytes are held back
// and new connections stay without an answer.
type network struct {
	base     int // chooses the addresses
	first    int // the first machine's first port
	machines int
	mu       sync.Mutex
	cut      map[pair]bool
	open     []io.Closer
}

func newNetwork(attempt, machines int) (*network, error) {
	n := &network{base: os.Getpid()<<2 + attempt, machines: machines, cut: map[pair]bool{}}
	if err := n.choosePorts(); err != nil {
		return nil, err
	}
	for from := range machines {
		for to := range machines {
			if from == to {
				continue
			}
			if err := n.relay(pair{from, to}); err != nil {
				n.close()
				return nil, err
			}
		}
	}
	return n, nil
}

func (n *network) ip(machine int) string {
	return fmt.Sprintf("127.%d.%d.%d", 64+n.base>>8&127, n.base&255, machine+1)
}

func (n *network) port(machine int) int { return n.first + portsPerMachine*machine }

// choosePorts chooses ports of which those between routers and agents, which all machines have at 127.0.0.1, are free.
func (n *network) choosePorts() error {
	for range 100 {
		n.first = lowestPort + rand.IntN(portSpan)
		free := true
		for machine := range n.machines {
			listener, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", n.port(machine)+1))
			if err != nil {
				free = false
				break
			}
			listener.Close()
		}
		if free {
			return nil
		}
	}
	return errors.New("no free ports")
}

func (n *network) address(machine, port int) string {
	return fmt.Sprintf("%s:%d", n.ip(machine), port)
}

func (n *network) setCut(a, b int, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[pair{a, b}], n.cut[pair{b, a}] = cut, cut
}

func (n *network) isCut(p pair) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[p]
}

func (n *network) keep(c io.Closer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.open = append(n.open, c)
}

func (n *network) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.open {
		c.Close()
	}
}

// relay opens the place at which one machine hears another.
func (n *network) relay(p pair) error {
	listener, err := net.Listen("tcp4", n.address(p.to, n.port(p.from)))
	if err != nil {
		return err
	}
	n.keep(listener)
	datagrams, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(n.ip(p.to)), Port: n.port(p.from)})
	if err != nil {
		return err
	}
	n.keep(datagrams)
	sender, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(n.ip(p.from))})
	if err != nil {
		return err
	}
	n.keep(sender)
	go n.passConnections(p, listener)
	go n.passDatagrams(p, datagrams, sender)
	return nil
}

func (n *network) passDatagrams(p pair, in, out *net.UDPConn) {
	to := &net.UDPAddr{IP: net.ParseIP(n.ip(p.to)), Port: n.port(p.to)}
	buffer := make([]byte, 4096)
	for {
		size, err := in.Read(buffer)
		if err != nil {
			return
		}
		if !n.isCut(p) {
			_, _ = out.WriteToUDP(buffer[:size], to)
		}
	}
}

func (n *network) passConnections(p pair, listener net.Listener) {
	for {
		in, err := listener.Accept()
		if err != nil {
			return
		}
		go n.passConnection(p, in)
	}
}

func (n *network) passConnection(p pair, in net.Conn) {
	defer in.Close()
	n.wait(p)
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(n.ip(p.from))}, Timeout: time.Second}
	out, err := dialer.Dial("tcp4", n.address(p.to, n.port(p.to)))
	if err != nil {
		return
	}
	defer out.Close()
	ended := make(chan struct{}, 2)
	go func() { n.copy(p, out, in); ended <- struct{}{} }()
	go func() { n.copy(pair{p.to, p.from}, in, out); ended <- struct{}{} }()
	<-ended
}

// wait returns once the direction is not cut.
func (n *network) wait(p pair) {
	for n.isCut(p) {
		time.Sleep(cutPoll)
	}
}

func (n *network) copy(p pair, to, from net.Conn) {
	buffer := make([]byte, 16<<10)
	for {
		size, err := from.Read(buffer)
		n.wait(p)
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
