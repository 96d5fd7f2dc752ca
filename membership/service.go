package membership

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
)

const (
	shuffleInterval = 2 * time.Second
	largestDatagram = 2048
)

// datagram is what goes over the network.
type datagram struct {
	Answer  bool   `cbor:"1,keyasint,omitempty"`
	Sample  []Peer `cbor:"2,keyasint"`
	Message []byte `cbor:"3,keyasint,omitempty"` // of the process, for the one at the other end; then there is no sample
}

// Service runs a view over UDP, on one port that is the same on all machines. It is safe for concurrent use.
type Service struct {
	mu   sync.Mutex
	view *View
	conn *net.UDPConn
	port int
	take func(from string, message []byte) bool
	// Spoilt counts datagrams that could not be read.
	Spoilt atomic.Int64
}

// Listen opens the port of a machine.
func Listen(self Peer, port int) (*Service, error) {
	address, err := net.ResolveUDPAddr("udp4", net.JoinHostPort(self.IP, strconv.Itoa(port)))
	if err != nil {
		return nil, fmt.Errorf("membership: %w", err)
	}
	conn, err := net.ListenUDP("udp4", address)
	if err != nil {
		return nil, fmt.Errorf("membership: %w", err)
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &Service{view: NewView(self, random), conn: conn, port: port}, nil
}

// Introduce adds machines that are known from elsewhere.
func (s *Service) Introduce(control bool, ips ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, ip := range ips {
		s.view.Introduce(Peer{IP: ip, Control: control})
	}
}

// ControlIPs gives the machines with control processes that this one has heard of.
func (s *Service) ControlIPs() []string { return s.ips(true) }

// AgentIPs gives the other machines that this one has heard of.
func (s *Service) AgentIPs() []string { return s.ips(false) }

func (s *Service) ips(control bool) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ips []string
	for _, p := range s.view.Peers() {
		if p.Control == control {
			ips = append(ips, p.IP)
		}
	}
	return ips
}

// OnMessage has messages of other processes taken. take reports false for one that it can't read. To be called before Run.
func (s *Service) OnMessage(take func(from string, message []byte) bool) { s.take = take }

// Send sends a message to the process at an address. It may be lost.
func (s *Service) Send(ip string, message []byte) {
	s.send(net.ParseIP(ip), &datagram{Message: message})
}

// Close gives the port back.
func (s *Service) Close() { s.conn.Close() }

// Run shuffles until the context ends.
func (s *Service) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { s.conn.Close() })
	defer stop()
	go s.receive()
	for ctx.Err() == nil {
		jittered := time.Duration(float64(shuffleInterval) * (0.5 + rand.Float64()))
		select {
		case <-ctx.Done():
			return
		case <-time.After(jittered):
		}
		s.mu.Lock()
		to, sample, ok := s.view.Shuffle()
		s.mu.Unlock()
		if ok {
			s.send(net.ParseIP(to), &datagram{Sample: sample})
		}
	}
}

func (s *Service) send(to net.IP, d *datagram) {
	body, err := cbor.Marshal(d)
	if err != nil || to == nil {
		return
	}
	_, _ = s.conn.WriteToUDP(body, &net.UDPAddr{IP: to, Port: s.port}) // datagrams may be lost anyway
}

func (s *Service) receive() {
	buffer := make([]byte, largestDatagram)
	for {
		n, from, err := s.conn.ReadFromUDP(buffer)
		if err != nil {
			if ne, ok := err.(net.Error); ok && ne.Timeout() {
				continue
			}
			return
		}
		var d datagram
		if cbor.Unmarshal(buffer[:n], &d) != nil || len(d.Sample) > 2*shuffleSize {
			s.Spoilt.Add(1)
			continue
		}
		if len(d.Message) > 0 {
			if s.take == nil || !s.take(from.IP.String(), d.Message) {
				s.Spoilt.Add(1)
			}
			continue
		}
		s.mu.Lock()
		var answer []Peer
		if d.Answer {
			s.view.Answered(from.IP.String(), d.Sample)
		} else {
			answer = s.view.Asked(from.IP.String(), d.Sample)
		}
		s.mu.Unlock()
		if answer != nil {
			s.send(from.IP, &datagram{Answer: true, Sample: answer})
		}
	}
}
