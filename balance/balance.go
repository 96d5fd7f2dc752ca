// Package balance makes all dispatch decisions of one proxy instance. A host creates a Balancer, reports each
// event to it (which only updates its state) and then, and whenever a Wake is due, carries out the decisions
// of Next(now) until it reports false. The host passes in the time, in ns. docs/design.md gives the reasons.
package balance

import (
	"cmp"
	"fmt"
	"math"
	"math/bits"
	"slices"
	"strconv"
	"time"

	"ivybank/balance/outlier"
	"ivybank/internal/decay"
	"ivybank/internal/rng"
)

const (
	ms, sec = int64(1e6), int64(1e9)

	minHealth        = outlier.MinHealth           // lower bound of a server's health
	streakLimit      = outlier.ConsecutiveFailures // consecutive failures that eject a server, as a rule
	maxStreakLimit   = 4                           // upper bound where streaks are common by chance
	randomStreakOdds = 1e-4                        // a streak counts as chance if it is more probable than this
	backoffJitter    = outlier.BackoffJitter       // random fraction of an ejection's duration
	firstBackoff     = int64(outlier.FirstBackoff) // upper bound of a first ejection's duration
	backoffTargets   = 6                           // in shortest response targets: streaks come faster there
	recoveredHealth  = outlier.RecoveredHealth     // health from which a server's backoff starts over

	skipFactor      = 1.6      // a server is skipped above this multiple of its share of all in flight,
	skipSlack       = 2.0      // plus this many dispatches
	serverShare     = 0.14     // fraction of the response target that one server's in-flight work may take
	fewBalancers    = 4.0      // with fewer balancers, each may load the servers in use more during ejections
	minInflight     = 1.5      // always allowed in flight, per server, divided among the balancers
	inflightShare   = 0.3      // what arrives in this fraction of the response target may be in flight
	extraShare      = 0.5      // at most this much more, if balancers are few enough to see servers' state
	maxRanks        = 3        // a request may go to this many servers of its rank order
	holdShare       = 0.08     // fraction of the response target for which a request may be held
	newServerCap    = 2.0      // in-flight cap of a new server until it has answered
	coldFactor      = 1.25     // a warming-up server gets this multiple of its share of all answers
	zoneFactor      = 70.0     // extra weight of a server in the own zone, per unit of cross-zone price
	silenceFactor   = 3.0      // a server is silent after this many typical answer times without an answer
	span            = 4 * sec  // time constant of rates
	lullGaps        = 20.0     // the rate is reset after a second and this many mean gaps with no request
	calmInflight    = 2.0      // allowed in flight if the minimum is below one and servers are fast and healthy
	slowRatio       = 0.65     // mean of time over response target at which that allowance ends
	hedgeShare      = 0.55     // fraction of the response target after which a second dispatch may start
	hedgeMaxPrice   = 0.1      // no second dispatch at a higher price of wasted work
	hedgeBalancers  = 8        // nor with more balancers per eligible server
	minIdleTime     = sec / 4  // a connection is idle after this long; steps start at 1, 2, 4 and 8 times
	idleLossLimit   = 0.25     // loss over idle connections, above that of others, at which they are closed
	idleLossSpan    = 20 * sec // time constant of that loss: an idle connection is tried again afterwards
	keySpan         = 20 * sec // time constant of the request counts of keys
	keyShare        = 0.3      // fraction of a server's mean load that one key may bring to it
	minLeftShare    = 0.05     // minimal fraction of a server left by requests of restricted rule sets
	weightAlpha     = 0.1      // weight of the newest listed share if shares follow load
	valueExponent   = 0.15     // exponent of value over mean value in a request's in-flight bound
	tryFactor       = 1.3      // tries allowed to a source, as a multiple of what others' successes suggest,
	maxServerErrors = 2        // errors of healthy servers after which a request would fail anywhere
	freeTries       = 2.0      // plus this many tries before failures are attributed to the source
	askDelay        = 5e6      // ns, per balancer, over which calls for the server list are spread
)

// Balancer is the dispatch state of one proxy instance. It is not safe for concurrent use.
type Balancer struct {
	cfg                               Config
	requests                          map[uint64]*request // until ended with no dispatch pending
	open                              []*request          // not ended, in order of arrival
	servers                           []*server           // by ID
	decisions                         []Decision          // not yet taken by Next
	rng                               rng.Source
	askAt, requestAt                  int64 // askAt: when to ask for the list again, 0: subscribed
	wakeAt, rateStart, shortestTarget int64 // shortestTarget: shortest response target
	inflight, healthy                 int
	timeouts                          [5]decay.Counter     // share of timed-out dispatches, by idle step
	placements                        []*placement         // of all settings so far; never removed
	weighedAt, reviewAt               int64                // last and next review of the servers
	reviewNow                         bool                 // servers are to be reviewed at once
	latencyRatio, slotTime            float64              // mean time by response target, and by slot
	meanHealth, avgWeight             float64              // of all servers
	refusedShare                      float64              // recent fraction of dispatches that were refused
	answerRate                        decay.Counter        // answers
	tenantRates                       []decay.Counter      // dispatches by tenant
	tenantOutcomes                    []decay.Outcomes     // requests and successes by tenant
	keyOutcomes                       [1024]decay.Outcomes // by hash of the key; colliding keys share an entry
	allOutcomes                       decay.Outcomes       // the same of all requests
	meanTarget, meanValue             decay.Mean           // response target and billing value of requests
	keyCounts                         decay.KeyCounts      // requests by key
	deciding                          bool                 // the last decisions are not all taken yet
	advice                            Advice
}

