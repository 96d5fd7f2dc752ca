package lab

// This file holds the emulated servers and discovery on loopback, which speak the proxy's protocol. They use the same
// server model as virtual time; the model is always called with the clock's lock held. Every proxy has listeners of its
// own, so that each link can fail alone.

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"ivybank/balance"
	"ivybank/rehearse/emu"
)

// startServer listens as one server for one proxy. While the server's process is gone it does not listen.
func (r *rig) startServer(proxy int, s *emu.Server) (string, error) {
	l, err := net.Listen("tcp", r.listenAddr(hostNet))
	if err != nil {
		return "", err
	}
	addr := l.Addr().String()
	r.wait.Go(func() {
		for {
			r.accept(proxy, s, l)
			for up := false; !up; { // the process is gone: wait until it starts
				select {
				case <-r.ctx.Done():
					return
				case <-time.After(2 * time.Millisecond):
				}
				r.clock.Do(func() { up = s.AcceptsConnections() || s.Unresponsive() })
			}
			if l, err = net.Listen("tcp", addr); err != nil {
				return
			}
		}
	})
	return addr, nil
}

// accept accepts connections until the server's process is gone, and then resets them.
func (r *rig) accept(proxy int, s *emu.Server, l net.Listener) {
	ended := make(chan bool)
	r.wait.Go(func() {
		defer l.Close()
		for {
			select {
			case <-r.ctx.Done():
				r.reset(s.ID, proxy)
				return
			case <-ended:
				return
			case <-time.After(2 * time.Millisecond):
			}
			gone := false
			r.clock.Do(func() { gone = !s.AcceptsConnections() && !s.Unresponsive() })
			if gone {
				r.reset(s.ID, proxy)
				return
			}
		}
	})
	defer close(ended)
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.open[c] = fmt.Sprint(s.ID, " ", proxy)
		r.mu.Unlock()
		r.clock.Do(func() { r.observed.conns[s.ID] = append(r.observed.conns[s.ID], r.clock.Now()) })
		r.wait.Go(func() {
			r.serve(proxy, s, c)
			r.mu.Lock()
			delete(r.open, c)
			r.mu.Unlock()
			_ = c.Close()
		})
	}
}

// reset resets all connections between a server and a proxy.
func (r *rig) reset(id string, proxy int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c, of := range r.open {
		if of == fmt.Sprint(id, " ", proxy) {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}
}

// serve answers the requests of one connection by the server model.
func (r *rig) serve(proxy int, s *emu.Server, c net.Conn) {
	in := bufio.NewReader(c)
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		sent := r.clock.Now()
		q, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		if q.URL.Path == probePath {
			if !r.answerProbe(proxy, s, c) {
				_, _ = in.Peek(1)
				return
			}
			continue
		}
		id := q.Header.Get("Request-Id")
		if id == "" {
			r.unidentifiedCalls.Add(1)
			return
		}
		if key := q.Header.Get(r.e.Load.Key); r.e.Load.Key != "" && key != "" {
			id = key // count executions by idempotency key, over all attempts of the client
		}
		outcome := make(chan balance.Outcome, 1)
		job := &emu.Job{RequestID: id, Balancer: proxy, SentAt: sent, Key: q.Header.Get("Affinity-Key"), RuleSet: r.ruleSet(q.Header.Get("Request-Class")),
			Done: func(o balance.Outcome) { outcome <- o }}
		_, _ = fmt.Sscanf(q.Header.Get("Request-Info"), "CostGuessNs=%d", &job.Work)
		var load emu.LoadReport
		r.clock.Do(func() {
			if r.cuts.servers[proxy][s.ID] > 0 {
				return
			}
			r.fleet.Checker.AttemptSent(proxy, s.ID, id)
			r.observed.sends++
			r.observed.dispatches[proxy][s.ID] = append(r.observed.dispatches[proxy][s.ID], sent)
			if !r.observed.reqs[id] {
				asked, known := r.requestTimes[q.Header.Get("Request-Id")]
				if !known {
					asked = sent // not sent by a client of the load
				}
				r.observed.firsts = append(r.observed.firsts, Arrival{Asked: asked, At: sent, Proxy: proxy,
					RuleSet: q.Header.Get("Request-Class"), Tenant: q.Header.Get("Tenant")})
			}
			r.observed.reqs[id] = true
			if _, arrives := r.fleet.Delivery(r.e.zone(proxy), s); arrives {
				s.Offer(job)
			}
		})
		left := make(chan bool)
		r.wait.Go(func() { // the proxy cancels by closing the connection; it does not pipeline
			_, _ = in.Peek(1)
			close(left)
		})
		select {
		case o := <-outcome:
			cut := false
			r.clock.Do(func() { load, cut = s.Report(), r.cuts.servers[proxy][s.ID] > 0 })
			if cut {
				<-left
				return
			}
			if !r.writeOutcome(c, o, id, load) {
				return
			}
			<-left
		case <-left:
			r.clock.Do(func() { s.Cancel(job) })
			return
		}
	}
}

