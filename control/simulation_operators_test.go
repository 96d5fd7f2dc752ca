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
	sim           *simulation
	number        int
	updateCount   int
	knownRevision int64 // the revision that it believes to be current
	current       *operatorRequest
	inFlight      []*operatorAttempt
	nextAt        time.Duration
	noUpdates     bool
	onlyReads     bool
}

// operatorRequest is what an operator wants, in as many calls as it takes.
type operatorRequest struct {
	record     callRecord
	body       string
	attempts   int
	retryUntil time.Duration
}

// operatorAttempt is one HTTP call in progress.
type operatorAttempt struct {
	request   *operatorRequest
	index     int // in simulation.operatorCalls
	to        *machine
	arrives   time.Duration
	delivered bool
	answer    *response
	answerAt  time.Duration
	redirects int
	abandoned bool
}

func (o *operator) step() {
	sim := o.sim
	for _, att := range o.inFlight {
		o.stepAttempt(att)
	}
	kept := o.inFlight[:0]
	for _, att := range o.inFlight {
		if !att.abandoned || att.delivered && att.answer == nil && att.to.node != nil {
			kept = append(kept, att)
		}
	}
	clear(o.inFlight[len(kept):])
	o.inFlight = kept
	if o.current != nil || sim.now < o.nextAt || o.noUpdates && !o.onlyReads {
		return
	}
	if o.onlyReads || sim.random.IntN(4) == 0 {
		o.begin(&operatorRequest{record: callRecord{kind: readKind, valid: true}})
		return
	}
	if !o.noUpdates {
		o.beginUpdate()
	}
}

// beginUpdate sends an update; at random both operators send one with the same base at the same moment.
func (o *operator) beginUpdate() {
	sim := o.sim
	base := o.knownRevision
	revision := base + 1 + int64(sim.random.IntN(3))
	o.updateCount++
	mark := fmt.Sprintf("%d-%d", o.number, o.updateCount)
	other := sim.operators[(o.number+1)%len(sim.operators)]
	race := sim.random.IntN(4) == 0 && other.current == nil
	same := race && sim.random.IntN(3) == 0 // with the same body
	body := configText(revision, mark)
	valid := sim.random.IntN(12) > 0
	if !valid {
		body = body[:len(body)-1-sim.random.IntN(20)]
	}
	o.begin(newUpdate(base, revision, body, valid))
	if !race {
		return
	}
	if !same {
		body = configText(revision, mark+"-other")
		valid = true
	}
	other.begin(newUpdate(base, revision, body, valid))
}

func newUpdate(base, revision int64, body string, valid bool) *operatorRequest {
	v := version{revision, store.DigestOf(base, []byte(body))}
	return &operatorRequest{record: callRecord{kind: replaceKind, base: base, version: v, valid: valid}, body: body}
}

func (o *operator) begin(r *operatorRequest) {
	o.current = r
	r.retryUntil = o.sim.now + time.Duration(3+o.sim.random.IntN(6))*time.Second
	o.send(r, nil, 0)
}

// send makes one call, to the machine of a redirect or to a random one.
func (o *operator) send(r *operatorRequest, to *machine, redirects int) {
	sim := o.sim
	for to == nil || !to.control || to.removed && sim.now > to.removedAt+listLag {
		to = sim.machines[sim.random.IntN(len(sim.machines))]
	}
	record := r.record
	record.sent, record.done, record.outcome = sim.now, endless, outcomeUnknown
	sim.operatorCalls = append(sim.operatorCalls, record)
	r.attempts++
	att := &operatorAttempt{request: r, index: len(sim.operatorCalls) - 1, to: to, redirects: redirects,
		arrives: sim.now + time.Duration(sim.random.IntN(8))*time.Millisecond}
	o.inFlight = append(o.inFlight, att)
}

func (o *operator) stepAttempt(att *operatorAttempt) {
	sim := o.sim
	if !att.delivered && sim.now >= att.arrives && !att.to.removed {
		if att.to.node == nil {
			o.unanswered(att, false)
			return
		}
		if att.to.running(sim.now) {
			att.delivered = true
			o.ask(att)
		}
	}
	if att.abandoned {
		return
	}
	if att.answer != nil && sim.now >= att.answerAt {
		o.answered(att)
		return
	}
	if sim.now > sim.operatorCalls[att.index].sent+operatorTimeout {
		o.unanswered(att, true)
	}
}