// New creates an instance; the host passes the server list next, as ListRestored.
func New(cfg Config, now int64) *Balancer {
	b := &Balancer{requests: map[uint64]*request{}, rateStart: now, requestAt: now,
		rng: rng.Source{Seed: cfg.Seed}}
	b.Reconfigure(cfg, now)
	return b
}

// Reconfigure applies new settings. Server state stays, and open requests keep the rules they arrived under.
// If the deployment changes in kind, measured times and rates no longer apply and are reset.
func (b *Balancer) Reconfigure(cfg Config, now int64) {
	old := b.cfg
	rates := make([]decay.Counter, len(cfg.Tenants))
	for i, tenant := range cfg.Tenants {
		if index := old.Tenant(tenant.Name); index >= 0 {
			rates[i] = b.tenantRates[index]
		}
	}
	b.cfg, b.tenantRates, b.shortestTarget, b.reviewNow, b.tenantOutcomes =
		cfg, rates, firstBackoff, true, make([]decay.Outcomes, len(cfg.Tenants))
	for _, x := range cfg.RuleSets {
		b.shortestTarget = min(b.shortestTarget, x.ResponseTarget)
	}
	for _, r := range b.open {
		r.tenant = b.cfg.Tenant(r.Tenant)
	}
	if cfg.LiveWeights != old.LiveWeights || cfg.FleetSize > 2*old.FleetSize || old.FleetSize > 2*cfg.FleetSize {
		b.rateStart, b.answerRate, b.latencyRatio = now, decay.Counter{At: now}, 0
		for _, s := range b.servers {
			s.slotTime, s.latency, s.avgWeight, s.inflightCap = 0, 0, s.Share, min(s.inflightCap, newServerCap)
		}
	}
	if cfg.ListOnRequest && !old.ListOnRequest {
		b.askAt = now + 1 + int64(b.rng.Next()*maxAskDelay(cfg))
	} else if !cfg.ListOnRequest {
		b.askAt = 0
	}
}

// ApplyAdvice applies the combined advice of the other balancers.
func (b *Balancer) ApplyAdvice(a Advice) { b.advice, b.reviewNow = a, true }

// AddRequest accepts a new request.
func (b *Balancer) AddRequest(a Arrival, now int64) {
	r := &request{Arrival: a, rules: b.cfg.RuleSet(a.RuleSet), tenant: b.cfg.Tenant(a.Tenant),
		random: b.rng.Next(), maxDispatches: b.cfg.MaxDispatches}
	if r.rules == nil { // unknown: the strictest rules
		r.rules = &RuleSet{Effect: NonReplayable, ResponseTarget: a.Budget}
	}
	// After a lull, for example because clients were told to wait, the measured rate is out of date.
	if float64(now-b.requestAt) > max(float64(sec), lullGaps*float64(span)/max(1, b.answerRate.Now(now, span))) {
		b.rateStart, b.answerRate = now, decay.Counter{At: now}
	}
	b.requestAt, r.placement = now, b.placementOf(r.rules)
	r.value = b.requestValue(r, now)
	b.meanTarget.Add(float64(r.rules.ResponseTarget))
	b.meanValue.Add(r.value)
	if b.startClock(r, now); a.BodyPending { // time starts with BodyComplete: it may wait for its target
		r.arrivedAt, r.giveUpAt = now+int64((1-holdShare)*float64(r.rules.ResponseTarget)), math.MaxInt64
	}
	if a.Key != "" {
		r.sources = append(r.sources, &b.keyOutcomes[int(rng.Hash(a.Key, "")*float64(len(b.keyOutcomes)))])
	}
	if r.tenant >= 0 {
		r.sources = append(r.sources, &b.tenantOutcomes[r.tenant])
	}
	if source, part := b.failingSource(r, now); b.rng.Next() < part {
		source.Add(false, now, span)
		r.Shed = true
	}
	if a.Key == "" || !b.cfg.WarmKeys {
		r.rankKey = strconv.FormatUint(uint64(r.random*(1<<32)), 36) // no warm cache to reuse: random placement
	} else if n := b.keyCounts.Add(a.Key, now, keySpan) * float64(len(b.servers)) / keyShare; r.random*n >= 1 {
		// A key that would fill a server alone is split into parts, each with its own rank order.
		r.rankKey = fmt.Sprint(a.Key, "/", int(r.random*n))
	}
	b.requests[a.ID], b.open = r, append(b.open, r)
}

