package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Case flood: hosts in trouble send bytes that form no answer. The machine kills a process that goes over memory_mb.

const (
	floodClients  = 16
	floodWork     = 250 * time.Millisecond
	floodRate     = 100 << 20 // bytes a second from all hosts together, less than link_mbps
	floodChunk    = 1 << 20
	floodSpan     = 10 * time.Second // of the clients
	frontMemoryMB = 284
	memorySample  = 20 * time.Millisecond
	restartDelay  = 500 * time.Millisecond
	allowedLost   = 3
)

func floodConfig() map[string]any {
	return config(map[string]any{"route_type": "unsafe", "timeout_ms": 4000, "target_ms": 600, "max_attempts": 1})
}

func floodHost(p *play) hostBehaviour {
	return func(h *host, w http.ResponseWriter, _ *http.Request, of run) {
		if (h.id == "i-1" || h.id == "i-2") && garbleNow() {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			p.record.add("disruption: %s sends bytes that form no answer in run %d", h.id, of.number)
			sent := sendNonsense(conn)
			p.record.add("%s: the connection of run %d is closed after %d MB", h.id, of.number, sent>>20)
			return
		}
		time.Sleep(floodWork)
		w.Header().Set("Response-Seal", h.seal(of))
		fmt.Fprintf(w, "done by %s in run %d", h.id, of.number)
	}
}

// pace holds all hosts together to floodRate.
var pace struct {
	mu   sync.Mutex
	next time.Time // when the next chunk may be sent
}

// waitTurn waits until one more chunk may be sent.
func waitTurn() {
	pace.mu.Lock()
	if now := time.Now(); pace.next.Before(now) {
		pace.next = now
	}
	at := pace.next
	pace.next = at.Add(time.Second * floodChunk / floodRate)
	pace.mu.Unlock()
	time.Sleep(time.Until(at))
}

// sendNonsense sends bytes until the connection or the disruption ends, and returns how many.
func sendNonsense(conn net.Conn) int {
	defer conn.Close()
	chunk := bytes.Repeat([]byte("nonsense"), floodChunk/8)
	sent := 0
	for inTrouble() {
		waitTurn()
		n, err := conn.Write(chunk)
		sent += n
		if err != nil {
			break
		}
	}
	return sent
}

// inTrouble reports whether the disruption is on.
func inTrouble() bool {
	garble.mu.Lock()
	defer garble.mu.Unlock()
	return garble.on
}

// residentMB returns the memory that a process holds for itself.
func residentMB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "RssAnon:" {
			kb, _ := strconv.Atoi(fields[1])
			return kb >> 10
		}
	}
	return 0
}

// limitMemory kills the router whenever it goes over the machine's limit, and starts it again. It returns how often
// through kills, which counts at the end of the run.
func (p *play) limitMemory(stop <-chan struct{}) (kills, most int) {
	for {
		select {
		case <-stop:
			return kills, most
		case <-time.After(memorySample):
		}
		router := p.fleet.processOf("router")
		mb := residentMB(router.command.Process.Pid)
		most = max(most, mb)
		if mb <= frontMemoryMB {
			continue
		}
		kills++
		p.record.add("machine: the router has %d MB, over memory_mb = %d; it is killed", mb, frontMemoryMB)
		router.mayEnd = true
		_ = router.command.Process.Signal(syscall.SIGKILL)
		<-router.done
		time.Sleep(restartDelay)
		if err := p.fleet.start("router", frontNumber, "target/ivyfleet", "router"); err != nil {
			p.record.add("machine: the router doesn't start: %v", err)
			return kills, most
		}
	}
}

// processOf returns the newest process of a name.
func (f *fleet) processOf(name string) *process {
	f.mu.Lock()
	defer f.mu.Unlock()
	var newest *process
	for _, p := range f.processes {
		if p.name == name {
			newest = p
		}
	}
	return newest
}

func runFlood(p *play) (int, error) {
	stop := make(chan struct{})
	var machine sync.WaitGroup
	kills, most := 0, 0
	machine.Go(func() { kills, most = p.limitMemory(stop) })
	p.garbleFrom("i-1 and i-2 send bytes that form no answer to 3 in 100 requests", garbleFirst)
	var mu sync.Mutex
	sent, served, failed, lost := 0, 0, 0, 0
	p.everyClient(floodClients, floodSpan, 20*time.Millisecond, func(c *client) {
		a := c.send("/a/extract", 4*time.Second, []byte("extract"))
		runs := p.ledger.of(a.id)
		sound := len(runs) > 0 && runs[0].host != "i-1" && runs[0].host != "i-2"
		mu.Lock()
		defer mu.Unlock()
		sent++
		switch {
		case a.status == http.StatusOK && a.complete:
			served++
		case a.status == 0 && sound:
			lost++
			p.record.add("LOST: %s was passed on to a sound host (%v), and its connection is closed without an answer", a.id, runs)
		default:
			failed++
		}
	})
	close(stop)
	machine.Wait()
	p.record.add("sent %d, served %d, failed otherwise %d; the router was killed over its memory %d times (at most %d MB seen); lost at sound hosts %d; the rule allows %d",
		sent, served, failed, kills, most, lost, allowedLost)
	if lost > allowedLost {
		return broken, nil
	}
	return held, nil
}
