package control

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"ivybank/config"
	"ivybank/control/hostlist"
	"ivybank/control/store"
	"ivybank/wire"
)

// plainParser checks configurations without the CUE schema, whose evaluation takes milliseconds each time.
type plainParser struct{}

func (plainParser) Parse(body []byte) (*config.Config, error) {
	c, err := config.Decode(body)
	if err != nil {
		return nil, err
	}
	return c, c.Check()
}

// configText returns a valid configuration; mark distinguishes configurations with the same revision.
func configText(revision int64, mark string) string {
	return fmt.Sprintf(`{"revision":%d,"routes":[{"name":"r-%s","hostname":"a.example","path_prefix":"/a/","route_type":"idempotent",`+
		`"timeout_ms":1000,"target_ms":100,"backend":"service-0","max_attempts":2,"public":false}],"services":[{"name":"service-0"},`+
		`{"name":"service-1"}],"limits":{},"tenants":[{"name":"t","api_keys":["k"],"rate_per_s":%d,"burst":%d}]}`, revision, mark, tenantRate, tenantBurst)
}

const (
	listLag     = 3 * time.Second // of the list of control machines that operators choose from
	tenantRate  = 200
	tenantBurst = 50
)

// operator makes one request at a time, an update or a read, and retries it until it has a definite answer.
type operator struct {
	world  *world
	number int
	made   int
	known  int64 // the revision that it believes to be current
	order  *request
	flying []*flight
	nextAt time.Duration
	quiet  bool
	follow bool
}

// operatorRequest is what an operator wants, in as many calls as it takes.
type request struct {
	call   call
	body   string
	tries  int
	giveUp time.Duration
}

// operatorAttempt is one HTTP call in progress.
type flight struct {
	request   *request
	index     int // in simulation.operatorCalls
	to        *machine
	arrives   time.Duration
	asked     bool
	answer    *response
	answerAt  time.Duration
	redirects int
	givenUp   bool
}

func (o *operator) step() {
	w := o.world
	for _, f := range o.flying {
		o.stepFlight(f)
	}
	kept := o.flying[:0]
	for _, f := range o.flying {
		if !f.givenUp || f.asked && f.answer == nil && f.to.node != nil {
			kept = append(kept, f)
		}
	}
	clear(o.flying[len(kept):])
	o.flying = kept
	if o.order != nil || w.now < o.nextAt || o.quiet && !o.follow {
		return
	}
	if o.follow || w.random.IntN(4) == 0 {
		o.begin(&request{call: call{kind: readCall, valid: true}})
		return
	}
	if !o.quiet {
		o.beginChange()
	}
}

// beginUpdate sends an update; at random both operators send one with the same base at the same moment.
func (o *operator) beginChange() {
	w := o.world
	base := o.known
	revision := base + 1 + int64(w.random.IntN(3))
	o.made++
	mark := fmt.Sprintf("%d-%d", o.number, o.made)
	other := w.opers[(o.number+1)%len(w.opers)]
	race := w.random.IntN(4) == 0 && other.order == nil
	same := race && w.random.IntN(3) == 0 // with the same body
	body := configText(revision, mark)
	valid := w.random.IntN(12) > 0
	if !valid {
		body = body[:len(body)-1-w.random.IntN(20)]
	}
	o.begin(newChange(base, revision, body, valid))
	if !race {
		return
	}
	if !same {
		body = configText(revision, mark+"-other")
		valid = true
	}
	other.begin(newChange(base, revision, body, valid))
}

func newChange(base, revision int64, body string, valid bool) *request {
	order := version{revision, store.DigestOf(base, []byte(body))}
	return &request{call: call{kind: replaceCall, base: base, order: order, valid: valid}, body: body}
}

func (o *operator) begin(r *request) {
	o.order = r
	r.giveUp = o.world.now + time.Duration(3+o.world.random.IntN(6))*time.Second
	o.send(r, nil, 0)
}

// send makes one call, to the machine of a redirect or to a random one.
func (o *operator) send(r *request, to *machine, redirects int) {
	w := o.world
	for to == nil || !to.core || to.gone && w.now > to.goneAt+listLag {
		to = w.machines[w.random.IntN(len(w.machines))]
	}
	one := r.call
	one.sent, one.done, one.outcome = w.now, endless, unknown
	w.calls = append(w.calls, one)
	r.tries++
	f := &flight{request: r, index: len(w.calls) - 1, to: to, redirects: redirects,
		arrives: w.now + time.Duration(w.random.IntN(8))*time.Millisecond}
	o.flying = append(o.flying, f)
}