// startClock starts a request's time. Answers past the response target are worth little: it ends before.
func (b *Balancer) startClock(r *request, now int64) {
	r.arrivedAt, r.clientDeadline = now, now+max(r.Budget, b.cfg.BudgetError) // the client waits until then
	r.giveUpAt = r.clientDeadline
	if r.rules.OverdueValue <= 0 || b.cfg.TailWeight > 0 && r.rules.CanDenyAfterRun() {
		r.giveUpAt = min(r.giveUpAt, now+r.rules.ResponseTarget)
	}
	r.giveUpAt -= 2 * b.cfg.Tick
}

// BodyComplete reports that a pending request body is complete. The time of the request starts here.
func (b *Balancer) BodyComplete(id uint64, now int64) {
	if r := b.requests[id]; r != nil && r.BodyPending {
		r.BodyPending = false
		b.startClock(r, now)
		for i, d := range r.dispatches {
			if d.pending {
				d.sentAt = now
				b.addInflight(d)
				b.emit(Decision{Kind: SetDeadline, Request: id, Attempt: i, Time: b.dispatchDeadline(r)})
			}
		}
	}
}

// BodyDropped reports that a request's body is no longer buffered: the request cannot be dispatched again.
func (b *Balancer) BodyDropped(id uint64) {
	if r := b.requests[id]; r != nil {
		r.maxDispatches = 0
	}
}

// AnswerStarted reports that an answer has begun to stream: the server has done its work.
func (b *Balancer) AnswerStarted(id uint64, attempt int, took, now int64) {
	if r := b.requests[id]; r != nil && attempt < len(r.dispatches) && r.dispatches[attempt].pending {
		b.removeInflight(r.dispatches[attempt])
		r.dispatches[attempt].answering = true
		b.recordOutcome(r.dispatches[attempt].server, r.dispatches[attempt], Served, took, now)
	}
}

func (b *Balancer) addInflight(d *dispatch) {
	d.inFlight, d.server.inflight, b.reviewNow = true, append(d.server.inflight, d), true
	b.inflight++
	d.inflightRank = float64(len(d.server.inflight))
}

func (b *Balancer) removeInflight(d *dispatch) {
	if d.inFlight {
		d.inFlight, b.inflight, b.reviewNow = false, b.inflight-1, true
		d.server.inflight = slices.DeleteFunc(d.server.inflight, func(x *dispatch) bool { return x == d })
	}
}

// Withdrawn reports that a request has ended without a decision of the balancer.
func (b *Balancer) Withdrawn(id uint64) {
	if r := b.requests[id]; r != nil {
		r.ended = true
		b.forget(r)
	}
}

// StreamStarted reports that an answer streams to the client; the balancer no longer ends the dispatch.
func (b *Balancer) StreamStarted(id uint64) {
	if r := b.requests[id]; r != nil {
		r.streaming = true
	}
}

// forget drops a request that has ended and has no dispatch outstanding.
func (b *Balancer) forget(r *request) {
	if r.ended && r.pending == 0 {
		delete(b.requests, r.ID)
	}
}

// Finished records the outcome of a dispatch.
func (b *Balancer) Finished(id uint64, attempt int, o Outcome, final bool, took, now int64) {
	r := b.requests[id]
	if r == nil || attempt < 0 || attempt >= len(r.dispatches) || !r.dispatches[attempt].pending {
		return
	}
	d, s := r.dispatches[attempt], r.dispatches[attempt].server
	d.pending, r.pending = false, r.pending-1
	b.removeInflight(d)
	s.lastOutcomeAt, d.maybeRan = now, o != Refused && o != NoConnection && o != NotSent
	r.ended = r.ended || final
	b.forget(r)
	if s.startedAt <= d.sentAt && (o != Served || !d.answering) { // not of an earlier process
		b.recordOutcome(s, d, o, took, now)
	}
}

// failingSource returns the source (key before tenant) whose requests fail at every server, and the fraction
// of them to deny. Failures that affect all sources alike, such as overload, are attributed to none.
func (b *Balancer) failingSource(r *request, now int64) (*decay.Outcomes, float64) {
	allTried, allDone := b.allOutcomes.Now(now, span)
	for _, source := range r.sources {
		tried, done := source.Now(now, span)
		share := (done + freeTries) / (tried + freeTries) // assumed for others too if there are none
		if part := 1 - tryFactor*share*(allTried-tried+freeTries)/(allDone-done+freeTries*share); part > 0 {
			return source, part
		}
	}
	return nil, 0
}

