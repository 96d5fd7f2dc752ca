// Package shed decides which requests an overloaded fleet rejects and how many retries it can bear. All members
// run the same code on nearly the same load of the fleet. The package is free of I/O. It never makes a member less
// strict than it would be alone: the balancer may still deny what a Shedder admits.
package shed

import (
	"cmp"
	"math"
	"slices"

	"ivybank/fleet/aggregate"
	"ivybank/internal/decay"
)

const (
	ms, sec = int64(1e6), int64(1e9)

	correctionInterval = 500 * ms // between corrections of the limit
	// Shedding starts when this fraction of what was admitted is not served for startAfter.
	startLoss  = 0.10
	startAfter = 500 * ms
	// Replaces startAfter if neither a baseline latency nor a peer that sheds is known: new processes reject
	// requests while they learn.
	startAfterUnknown = 5 * sec
	// Loss that active shedding aims at: each member's balancer denies a little more than it has to.
	targetLoss  = 0.05
	minCostRate = 2.0  // cost per second below which nothing is an overload
	maxFall     = 0.05 // largest fraction that one correction takes off the limit
	// The first correction without losses raises the limit by firstRise while requests are shed. Each further one
	// doubles the rise, up to maxRise.
	firstRise = 0.01
	maxRise   = 0.04
	// Rise while the latency is within fastLatencyFactor of the baseline: there is room, whatever the losses are.
	fastRise          = 1.0
	fastLatencyFactor = 1.25
	baselineWeight    = 0.02  // weight of the newest baseline sample
	idleRise          = 0.004 // rise while nothing is shed: what is served then says little about what could be
	peerLimitWeight   = 0.3   // part of the distance to the peers' mean limit that a correction goes
	// Shedding ends after less than this fraction of the limit was offered for firstEndAfter. Waiting costs
	// nothing, because nothing is rejected then.
	slackBelow    = 0.9
	firstEndAfter = 10 * sec
	// Each time that shedding restarts within restartWindow it takes this many times longer to end, up to
	// maxEndAfter.
	endAfterFactor = 6
	maxEndAfter    = 300 * sec
	restartWindow  = 60 * sec
	// Demand is averaged over this many seconds times the square of the recent changes, so that swinging demand is
	// averaged for longer.
	averagePerChange = 0.15
	changeWindow     = 120 * sec // decay time of the count of changes
	minChange        = 0.125     // smaller changes of the admitted part do not count as changes
	minResize        = 0.2       // relative change of the counted members at which the limit is scaled with them
)

// Config is the configuration of a Shedder.
type Config struct {
	Values          []float64 // billing value of each rule set
	Shares          []float64 // share of each tenant; 0: none was agreed
	OverShareFactor float64   // factor on the value of requests beyond a tenant's share
}

// Shedder is one member's state of load shedding.
type Shedder struct {
	cfg         Config
	values      []float64 // values that are distinguished, in descending order
	valueIndex  []int     // index into values, by rule set
	tenantSlots int       // number of tenants that are distinguished

	Active          bool
	BaselineLatency float64                    // mean answer time without shedding, in seconds; 0: not known
	Latency         float64                    // recent mean answer time, in seconds
	Limit           float64                    // cost per second that all counted members together can bear
	AdmittedPart    float64                    // part of the offered load that is admitted
	AdmittedByClass [aggregate.Classes]float64 // by class
	// How often shedding started, ended or changed its admitted part by minChange.
	Changes       int
	lastPart      float64 // AdmittedPart at the latest change
	correctedAt   int64
	demand        aggregate.Load // averaged demand
	demandAt      int64
	recentChanges decay.Counter
	nextRise      float64 // of the next correction
	lossSince     int64   // time since which losses exceed startLoss; 0: they do not
	slackSince    int64   // time since which little is offered; 0: it is not
	endAfter      int64
	endedAt       int64
	members       float64 // counted at the latest step
}

