package membership

import (
	"context"
	"errors"
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
	shuffleInterval  = 2 * time.Second
	maxDatagramBytes = 2048
	// receiveRetryDelay is the pause after an error of the socket.
	receiveRetryDelay = 50 * time.Millisecond
)

// datagramConn is a UDP socket.
type datagramConn interface {
	ReadFromUDP(b []byte) (int, *net.UDPAddr, error)
	WriteToUDP(b []byte, to *net.UDPAddr) (int, error)
	Close() error
}

// datagram is the content of a UDP datagram: a sample of peers or a message.
type datagram struct {
	Answer  bool   `cbor:"1,keyasint,omitempty"`
	Sample  []Peer `cbor:"2,keyasint"`
	Message []byte `cbor:"3,keyasint,omitempty"` // application message; there is no sample then
}

// Service runs a view over UDP, on one port that is the same on all machines. It is safe for concurrent use.
type Service struct {
	mu     sync.Mutex
	view   *View
	conn   datagramConn
	port   int
	handle func(from string, message []byte) bool
	// Malformed counts datagrams that could not be decoded.
	Malformed atomic.Int64
}

// Listen opens the UDP port on a machine's address.
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

// AddPeers adds machines that are known from elsewhere, such as seeds.
func (s *Service) AddPeers(control bool, ips ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, ip := range ips {
		s.view.AddPeer(Peer{IP: ip, Control: control})
	}
}

// ControlIPs returns the addresses of the known machines with control processes.
func (s *Service) ControlIPs() []string { return s.ips(true) }

// AgentIPs returns the addresses of the other known machines.
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

// OnMessage sets the handler for messages of other processes. handle returns false for a message that it can't decode.
// OnMessage has to be called before Run.
func (s *Service) OnMessage(handle func(from string, message []byte) bool) { s.handle = handle }

// Send sends a message to the process at an address. The message may be lost.
func (s *Service) Send(ip string, message []byte) {
	s.send(net.ParseIP(ip), &datagram{Message: message})
}

// Close closes the port.
func (s *Service) Close() { s.conn.Close() }

// Run exchanges samples and receives datagrams until the context ends.
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

// receive handles datagrams until the socket is closed. Any other error of the socket passes.
func (s *Service) receive() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := s.conn.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(receiveRetryDelay)
			continue
		}
		var d datagram
		if cbor.Unmarshal(buffer[:n], &d) != nil || len(d.Sample) > 2*shuffleSize {
			s.Malformed.Add(1)
			continue
		}
		if len(d.Message) > 0 {
			if s.handle == nil || !s.handle(from.IP.String(), d.Message) {
				s.Malformed.Add(1)
			}
			continue
		}
		s.mu.Lock()
		var answer []Peer
		if d.Answer {
			s.view.HandleReply(from.IP.String(), d.Sample)
		} else {
			answer = s.view.HandleRequest(from.IP.String(), d.Sample)
		}
		s.mu.Unlock()
		if answer != nil {
			s.send(from.IP, &datagram{Answer: true, Sample: answer})
		}
	}
}