// recordOutcome counts an outcome for the server, or for the source of its request.
func (b *Balancer) recordOutcome(s *server, d *dispatch, o Outcome, took, now int64) {
	b.reviewNow, b.refusedShare = true, 0.95*b.refusedShare
	if o == Served || o == Errored || o == TimedOut {
		source, _ := b.failingSource(d.request, now) // outcomes of a failing key do not count for its tenant
		done := o == Served && took <= d.request.rules.ResponseTarget
		b.allOutcomes.Add(done, now, span)
		for i := 0; i < len(d.request.sources) && (i == 0 || d.request.sources[i-1] != source); i++ {
			d.request.sources[i].Add(done, now, span)
		}
		if o == Errored && s.streak == 0 {
			d.request.healthyErrors++
		}
		if !done && (source != nil || d.request.healthyErrors >= maxServerErrors) { // it would have failed anywhere
			if o != TimedOut {
				s.answeredAt = now
			}
			return
		}
	}
	if o == Served || o == TimedOut {
		b.latencyRatio += 0.1 * (float64(took)/float64(d.request.rules.ResponseTarget) - b.latencyRatio)
		b.timeouts[d.idleStep].Value = 0.85 * b.timeouts[d.idleStep].Now(now, idleLossSpan)
		s.slotTime = decay.Smooth(s.slotTime, float64(took)/d.inflightRank, s.latency > 0)
		d.request.placement.slotTime = decay.Smooth(d.request.placement.slotTime,
			float64(took)/d.inflightRank*s.size, d.request.placement.slotTime > 0)
	}
	switch o {
	case Served:
		s.answeredAt = now
		b.answerRate.Add(now, span)
		d.request.placement.answers.Add(now, span)
		s.latency = decay.Smooth(s.latency, float64(took), s.latency > 0)
		s.inflightCap += 0.5
		s.refutedShare += 0.05 * (float64(min(1, s.streak)) - s.refutedShare)
		if s.streak = 0; s.health > recoveredHealth {
			s.ejections = 0
		}
		s.updateHealth(took <= d.request.rules.ResponseTarget)
	case Errored, Reset, NoConnection:
		s.updateHealth(false)
		s.streak++ // reviewServers ejects after enough of them
	case TimedOut:
		b.timeouts[d.idleStep].Value += 0.15
		// A server that answers others meanwhile, or is slow anyway, is overloaded, not dead: it is not ejected.
		if s.updateHealth(false); s.answeredAt <= d.sentAt && float64(took) >= silenceFactor*s.latency {
			s.streak++
		}
	case Refused: // back-pressure
		b.refusedShare += 0.05
		s.answeredAt, s.fullUntil = now, now+max(20*ms, int64(s.slotTime))
		s.inflightCap = max(1, math.Min(s.inflightCap, float64(len(s.inflight))))
	}
}

func (s *server) updateHealth(ok bool) {
	s.health = outlier.NextHealth(s.health, ok)
}

// ejectionStreak is how many consecutive failures eject. If nearly all servers fail alike, for example as
// the network breaks connections, failures say little of one server, and streaks of two happen by chance.
func (b *Balancer) ejectionStreak() int {
	rates := make([]float64, len(b.servers))
	for i, s := range b.servers {
		rates[i] = s.refutedShare
	}
	slices.Sort(rates)
	byChance := math.Log(randomStreakOdds) / math.Log(max(1e-9, rates[len(rates)/4])) // most have more
	return int(min(maxStreakLimit, max(streakLimit, math.Ceil(byChance))))
}

func (b *Balancer) eject(s *server, now int64) {
	backoff := int64(outlier.Backoff(time.Duration(min(firstBackoff, backoffTargets*b.shortestTarget)),
		s.ejections, b.rng.Next()))
	s.ejected, s.ejectedUntil, s.ejections = true, now+backoff, s.ejections+1
	b.logf("ejected %s for %d ms: streak %d, health %.2f", s.ID, backoff/ms, s.streak, s.health)
}

func (b *Balancer) emit(d Decision) { b.decisions = append(b.decisions, d) }

func (b *Balancer) logf(s string, a ...any) { b.emit(Decision{Kind: Log, Text: fmt.Sprintf(s, a...)}) }

func byID(s *server, id string) int { return cmp.Compare(s.ID, id) }

// maxAskDelay spreads calls for the list, but well within AskWithin, after which the list counts as known.
func maxAskDelay(cfg Config) float64 {
	return min(0.5*float64(sec)+askDelay*float64(cfg.FleetSize), float64(cfg.AskWithin)/2)
}