// New returns a Shedder that is not active.
func New(cfg Config) *Shedder {
	s := &Shedder{cfg: cfg, endAfter: firstEndAfter, AdmittedPart: 1, lastPart: 1, endedAt: math.MinInt64 / 2}
	s.tenantSlots = max(1, min(len(cfg.Shares), aggregate.Classes))
	distinct := slices.Compact(slices.SortedFunc(slices.Values(cfg.Values),
		func(x, y float64) int { return cmp.Compare(y, x) }))
	s.values = distinct[:min(len(distinct), aggregate.Classes/s.tenantSlots)] // all smaller values share the last one
	for _, v := range cfg.Values {
		i := slices.IndexFunc(s.values, func(b float64) bool { return v >= b })
		if i < 0 {
			i = len(s.values) - 1
		}
		s.valueIndex = append(s.valueIndex, i)
	}
	s.admitAll()
	return s
}

// Class returns the class of the requests of a rule set and tenant, given by index, or -1 if the rule set is not
// known.
func (s *Shedder) Class(ruleSet, tenant int) int {
	if ruleSet < 0 || ruleSet >= len(s.valueIndex) {
		return -1
	}
	return max(0, tenant)%s.tenantSlots*len(s.values) + s.valueIndex[ruleSet]
}

func (s *Shedder) admitAll() {
	s.AdmittedPart = 1
	for i := range s.AdmittedByClass {
		s.AdmittedByClass[i] = 1
	}
}

// Admits reports whether a request of a class is admitted. clientHash, between 0 and 1, is the same for all
// retries of a client's request.
func (s *Shedder) Admits(class int, clientHash float64) bool {
	return !s.Active || class < 0 || clientHash < s.AdmittedByClass[class]
}

// Step updates the shedder with the load of all counted members. It has to be called several times a second.
func (s *Shedder) Step(load *aggregate.Load, members int, now int64) {
	offered := load.TotalOffered()
	loss := 0.0
	if load.Served+load.Unserved > minCostRate {
		loss = load.Unserved / (load.Served + load.Unserved)
	}
	latency := 0.0
	if load.Served > minCostRate {
		latency = load.ServerTime / load.Served
	}
	s.Latency = latency
	if !s.Active {
		if loss < targetLoss && latency > 0 {
			s.BaselineLatency = cmp.Or(s.BaselineLatency, latency)
			s.BaselineLatency += baselineWeight * (latency - s.BaselineLatency)
		}
		if loss <= startLoss || load.Served <= 0 {
			s.lossSince = 0
		} else if s.lossSince == 0 {
			s.lossSince = now
		} else if now-s.lossSince >= startAfterUnknown ||
			now-s.lossSince >= startAfter && (s.BaselineLatency > 0 || load.LimitCount >= 1) {
			s.start(load, members, now)
		}
		return
	}
	if n := float64(members); math.Abs(n-s.members) > minResize*s.members {
		s.Limit *= n / s.members // what the fleet bears is in proportion to its members
		for i := range s.demand.Offered {
			s.demand.Offered[i] *= n / s.members
		}
		s.members = n
	}
	if now-s.correctedAt >= correctionInterval {
		s.correctedAt = now
		s.correctLimit(load, loss, latency, offered)
	}
	if offered >= slackBelow*s.Limit {
		s.slackSince = 0
	} else if s.slackSince == 0 {
		s.slackSince = now
	} else if now-s.slackSince >= s.endAfter {
		s.stop(now)
		return
	}
	s.averageDemand(load, now)
	s.allocate(&s.demand, s.demand.TotalOffered())
	if math.Abs(s.AdmittedPart-s.lastPart) > minChange {
		s.lastPart = s.AdmittedPart
		s.countChange(now)
	}
}

func (s *Shedder) countChange(now int64) {
	s.Changes++
	s.recentChanges.Add(now, changeWindow)
}

// averageDemand updates the averaged demand, without delay if the shedder has hardly changed recently.
func (s *Shedder) averageDemand(load *aggregate.Load, now int64) {
	window := averagePerChange * math.Pow(s.recentChanges.Now(now, changeWindow), 2) * float64(sec)
	weight := 1 - math.Exp(-float64(now-s.demandAt)/max(1, window))
	s.demandAt = now
	for i := range load.Offered {
		s.demand.Offered[i] += weight * (load.Offered[i] - s.demand.Offered[i])
	}
}