// ask passes a call to the operator handler of a control process.
func (o *operator) ask(att *operatorAttempt) {
	sim, node := o.sim, att.to.node
	answer := func(resp response) {
		lost := node.dead || sim.random.Float64() < sim.ackLoss
		if !lost && att.answer == nil {
			att.answer, att.answerAt = &resp, sim.now+time.Duration(sim.random.IntN(8))*time.Millisecond
		}
	}
	if att.request.record.kind == readKind {
		node.handler.get(nil, nil, answer)
		return
	}
	r := httptest.NewRequest(http.MethodPost, pathReplace, strings.NewReader(att.request.body))
	r.Header.Set(baseVersionHeader, fmt.Sprint(att.request.record.base))
	node.handler.replace(httptest.NewRecorder(), r, answer)
}

// unanswered retries elsewhere or abandons a request. A call that was sent may still take effect.
func (o *operator) unanswered(att *operatorAttempt, sent bool) {
	if att.abandoned {
		return
	}
	att.abandoned = true
	if !sent {
		o.sim.operatorCalls[att.index].outcome = outcomeNoEffect
	}
	o.retry(att)
}

func (o *operator) retry(att *operatorAttempt) {
	sim := o.sim
	if o.current != att.request {
		return
	}
	if sim.now > att.request.retryUntil && !sim.noFaults {
		sim.counts.unknown++
		o.finish()
		return
	}
	o.send(att.request, nil, 0)
	last := o.inFlight[len(o.inFlight)-1]
	pause := time.Duration(20+sim.random.IntN(150)) * time.Millisecond
	last.arrives += pause
	sim.operatorCalls[last.index].sent += pause
}

func (o *operator) finish() {
	sim := o.sim
	o.current = nil
	longest := []int{30, 150, 600}[sim.seed%3]
	o.nextAt = sim.now + time.Duration(sim.random.IntN(longest))*time.Millisecond
}

func (o *operator) answered(att *operatorAttempt) {
	sim := o.sim
	att.abandoned = true
	record := &sim.operatorCalls[att.index]
	record.done = sim.now
	resp := *att.answer
	switch {
	case resp.status == http.StatusOK && record.kind == readKind:
		record.outcome = outcomeAccepted
		o.readBack(record, resp)
	case resp.status == http.StatusOK:
		record.outcome = outcomeAccepted
		sim.counts.acked++
		sim.ackedRevision = max(sim.ackedRevision, record.version.revision)
		sim.recordBody(record.version.revision, att.request.body)
		o.knownRevision = max(o.knownRevision, record.version.revision)
		o.finish()
	case resp.status == http.StatusNotFound && record.kind == readKind:
		record.outcome = outcomeAccepted
		o.finish()
	case resp.status == http.StatusPreconditionFailed, resp.status == http.StatusBadRequest:
		record.outcome = outcomeConflict
		if resp.status == http.StatusBadRequest {
			record.outcome = outcomeInvalid
		}
		sim.counts.refused++
		o.finish()
	case resp.status == http.StatusTemporaryRedirect:
		record.outcome = outcomeNoEffect
		sim.counts.redirected++
		o.redirected(att, resp)
	default:
		record.done = endless
		o.retry(att)
	}
}

func (o *operator) redirected(att *operatorAttempt, resp response) {
	ip := strings.TrimPrefix(resp.location, "http://")
	ip, _, _ = strings.Cut(ip, ":")
	if to := o.sim.machineAt(ip); to != nil && att.redirects < 2 {
		o.send(att.request, to, att.redirects+1)
		return
	}
	o.retry(att)
}

// readBack checks a configuration that was read, and finds the update that made it by its body.
func (o *operator) readBack(record *callRecord, resp response) {
	sim := o.sim
	sim.counts.reads++
	c, err := config.Decode(resp.body)
	if err != nil {
		sim.fail("a read returned %q", resp.body)
	}
	o.knownRevision = c.Revision
	sim.recordBody(c.Revision, string(resp.body))
	found := false
	for _, sent := range sim.operatorCalls {
		if sent.kind == replaceKind && sent.version.revision == c.Revision &&
			store.DigestOf(sent.base, resp.body) == sent.version.digest {
			record.read, found = sent.version, true
			break
		}
	}
	if !found {
		sim.fail("a read returned revision %d, which no operator has sent", c.Revision)
	}
	o.finish()
}

// recordBody checks that a committed revision has the same body everywhere.
func (sim *simulation) recordBody(revision int64, body string) {
	if had, ok := sim.bodies[revision]; ok && had != body {
		sim.fail("revision %d has two bodies: %q and %q", revision, had, body)
	}
	sim.bodies[revision] = body
}