// UpdateList applies a server list. If it was unavailable, it is requested again after a random delay.
func (b *Balancer) UpdateList(form ListForm, entries []Server, now int64) {
	if form == ListUnavailable {
		b.askAt = now + int64((0.5+b.rng.Next())*maxAskDelay(b.cfg))
		return
	} else if form != ListRestored {
		b.askAt = 0
	}
	b.reviewNow = true
	for _, s := range b.servers {
		s.listed = s.listed && form == ListUpdate
	}
	for _, e := range entries {
		b.applyEntry(e, now)
	}
}

// applyEntry applies one entry. A new server or process starts at the mean health, without any history.
func (b *Balancer) applyEntry(e Server, now int64) {
	i, found := slices.BinarySearchFunc(b.servers, e.ID, byID)
	if !found {
		b.servers = slices.Insert(b.servers, i, &server{Server: Server{Since: -1}})
	}
	s := b.servers[i]
	if e.Since > s.Since || b.cfg.StartError > 0 && e.Since != s.Since {
		*s = server{inflight: s.inflight, health: cmp.Or(b.meanHealth, 1),
			inflightCap: newServerCap / float64(1+b.cfg.SiblingProcesses), answeredAt: now}
		s.startedAt = min(e.Since+b.cfg.StartError, now) // clocks may differ
	}
	s.Server, s.listed = e, e.State != Gone
	s.Share = cmp.Or(max(0, s.Share), 1)
	s.avgWeight = (1-weightAlpha)*cmp.Or(s.avgWeight, s.Share) + weightAlpha*s.Share
}

// rampCapacity is the fraction of its capacity that a server has at least, by its age.
func (b *Balancer) rampCapacity(s *server, now int64) float64 {
	if s.Since <= 0 || b.cfg.RampTime <= 0 || now-s.startedAt >= b.cfg.RampTime {
		return 1
	}
	return b.cfg.StartCapacity + (1-b.cfg.StartCapacity)*max(0, float64(now-s.startedAt)/float64(b.cfg.RampTime))
}

// Next returns the next decision; false when there is none.
func (b *Balancer) Next(now int64) (d Decision, ok bool) {
	if !b.deciding {
		b.decide(now)
	}
	if b.deciding = len(b.decisions) > 0; b.deciding {
		d, b.decisions = b.decisions[0], b.decisions[1:]
	}
	return d, b.deciding
}

func (b *Balancer) decide(now int64) {
	next := int64(math.MaxInt64)
	if b.askAt > 0 {
		if now >= b.askAt {
			b.emit(Decision{Kind: RequestList})
			b.askAt = now + max(b.cfg.AskWithin/2, sec) // in case there is no answer
		}
		next = b.askAt
	}
	if b.reviewNow || now >= b.reviewAt || now-b.weighedAt > sec/10 { // reviews are costly with many servers
		b.reviewNow, b.reviewAt = false, b.reviewServers(now)
	}
	next = min(next, b.reviewAt)
	order := slices.Clone(b.sweepEnded())
	slices.SortStableFunc(order, func(x, y *request) int { return cmp.Compare(y.value, x.value) })
	for _, r := range order {
		next = min(next, b.serveRequest(r, now))
	}
	b.sweepEnded()
	next = max(next, now+b.cfg.Tick)
	if next < math.MaxInt64 && (b.wakeAt <= now || next < b.wakeAt) { // with only streams nothing is due
		b.wakeAt = next
		b.emit(Decision{Kind: Wake, Time: next - now})
	}
}

// sweepEnded removes ended requests from the open ones and cancels their dispatches, which are now worthless.
func (b *Balancer) sweepEnded() []*request {
	b.open = slices.DeleteFunc(b.open, func(r *request) bool {
		for i, d := range r.dispatches {
			if r.ended && d.pending && b.cfg.CanCancel && !r.streaming {
				b.emit(Decision{Kind: Cancel, Request: r.ID, Attempt: i})
			}
		}
		return r.ended
	})
	return b.open
}

// requestValue ranks requests: by billing value, reduced for a tenant that exceeds its share.
func (b *Balancer) requestValue(r *request, now int64) float64 {
	v := r.rules.BillingValue
	if total := b.answerRate.Now(now, span); r.tenant >= 0 && total > 1 && b.cfg.Tenants[r.tenant].Share > 0 {
		v /= math.Pow(max(0.25, b.tenantRates[r.tenant].Now(now, span)/(total*b.cfg.Tenants[r.tenant].Share)), 3)
	}
	return v
}