func (s *Shedder) start(load *aggregate.Load, members int, now int64) {
	if now-s.endedAt < restartWindow {
		s.endAfter = min(maxEndAfter, s.endAfter*endAfterFactor)
	} else {
		s.endAfter = firstEndAfter
	}
	s.Active, s.Limit, s.members, s.correctedAt, s.slackSince, s.lossSince, s.nextRise = true, load.Served,
		float64(members), now, 0, 0, firstRise
	if load.LimitCount >= 1 { // peers shed already
		s.Limit = max(s.Limit, load.Limit/load.LimitCount)
	}
	s.countChange(now)
	s.demand = *load
	s.allocate(load, load.TotalOffered())
	s.lastPart = s.AdmittedPart
}

func (s *Shedder) stop(now int64) {
	s.Active, s.endedAt = false, now
	s.countChange(now)
	s.admitAll()
	s.lastPart = 1
}

// correctLimit corrects the limit by the outcome of what was admitted, and moves it towards the peers' limits.
func (s *Shedder) correctLimit(load *aggregate.Load, loss, latency, offered float64) {
	switch {
	case s.BaselineLatency > 0 && latency > 0 && latency < fastLatencyFactor*s.BaselineLatency && offered > s.Limit:
		s.Limit *= 1 + fastRise
	case loss > targetLoss:
		s.nextRise = firstRise
		s.Limit = max(min(s.Limit, load.Served), s.Limit*(1-min(maxFall, loss-targetLoss)))
	case offered > s.Limit:
		s.Limit *= 1 + s.nextRise
		s.nextRise = min(maxRise, 2*s.nextRise)
	default:
		s.Limit *= 1 + idleRise
	}
	if load.LimitCount >= 1 {
		s.Limit += peerLimitWeight * (load.Limit/load.LimitCount - s.Limit)
	}
}

// demandPart is a part of a class in which all requests have the same value.
type demandPart struct {
	class       int
	value, cost float64
}

// allocate computes the part of each class that is admitted. The highest value comes first, where requests beyond
// a tenant's share have a reduced value. Parts of the same value are admitted in proportion.
func (s *Shedder) allocate(load *aggregate.Load, offered float64) {
	if offered <= s.Limit {
		s.admitAll()
		return
	}
	parts := make([]demandPart, 0, 2*aggregate.Classes)
	for slot := range s.tenantSlots {
		shareLeft := math.Inf(1)
		if slot < len(s.cfg.Shares) && s.cfg.Shares[slot] > 0 {
			shareLeft = s.cfg.Shares[slot] * s.Limit
		}
		for valueIndex, value := range s.values {
			class := slot*len(s.values) + valueIndex
			cost := load.Offered[class]
			within := min(cost, shareLeft)
			shareLeft -= within
			parts = append(parts, demandPart{class, value, within},
				demandPart{class, value * s.cfg.OverShareFactor, cost - within})
		}
	}
	slices.SortStableFunc(parts, func(x, y demandPart) int { return cmp.Compare(y.value, x.value) })
	var admitted [aggregate.Classes]float64
	left := s.Limit
	for i := 0; i < len(parts); {
		j, cost := i, 0.0
		for ; j < len(parts) && parts[j].value == parts[i].value; j++ {
			cost += parts[j].cost
		}
		part := 1.0
		if cost > 0 {
			part = min(1, left/cost)
		}
		for ; i < j; i++ {
			admitted[parts[i].class] += part * parts[i].cost
		}
		left = max(0, left-part*cost)
	}
	for class := range s.AdmittedByClass {
		if s.AdmittedByClass[class] = 1; load.Offered[class] > 0 {
			s.AdmittedByClass[class] = admitted[class] / load.Offered[class]
		} else if class/len(s.values) < s.tenantSlots {
			s.AdmittedByClass[class] = s.idleClassPart(load, class, admitted)
		}
	}
	s.AdmittedPart = s.Limit / offered
}

// idleClassPart returns the admitted part of a class without offered load. It is that of the next more valuable
// class of the tenant which has some, so that new requests of the class are no way around shedding.
func (s *Shedder) idleClassPart(load *aggregate.Load, class int, admitted [aggregate.Classes]float64) float64 {
	for x := class; x >= class/len(s.values)*len(s.values); x-- {
		if load.Offered[x] > 0 {
			return admitted[x] / load.Offered[x]
		}
	}
	return 1
}