func (o *operator) stepFlight(f *flight) {
	w := o.world
	if !f.asked && w.now >= f.arrives && !f.to.gone {
		if f.to.node == nil {
			o.unanswered(f, false)
			return
		}
		if f.to.running(w.now) {
			f.asked = true
			o.ask(f)
		}
	}
	if f.givenUp {
		return
	}
	if f.answer != nil && w.now >= f.answerAt {
		o.answered(f)
		return
	}
	if w.now > w.calls[f.index].sent+callPatience {
		o.unanswered(f, true)
	}
}

// ask passes a call to the operator handler of a control process.
func (o *operator) ask(f *flight) {
	w, node := o.world, f.to.node
	answer := func(resp response) {
		lost := node.dead || w.random.Float64() < w.ackLoss
		if !lost && f.answer == nil {
			f.answer, f.answerAt = &resp, w.now+time.Duration(w.random.IntN(8))*time.Millisecond
		}
	}
	if f.request.call.kind == readCall {
		node.handler.get(nil, nil, answer)
		return
	}
	r := httptest.NewRequest(http.MethodPost, pathReplace, strings.NewReader(f.request.body))
	r.Header.Set(baseVersionHeader, fmt.Sprint(f.request.call.base))
	node.handler.replace(httptest.NewRecorder(), r, answer)
}

// unanswered retries elsewhere or abandons a request. A call that was sent may still take effect.
func (o *operator) unanswered(f *flight, sent bool) {
	if f.givenUp {
		return
	}
	f.givenUp = true
	if !sent {
		o.world.calls[f.index].outcome = nothing
	}
	o.again(f)
}

func (o *operator) again(f *flight) {
	w := o.world
	if o.order != f.request {
		return
	}
	if w.now > f.request.giveUp && !w.calm {
		w.counts.unknown++
		o.finish()
		return
	}
	o.send(f.request, nil, 0)
	last := o.flying[len(o.flying)-1]
	pause := time.Duration(20+w.random.IntN(150)) * time.Millisecond
	last.arrives += pause
	w.calls[last.index].sent += pause
}

func (o *operator) finish() {
	w := o.world
	o.order = nil
	longest := []int{30, 150, 600}[w.seed%3]
	o.nextAt = w.now + time.Duration(w.random.IntN(longest))*time.Millisecond
}

func (o *operator) answered(f *flight) {
	w := o.world
	f.givenUp = true
	one := &w.calls[f.index]
	one.done = w.now
	resp := *f.answer
	switch {
	case resp.status == http.StatusOK && one.kind == readCall:
		one.outcome = accept
		o.readBack(one, resp)
	case resp.status == http.StatusOK:
		one.outcome = accept
		w.counts.acked++
		w.ackedRevision = max(w.ackedRevision, one.order.revision)
		w.noteBody(one.order.revision, f.request.body)
		o.known = max(o.known, one.order.revision)
		o.finish()
	case resp.status == http.StatusNotFound && one.kind == readCall:
		one.outcome = accept
		o.finish()
	case resp.status == http.StatusPreconditionFailed, resp.status == http.StatusBadRequest:
		one.outcome = conflict
		if resp.status == http.StatusBadRequest {
			one.outcome = invalid
		}
		w.counts.refused++
		o.finish()
	case resp.status == http.StatusTemporaryRedirect:
		one.outcome = nothing
		w.counts.redirected++
		o.redirected(f, resp)
	default:
		one.done = endless
		o.again(f)
	}
}

func (o *operator) redirected(f *flight, resp response) {
	ip := strings.TrimPrefix(resp.location, "http://")
	ip, _, _ = strings.Cut(ip, ":")
	if to := o.world.machineAt(ip); to != nil && f.redirects < 2 {
		o.send(f.request, to, f.redirects+1)
		return
	}
	o.again(f)
}

// readBack checks a configuration that was read, and finds the update that made it by its body.
func (o *operator) readBack(one *call, resp response) {
	w := o.world
	w.counts.reads++
	c, err := config.Decode(resp.body)
	if err != nil {
		w.fail("a read returned %q", resp.body)
	}
	o.known = c.Revision
	w.noteBody(c.Revision, string(resp.body))
	found := false
	for _, sent := range w.calls {
		if sent.kind == replaceCall && sent.order.revision == c.Revision && store.DigestOf(sent.base, resp.body) == sent.order.digest {
			one.read, found = sent.order, true
			break
		}
	}
	if !found {
		w.fail("a read returned revision %d, which no operator has sent", c.Revision)
	}
	o.finish()
}