// probePath is the path of probes.
const probePath = "/ping"

// answerProbe answers a probe; it returns false if no answer was sent.
func (r *rig) answerProbe(proxy int, s *emu.Server, c net.Conn) bool {
	says := false
	r.clock.Do(func() {
		if r.cuts.servers[proxy][s.ID] > 0 {
			return
		}
		r.observed.probes[s.ID]++
		says = s.Healthy()
	})
	if !says {
		return false
	}
	_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	return err == nil
}

// dropWatches ends the proxy's open watch at discovery.
func (r *rig) dropWatches(proxy int) {
	select {
	case r.watchDrops[proxy] <- true:
	default:
	}
}

// writeOutcome writes the response to an outcome; it returns false if the connection ends.
func (r *rig) writeOutcome(c net.Conn, o balance.Outcome, id string, load emu.LoadReport) bool {
	status, more, body := "200 OK", "", id
	switch o {
	case balance.Served:
	case balance.Refused:
		status, more, body = "503 Service Unavailable", "Not-Started: 1\r\n", ""
	case balance.Errored:
		status, body = "500 Internal Server Error", ""
	default:
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	}
	_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\n%sServer-Load: TEXT inflight=%d, queue=%d, util=%.2f\r\nContent-Length: %d\r\n\r\n%s", status, more,
		load.InFlight, load.Waiting, load.Util, len(body), body)
	return err == nil
}

func (r *rig) ruleSet(name string) balance.RuleSet {
	if x := r.balanceConfig.RuleSet(name); x != nil {
		return *x
	}
	return balance.RuleSet{Name: name, Effect: balance.NonReplayable}
}

var states = map[balance.State]string{balance.Running: "ready", balance.Draining: "draining", balance.Gone: "gone"}

// listLine encodes one line of the server list, with the addresses that a proxy uses.
func (r *rig) listLine(proxy int, reset bool, version int64, servers []balance.Server) []byte {
	type entry map[string]any
	list := []entry{}
	for _, s := range servers {
		addr := ""
		for i, x := range r.fleet.Servers {
			if x.ID == s.ID {
				addr = r.addrs[proxy][i]
			}
		}
		list = append(list, entry{"instanceId": s.ID, "hostPort": addr, "zone": s.Zone, "cell": s.Cell, "lifecycle": states[s.State],
			"weight": s.Share, "startedAtMs": float64(s.Since) / 1e6})
	}
	text, err := json.Marshal(map[string]any{"generation": version, "reset": reset, "instances": list})
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	return text
}

// discovery starts the discovery service of one proxy, which streams the server list and its changes, and returns its
// address.
func (r *rig) discovery(proxy int) (string, error) {
	l, err := net.Listen("tcp", r.listenAddr(hostNet))
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		lines := make(chan []byte, 1024)
		ended := make(chan bool)
		down, gone := false, false
		r.clock.Do(func() {
			r.observed.calls[""] = append(r.observed.calls[""], r.clock.Now())
			if down = r.fleet.DiscoveryDown() || r.cuts.discovery[proxy] > 0; down {
				return
			}
			servers, version := r.fleet.List()
			lines <- r.listLine(proxy, true, version, servers)
			for _, s := range servers {
				r.fleet.Checker.StateAnnounced(proxy, s.ID, s.State)
			}
			r.fleet.Watch(func(e emu.ListChange) {
				if gone { // the connection has ended: send nothing
					return
				}
				select {
				case lines <- r.listLine(proxy, false, e.Version, []balance.Server{e.Server}):
					r.fleet.Checker.StateAnnounced(proxy, e.Server.ID, e.Server.State)
				default: // the proxy does not read: drop the change
				}
			}, func() { close(ended) })
		})
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		defer r.clock.Do(func() { gone = true })
		for {
			var line []byte
			select {
			case line = <-lines:
			case <-time.After(emptyLineInterval):
			case <-ended:
				return
			case <-r.watchDrops[proxy]:
				return
			case <-q.Context().Done():
				return
			}
			if _, err := w.Write(append(line, '\n')); err != nil {
				return
			}
			_ = http.NewResponseController(w).Flush()
		}
	})}
	r.wait.Go(func() { _ = server.Serve(l) })
	r.wait.Go(func() { <-r.ctx.Done(); _ = server.Close() })
	return l.Addr().String(), nil
}