// routerStub replaces the router beside an agent: it checks the updates that it receives, and draws from a tenant's
// limit.
type routerStub struct {
	agent         *agentProcess
	incarnation   uint64
	number        uint64
	requested     map[uint64]time.Duration
	nextRequestAt time.Duration
	revision      int64
	hosts         [hostlist.ShardCount]wire.HostsOffset
	ackedAt       int64 // the newest revision that was acknowledged when the agent started
	slow          *wire.SlowHosts
}

type grantReceived struct {
	at     time.Duration
	amount float64
}

func newRouterStub(p *agentProcess) *routerStub {
	r := &routerStub{agent: p, requested: map[uint64]time.Duration{}, ackedAt: p.sim.ackedRevision,
		incarnation: p.sim.random.Uint64()}
	p.agent.OnRouterMessage(r, &wire.Message{Subscribe: &wire.Subscribe{}})
	return r
}

// restart replaces the router by a new one beside the same agent.
func (r *routerStub) restart() {
	r.agent.agent.RouterDisconnected(r)
	next := &routerStub{agent: r.agent, requested: map[uint64]time.Duration{}, incarnation: r.agent.sim.random.Uint64(),
		revision: r.revision, hosts: r.hosts, ackedAt: r.ackedAt}
	r.agent.router = next
	r.agent.agent.OnRouterMessage(next, &wire.Message{Subscribe: &wire.Subscribe{}})
}

// step draws from the limit at random intervals; numbers start again with each router, so they repeat.
func (r *routerStub) step() {
	sim := r.agent.sim
	if sim.now < r.nextRequestAt || r.revision == 0 {
		return
	}
	r.nextRequestAt = sim.now + time.Duration(20+sim.random.IntN(120))*time.Millisecond
	r.number++
	r.requested[r.number] = sim.now
	request := &wire.QuotaRequest{Router: r.agent.machine.ip, Shard: hostlist.ShardOf("t"), Number: r.number, Tenant: "t",
		Need: 5, Want: 20, Incarnation: r.incarnation, Relay: sim.random.IntN(4) == 0}
	r.agent.agent.OnRouterMessage(r, &wire.Message{QuotaRequest: request})
}

// Send receives an update from the agent.
func (r *routerStub) Send(m *wire.Message) bool {
	if m.SlowHosts != nil {
		r.slow = m.SlowHosts
	}
	sim := r.agent.sim
	switch {
	case m.Config != nil:
		r.onConfig(m.Config)
	case m.Group != nil:
		sim.fail("the router of %s received members, which only agents need", r.agent.machine.ip)
	case m.Hosts != nil:
		if m.Hosts.At.Before(r.hosts[m.Hosts.Shard]) {
			sim.fail("%s received hosts at %v after %v", r.agent.machine.ip, m.Hosts.At, r.hosts[m.Hosts.Shard])
		}
		r.hosts[m.Hosts.Shard] = m.Hosts.At
	case m.QuotaGrant != nil:
		r.onGrant(m.QuotaGrant)
	}
	return true
}

func (r *routerStub) onConfig(c *wire.Config) {
	sim := r.agent.sim
	if c.Revision < r.revision {
		sim.fail("%s received revision %d after %d", r.agent.machine.ip, c.Revision, r.revision)
	}
	if r.revision == 0 {
		sim.counts.firstConfigs++
		if c.Revision < r.ackedAt {
			sim.fail("%s received %d as its first revision; %d had been acknowledged when it started", r.agent.machine.ip,
				c.Revision, r.ackedAt)
		}
	}
	r.revision = c.Revision
	body, err := wire.Inflate(c.Body)
	if err != nil {
		sim.fail("%s received a body that can't be inflated", r.agent.machine.ip)
	}
	sim.recordBody(c.Revision, string(body))
}

func (r *routerStub) onGrant(g *wire.QuotaGrant) {
	sim := r.agent.sim
	if g.Incarnation != r.incarnation {
		sim.counts.staleGrants++
		return
	}
	if _, ok := r.requested[g.Number]; !ok {
		sim.fail("%s received a grant that it did not request, or received it twice", r.agent.machine.ip)
	}
	delete(r.requested, g.Number)
	sim.counts.grants++
	if g.ReplyTo != "" {
		sim.counts.relayed++
	}
	sim.grants = append(sim.grants, grantReceived{sim.now, g.Granted})
}