// reviewServers updates the servers' warm-up, silence, ejection and panic mode; it returns its next due time.
func (b *Balancer) reviewServers(now int64) int64 {
	next, logSlotTimes, n := int64(math.MaxInt64), 0.0, 0.0
	b.servers = slices.DeleteFunc(b.servers, func(s *server) bool { return !s.listed && len(s.inflight) == 0 })
	b.healthy, b.meanHealth, b.avgWeight = 0, 0, 0
	for _, s := range b.servers {
		b.meanHealth += s.health / float64(len(b.servers))
		b.avgWeight += s.avgWeight / float64(len(b.servers))
		if s.size = s.Share; b.cfg.LiveWeights { // a share that follows load is no size: keys would move with it
			s.size = 1
		}
		if s.slotTime > 0 {
			logSlotTimes, n = logSlotTimes+math.Log(s.slotTime*s.size), n+1
		}
	}
	b.slotTime = math.Exp(logSlotTimes / max(1, n))
	for _, s := range b.servers {
		s.rampShare = b.rampCapacity(s, now)
		if !s.listed || s.State != Running {
			continue
		}
		if s.ejected && now >= s.ejectedUntil {
			// It returns with an in-flight cap of one, and one failure short of the next ejection.
			s.ejected, s.streak, s.inflightCap = false, b.ejectionStreak()-1, 1
			b.logf("returned %s: health %.2f", s.ID, s.health)
		} else if !s.ejected && s.streak >= streakLimit && s.streak >= b.ejectionStreak() {
			b.eject(s, now)
		}
		if s.ejected {
			next = min(next, s.ejectedUntil)
			continue
		}
		b.healthy++
		// A hung server shows only by its silence: it gets nothing until it answers. Streams may be silent.
		first := slices.IndexFunc(s.inflight, func(d *dispatch) bool { return !d.request.streaming })
		if s.silent = false; first >= 0 && s.latency > 0 {
			since := max(s.answeredAt, s.inflight[first].sentAt)
			limit := int64(max(silenceFactor*s.latency, 0.25*float64(s.inflight[first].request.rules.ResponseTarget)))
			if s.silent = now-since > limit; !s.silent {
				next = min(next, since+limit+1)
			}
		}
	}
	b.computeWeights(now)
	return next
}

func (b *Balancer) computeWeights(now int64) {
	all, work := 0.0, 0.0
	for _, s := range b.servers {
		if s.weight, s.leftShare = 0, 1; s.listed && s.State == Running {
			if s.weight = s.rampShare * s.size; b.cfg.LiveWeights && s.rampShare < 1 {
				s.weight *= min(s.avgWeight, b.avgWeight) // it looks idle because it is new
			} else if b.cfg.LiveWeights {
				s.weight *= s.avgWeight // prefer less loaded servers
			}
			if !b.cfg.WarmKeys && s.rampShare >= 1 { // at equal use, requests wait longer at small servers
				s.weight *= math.Sqrt(s.size)
			}
			if s.slotTime > 0 {
				s.weight *= math.Sqrt(b.slotTime / (s.slotTime * s.size))
			}
			s.weight *= cmp.Or(b.advice.ShareFactors[s.ID], 1)
			all += s.weight
		}
	}
	for _, p := range b.placements {
		work += p.firstDispatches.Now(now, span) * p.slotTime
	}
	for _, p := range b.placements {
		// What restricted requests take of their servers at full load is left to them by the unrestricted ones.
		load, sum := p.firstDispatches.Value*p.slotTime/max(1, work)*all/max(1e-9, p.totalWeight), 0.0
		p.healthy, p.readyWeight = 0, 0
		for _, s := range b.servers {
			if s.weight == 0 || !p.rules.Allows(&s.Server) {
				continue
			}
			sum += s.weight * s.leftShare
			if !s.ejected {
				if p.healthy++; !s.silent {
					p.readyWeight += s.weight * s.leftShare
				}
			}
			if p.rules.restricted() {
				s.leftShare = max(minLeftShare, s.leftShare-load)
			}
		}
		if allEjected := sum > 0 && p.healthy == 0; allEjected != p.panicMode {
			p.panicMode = allEjected
			b.logf("panic mode %v: servers of kinds %v", allEjected, p.rules.Kinds)
		}
		if p.panicMode {
			p.readyWeight = sum
		}
		// Total weight decays over the same span as the rates, so that their quotient is a load at any time.
		p.totalWeight = max(sum, sum+(p.totalWeight-sum)*math.Exp(-float64(now-b.weighedAt)/float64(span)))
	}
	b.weighedAt = now
}

func (s *server) weightFor(p *placement) float64 {
	if p.rules.restricted() {
		return s.weight
	}
	return s.weight * s.leftShare
}

