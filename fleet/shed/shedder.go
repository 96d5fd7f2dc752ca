// Package shed says which reqs a fleet denies that cannot serve all, and how many further dispatches it can bear: the same code at
// each member, from a picture that all of them hold nearly alike. It owns the cut and the budget; free of I/O. It must never make
// anybody less strict than it would be alone: what it lets in the decision module may still deny.
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

	correctionInterval = 500 * ms  // between corrections of the limit
	startLoss     = 0.10      // part of what was let in and not served from which there is a cut,
	startAfter   = 500 * ms  // once for so long,
	startAfterUnknown  = 5 * sec   // or so long where neither calm was ever seen nor anybody has a cut: processes that begin turn reqs away while they learn
	targetLoss  = 0.05      // part that a cut in force aims at: alone each denies a little more than it had to
	minCostRate     = 2.0       // cost a second below which nothing is an overload
	maxFall      = 0.05      // most that a step takes off the limit
	firstRise      = 0.01      // what a step without losses adds while reqs are shed; twice that with the next, and so on
	maxRise  = 0.04      // up to this
	fastRise      = 1.0       // what a step adds while answers come as fast as in calm: there is room, whatever is lost,
	fastLatencyFactor     = 1.25      // that is, within this multiple of the time that they took without a cut
	baselineWeight  = 0.02      // weight of the newest such time
	idleRise      = 0.004     // the same while none are: what was borne then says little of what can be
	peerLimitWeight      = 0.3       // part of the way to the others' limit that a step goes
	slackBelow  = 0.9       // of the limit: less than this offered for long enough ends the cut
	firstEndAfter = 10 * sec  // for so long at first, which costs nothing, as nobody is denied; each cut that comes back within the time below takes
	endAfterFactor = 6         // so many times longer to end,
	maxEndAfter  = 300 * sec // up to this
	restartWindow  = 60 * sec
	averagePerChange  = 0.15      // seconds, times the square of the moves of late, over which demand is averaged: who swings is looked at longer
	changeWindow = 120 * sec // over which moves are forgotten
	minChange  = 0.125     // changes of the part let in smaller than this are no moves
	minResize    = 0.2       // change of the members counted, as a part, at which the limit goes with them
)

// Terms is what a cut goes by.
type Config struct {
	Values []float64 // billing value of each rule set
	Shares []float64 // of each tenant; 0: none was agreed
	OverShareFactor   float64   // part of the worth that is left past a tenant's share
}

// Cut is one member's.
type Shedder struct {
	cfg     Config
	values []float64 // values that are told apart, the highest first
	valueIndex  []int     // of each rule set
	tenantSlots int       // tenants that are told apart

	Active     bool
	BaselineLatency   float64                    // mean time of an answer without a cut, in seconds; 0: not known
	Latency   float64                    // the same of late
	Limit  float64                    // cost a second that all counted members together can bear
	AdmittedPart   float64                    // of what is offered that is let in
	AdmittedByClass   [aggregate.Classes]float64 // the same by class
	Changes  int                        // times that it came, went or moved by a step
	lastPart  float64                    // Part at the latest move
	correctedAt int64
	demand   aggregate.Load // demand as it is averaged
	demandAt int64
	recentChanges  decay.Counter
	nextRise   float64 // of the next step
	lossSince  int64   // since when what is let in is not served; 0: it is
	slackSince  int64   // since when little is offered; 0: it is not
	endAfter   int64
	endedAt  int64
	members     float64 // members counted at the latest step
}

// New begins without a cut.
func New(cfg Config) *Shedder {
	s := &Shedder{cfg: cfg, endAfter: firstEndAfter, AdmittedPart: 1, lastPart: 1, endedAt: math.MinInt64 / 2}
	s.tenantSlots = max(1, min(len(cfg.Shares), aggregate.Classes))
	distinct := slices.Compact(slices.SortedFunc(slices.Values(cfg.Values), func(x, y float64) int { return cmp.Compare(y, x) }))
	s.values = distinct[:min(len(distinct), aggregate.Classes/s.tenantSlots)] // the least valuable share the last band
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

// Class is that of a rule set's and tenant's reqs, by their places; -1 where the rule set is not known.
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

// Lets says whether a req of a class is let in; luck, between 0 and 1, belongs to what stays the same over its client's retries.
func (s *Shedder) Admits(class int, clientHash float64) bool { return !s.Active || class < 0 || clientHash < s.AdmittedByClass[class] }

// Step takes the picture of all counted members. It is to be called several times a second.
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
		} else if now-s.lossSince >= startAfterUnknown || now-s.lossSince >= startAfter && (s.BaselineLatency > 0 || load.LimitCount >= 1) {
			s.start(load, members, now)
		}
		return
	}
	if n := float64(members); math.Abs(n-s.members) > minResize*s.members {
		s.Limit *= n / s.members // what members bear goes with them: a half is not the whole
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

// average follows demand, at once where the cut has hardly moved of late.
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
	s.Active, s.Limit, s.members, s.correctedAt, s.slackSince, s.lossSince, s.nextRise = true, load.Served, float64(members), now, 0, 0, firstRise
	if load.LimitCount >= 1 { // others have one already
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

// correct moves the limit by what became of what was let in, and towards what the others hold.
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

// piece is a part of a class that is worth the same throughout.
type demandPart struct {
	class       int
	worth, cost float64
}

// share works out what part of each class is let in: the most worth first, where what a tenant asks past its share counts for
// less, and in proportion among pieces of the same worth.
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
			parts = append(parts, demandPart{class, value, within}, demandPart{class, value * s.cfg.OverShareFactor, cost - within})
		}
	}
	slices.SortStableFunc(parts, func(x, y demandPart) int { return cmp.Compare(y.worth, x.worth) })
	var admitted [aggregate.Classes]float64
	left := s.Limit
	for i := 0; i < len(parts); {
		j, cost := i, 0.0
		for ; j < len(parts) && parts[j].worth == parts[i].worth; j++ {
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

// like is the part of a class of which nothing is offered: that of the next more valuable one of its tenant which has some, so that
// what begins to come of it is no way past the cut.
func (s *Shedder) idleClassPart(load *aggregate.Load, class int, admitted [aggregate.Classes]float64) float64 {
	for x := class; x >= class/len(s.values)*len(s.values); x-- {
		if load.Offered[x] > 0 {
			return admitted[x] / load.Offered[x]
		}
	}
	return 1
}