// recordBody checks that a committed revision has the same body everywhere.
func (w *world) noteBody(revision int64, body string) {
	if had, ok := w.bodies[revision]; ok && had != body {
		w.fail("revision %d has two bodies: %q and %q", revision, had, body)
	}
	w.bodies[revision] = body
}

// routerStub replaces the router beside an agent: it checks the updates that it receives, and draws from a tenant's
// limit.
type routerStub struct {
	agent    *agentProcess
	life     uint64
	number   uint64
	asked    map[uint64]time.Duration
	askAt    time.Duration
	revision int64
	hosts    [hostlist.ShardCount]wire.HostsOffset
	ackedAt  int64 // the newest revision that was acknowledged when the agent started
	slow     *wire.SlowHosts
}

type grantTaken struct {
	at     time.Duration
	amount float64
}

func newRouterStub(p *agentProcess) *routerStub {
	r := &routerStub{agent: p, asked: map[uint64]time.Duration{}, ackedAt: p.world.ackedRevision, life: p.world.random.Uint64()}
	p.agent.OnRouterMessage(r, &wire.Message{Subscribe: &wire.Subscribe{}})
	return r
}

// restart replaces the router by a new one beside the same agent.
func (r *routerStub) restart() {
	r.agent.agent.RouterDisconnected(r)
	next := &routerStub{agent: r.agent, asked: map[uint64]time.Duration{}, life: r.agent.world.random.Uint64(), revision: r.revision,
		hosts: r.hosts, ackedAt: r.ackedAt}
	r.agent.router = next
	r.agent.agent.OnRouterMessage(next, &wire.Message{Subscribe: &wire.Subscribe{}})
}

// step draws from the limit at random intervals; numbers start again with each router, so they repeat.
func (r *routerStub) step() {
	w := r.agent.world
	if w.now < r.askAt || r.revision == 0 {
		return
	}
	r.askAt = w.now + time.Duration(20+w.random.IntN(120))*time.Millisecond
	r.number++
	r.asked[r.number] = w.now
	ask := &wire.QuotaRequest{Router: r.agent.machine.ip, Shard: hostlist.ShardOf("t"), Number: r.number, Tenant: "t", Need: 5, Want: 20, Incarnation: r.life,
		Relay: w.random.IntN(4) == 0}
	r.agent.agent.OnRouterMessage(r, &wire.Message{QuotaRequest: ask})
}

// Send receives an update from the agent.
func (r *routerStub) Send(m *wire.Message) bool {
	if m.SlowHosts != nil {
		r.slow = m.SlowHosts
	}
	w := r.agent.world
	switch {
	case m.Config != nil:
		r.onConfig(m.Config)
	case m.Group != nil:
		w.fail("the router of %s received members, which only agents need", r.agent.machine.ip)
	case m.Hosts != nil:
		if m.Hosts.At.Before(r.hosts[m.Hosts.Shard]) {
			w.fail("%s received hosts at %v after %v", r.agent.machine.ip, m.Hosts.At, r.hosts[m.Hosts.Shard])
		}
		r.hosts[m.Hosts.Shard] = m.Hosts.At
	case m.QuotaGrant != nil:
		r.onGrant(m.QuotaGrant)
	}
	return true
}

func (r *routerStub) onConfig(c *wire.Config) {
	w := r.agent.world
	if c.Revision < r.revision {
		w.fail("%s received revision %d after %d", r.agent.machine.ip, c.Revision, r.revision)
	}
	if r.revision == 0 {
		w.counts.firstConfigs++
		if c.Revision < r.ackedAt {
			w.fail("%s received %d as its first revision; %d had been acknowledged when it started", r.agent.machine.ip, c.Revision, r.ackedAt)
		}
	}
	r.revision = c.Revision
	body, err := wire.Inflate(c.Body)
	if err != nil {
		w.fail("%s received a body that can't be inflated", r.agent.machine.ip)
	}
	w.noteBody(c.Revision, string(body))
}

func (r *routerStub) onGrant(g *wire.QuotaGrant) {
	w := r.agent.world
	if g.Incarnation != r.life {
		w.counts.crossed++
		return
	}
	if _, ok := r.asked[g.Number]; !ok {
		w.fail("%s received a grant that it did not request, or received it twice", r.agent.machine.ip)
	}
	delete(r.asked, g.Number)
	w.counts.grants++
	if g.ReplyTo != "" {
		w.counts.relayed++
	}
	w.grants = append(w.grants, grantTaken{w.now, g.Granted})
}