// serveRequest decides on one request and returns the time of its next review.
func (b *Balancer) serveRequest(r *request, now int64) int64 {
	if (now >= r.giveUpAt || r.Shed) && !r.streaming {
		for _, d := range r.dispatches {
			if d.inFlight && b.dispatchDeadline(r) > r.giveUpAt { // its cancel will say nothing
				b.recordOutcome(d.server, d, TimedOut, now-d.sentAt, now)
			}
		}
		b.finalAnswer(r)
	}
	if r.ended || r.streaming {
		return math.MaxInt64
	}
	hedge := b.hedgeAt(r)
	if r.pending == 0 || r.pending == 1 && (r.dispatches[len(r.dispatches)-1].server.ejected || now >= hedge) {
		// A replayable or deduplicated request does not wait for an ejected server: it is dispatched again.
		if s := b.pickServer(r, now); s != nil {
			b.sendTo(r, s, now)
			return min(r.giveUpAt, b.hedgeAt(r))
		}
	}
	if r.pending > 0 {
		return min(r.giveUpAt, max(hedge, now+4*b.cfg.Tick))
	}
	if now >= r.arrivedAt+int64(holdShare*float64(r.rules.ResponseTarget)) || !b.canSend(r) {
		b.finalAnswer(r)
		return math.MaxInt64
	}
	return now + b.cfg.Tick
}

// hedgeAt is when a second dispatch may start: only if waste is cheap and few balancers share the servers.
func (b *Balancer) hedgeAt(r *request) int64 {
	if r.pending != 1 || b.cfg.WastePrice > hedgeMaxPrice ||
		r.placement.healthy*hedgeBalancers < b.cfg.FleetSize || !b.canSend(r) {
		return math.MaxInt64
	}
	return r.dispatches[len(r.dispatches)-1].sentAt + int64(hedgeShare*float64(r.rules.ResponseTarget))
}

// finalAnswer ends a request: with a deny where that is safe, with an abort otherwise.
func (b *Balancer) finalAnswer(r *request) {
	d := Decision{Kind: Abort, Request: r.ID}
	if b.canDeny(r) {
		d.Kind, d.Time = Deny, min(b.cfg.MaxRetryAfter, cmp.Or(r.RetryAfter, r.rules.ResponseTarget/5))
	}
	b.emit(d)
	r.ended = true
	b.forget(r)
}

// CanDenyAfterRun reports whether a request may be denied even if it may have run.
func (rs *RuleSet) CanDenyAfterRun() bool {
	return rs.Effect == Replayable || rs.Effect == Deduplicated && rs.Group == GroupAll
}

func (b *Balancer) canDeny(r *request) bool {
	return r.rules.CanDenyAfterRun() ||
		!slices.ContainsFunc(r.dispatches, func(d *dispatch) bool { return d.maybeRan })
}

// canSend reports whether the rules allow a further dispatch to some server.
func (b *Balancer) canSend(r *request) bool {
	return len(r.dispatches) < r.maxDispatches && r.healthyErrors < maxServerErrors &&
		(r.pending == 0 || b.cfg.AllowParallel) && (r.rules.Effect != NonReplayable || b.canDeny(r))
}

// CanRepeat reports whether a request that may have run at one server may go to another: no effect twice.
func (rs *RuleSet) CanRepeat(first, next Server, sent, now int64) bool {
	same := rs.Group == GroupAll || first.Zone == next.Zone && (rs.Group == GroupZone || first.Cell == next.Cell)
	return rs.Effect == Replayable || rs.Effect == Deduplicated && same && now < sent+rs.Window
}

// allowed reports whether the request may go to this server: inside its placement, without a second effect.
func (r *request) allowed(s *server, now int64) bool {
	if r.rules.restricted() && !r.rules.Allows(&s.Server) {
		return false
	}
	for _, d := range r.dispatches {
		if d.pending && d.server == s ||
			d.maybeRan && !r.rules.CanRepeat(d.server.Server, s.Server, d.sentAt, now) {
			return false
		}
	}
	return true
}

// pickServer is weighted rendezvous hashing: it returns the server of the top score that is not skipped.
func (b *Balancer) pickServer(r *request, now int64) *server {
	short := b.advice.RetriesLimited && b.advice.RetriesLeft < min(1, len(r.dispatches))
	if short || !b.canSend(r) || float64(b.inflight) >= b.inflightBound(r, now) {
		return nil
	}
	var ranked [maxRanks]*server
	p, draw := r.placement, math.Mod(r.random*1e6, 1)
	answered := min(1, (0.1+p.answers.Now(now, span))/(1+p.firstDispatches.Now(now, span)))
	for _, s := range b.servers {
		if s.weight == 0 || (s.ejected || s.silent) && !p.panicMode || !r.allowed(s, now) {
			continue
		}
		w := s.health * s.weightFor(p)
		if s.Zone == b.cfg.Zone {
			w *= 1 + zoneFactor*b.cfg.CrossZonePrice
		}
		if p.panicMode {
			w = 1
		}
		if slices.ContainsFunc(r.dispatches, func(d *dispatch) bool { return d.server == s }) {
			w *= 1e-9 // one that was tried already is the last resort
		}
		s.score = -w / math.Log(rng.Hash(cmp.Or(r.rankKey, r.Key), s.ID))
		if s.rampShare < 1 {
			// With one popular key, or while others are out, all balancers together would overload it: it is drawn
			// at random, only for first dispatches, up to its share of what is answered.
			part := coldFactor * answered * s.weightFor(p) / p.totalWeight
			if draw -= part; len(r.dispatches) > 0 || draw > 0 || draw <= -part {
				continue
			}
			s.score = math.Inf(1)
		}
		for i, x := 0, s; i < maxRanks && x != nil; i++ {
			if ranked[i] == nil || x.score > ranked[i].score {
				ranked[i], x = x, ranked[i]
			}
		}
	}
	for i, s := range ranked {
		if s != nil && b.hasRoom(s, r, now) && (i == 0 || s.rampShare >= 1) {
			return s
		}
	}
	return nil
}

// inflightBound limits what is in flight by rate and response target: many balancers could overload servers.
func (b *Balancer) inflightBound(r *request, now int64) float64 {
	// A decaying rate holds less of a shorter history.
	history := float64(span) * (1 - math.Exp(-float64(max(now-b.rateStart, sec/10))/float64(span)))
	healthy := b.healthy
	if r.placement.panicMode {
		healthy = len(b.servers) // all can be picked
	}
	perServer := minInflight / float64(max(1, b.cfg.FleetSize)) // each server may always have this in flight
	share := inflightShare
	if b.cfg.TailWeight == 0 { // if the tail counts, a deny costs less than a late answer
		share += max(0, min(extraShare, perServer*float64(len(b.servers))-1,
			1-2*b.refusedShare, 2*(slowRatio-b.latencyRatio)))
	}
	minimum := perServer * float64(healthy)
	if minimum < 1 {
		// One dispatch for each of hundreds is several per server: while answers are late, fewer go, at random.
		calm := max(1, calmInflight*float64(b.healthy)/float64(len(b.servers)))
		minimum += (calm-minimum)*max(0, 1-math.Pow(b.latencyRatio/slowRatio, 6)) - r.random
	}
	bound := minimum + b.answerRate.Now(now, span)*share*b.meanTarget.Value/history
	if r.value > 0 && b.meanValue.Value > 0 { // when capacity is short, less valuable requests wait
		bound *= math.Pow(min(16, max(1.0/16, r.value/b.meanValue.Value)), valueExponent)
	}
	return bound
}

// hasRoom reports whether a server may take one more: by rate times time, and by its share of all in flight.
func (b *Balancer) hasRoom(s *server, r *request, now int64) bool {
	limit := min(s.inflightCap, skipFactor*s.weightFor(r.placement)/r.placement.readyWeight*
		float64(b.inflight+1)+skipSlack)
	// During ejections the other servers may be loaded more, unless many balancers would do so at once.
	boost := max(1, min(fewBalancers/float64(max(2, b.cfg.FleetSize)),
		float64(len(b.servers))/float64(max(1, b.healthy))))
	limit = min(limit, max(1, boost*serverShare*float64(r.rules.ResponseTarget)/s.slotTime)) // time 0: no limit
	return now >= s.fullUntil && float64(len(s.inflight)) < limit
}

func (b *Balancer) sendTo(r *request, s *server, now int64) {
	d := &dispatch{request: r, server: s, sentAt: now, pending: true, maybeRan: true}
	if idle := now - s.lastOutcomeAt; s.lastOutcomeAt > 0 && idle > minIdleTime && len(s.inflight) == 0 {
		d.idleStep = min(len(b.timeouts)-1, bits.Len64(uint64(idle/minIdleTime)))
	}
	if b.timeouts[d.idleStep].Now(now, idleLossSpan) > idleLossLimit+b.timeouts[0].Now(now, idleLossSpan) {
		// The network may drop what comes over idle connections: they are closed while such loss is seen.
		d.idleStep = 0
		b.emit(Decision{Kind: CloseConnections, Server: s.ID})
	}
	if b.advice.RetriesLeft -= min(1, len(r.dispatches)); len(r.dispatches) == 0 {
		r.placement.firstDispatches.Add(now, span)
	}
	if r.dispatches = append(r.dispatches, d); !r.BodyPending {
		b.addInflight(d)
	}
	r.pending++
	if r.tenant >= 0 {
		b.tenantRates[r.tenant].Add(now, span)
	}
	b.emit(Decision{Kind: Dispatch, Request: r.ID, Server: s.ID, Time: b.dispatchDeadline(r)})
}

// dispatchDeadline is when a dispatch ends by itself. A server whose clock is ahead refuses or aborts what
// seems overdue to it: if clocks may differ it gets the client's deadline, and a cancel ends the dispatch.
func (b *Balancer) dispatchDeadline(r *request) int64 {
	if b.cfg.BudgetError > 0 && b.cfg.CanCancel {
		return r.clientDeadline
	}
	return r.giveUpAt
}
