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

	stepEvery = 500 * ms  // between corrections of the limit
	onset     = 0.10      // part of what was let in and not served from which there is a cut,
	lasting   = 500 * ms  // once for so long,
	settling  = 5 * sec   // or so long where neither calm was ever seen nor anybody has a cut: processes that begin turn reqs away while they learn
	bearable  = 0.05      // part that a cut in force aims at: alone each denies a little more than it had to
	least     = 2.0       // cost a second below which nothing is an overload
	fall      = 0.05      // most that a step takes off the limit
	rise      = 0.01      // what a step without losses adds while reqs are shed; twice that with the next, and so on
	riseMost  = 0.04      // up to this
	leap      = 1.0       // what a step adds while answers come as fast as in calm: there is room, whatever is lost,
	quick     = 1.25      // that is, within this multiple of the time that they took without a cut
	calmPart  = 0.02      // weight of the newest such time
	ease      = 0.004     // the same while none are: what was borne then says little of what can be
	pull      = 0.3       // part of the way to the others' limit that a step goes
	slackOff  = 0.9       // of the limit: less than this offered for long enough ends the cut
	holdFirst = 10 * sec  // for so long at first, which costs nothing, as nobody is denied; each cut that comes back within the time below takes
	holdTimes = 6         // so many times longer to end,
	holdMost  = 300 * sec // up to this
	backSoon  = 60 * sec
	calmDown  = 0.15      // seconds, times the square of the moves of late, over which demand is averaged: who swings is looked at longer
	lateMoves = 120 * sec // over which moves are forgotten
	moveStep  = 0.125     // changes of the part let in smaller than this are no moves
	resize    = 0.2       // change of the members counted, as a part, at which the limit goes with them
)

// Terms is what a cut goes by.
type Terms struct {
	Values []float64 // billing value of each rule set
	Shares []float64 // of each tenant; 0: none was agreed
	Over   float64   // part of the worth that is left past a tenant's share
}

// Cut is one member's.
type Cut struct {
	t     Terms
	bands []float64 // values that are told apart, the highest first
	band  []int     // of each rule set
	slots int       // tenants that are told apart

	On     bool
	Calm   float64                    // mean time of an answer without a cut, in seconds; 0: not known
	Took   float64                    // the same of late
	Limit  float64                    // cost a second that all counted members together can bear
	Part   float64                    // of what is offered that is let in
	Pass   [aggregate.Classes]float64 // the same by class
	Moves  int                        // times that it came, went or moved by a step
	level  float64                    // Part at the latest move
	stepAt int64
	seen   aggregate.Load // demand as it is averaged
	seenAt int64
	moved  decay.Counter
	rise   float64 // of the next step
	short  int64   // since when what is let in is not served; 0: it is
	under  int64   // since when little is offered; 0: it is not
	hold   int64
	offAt  int64
	of     float64 // members counted at the latest step
}

// New begins without a cut.
func New(t Terms) *Cut {
	c := &Cut{t: t, hold: holdFirst, Part: 1, level: 1, offAt: math.MinInt64 / 2}
	c.slots = max(1, min(len(t.Shares), aggregate.Classes))
	distinct := slices.Compact(slices.SortedFunc(slices.Values(t.Values), func(x, y float64) int { return cmp.Compare(y, x) }))
	c.bands = distinct[:min(len(distinct), aggregate.Classes/c.slots)] // the least valuable share the last band
	for _, v := range t.Values {
		i := slices.IndexFunc(c.bands, func(b float64) bool { return v >= b })
		if i < 0 {
			i = len(c.bands) - 1
		}
		c.band = append(c.band, i)
	}
	c.passAll()
	return c
}

// Class is that of a rule set's and tenant's reqs, by their places; -1 where the rule set is not known.
func (c *Cut) Class(set, tenant int) int {
	if set < 0 || set >= len(c.band) {
		return -1
	}
	return max(0, tenant)%c.slots*len(c.bands) + c.band[set]
}

func (c *Cut) passAll() {
	c.Part = 1
	for i := range c.Pass {
		c.Pass[i] = 1
	}
}

// Lets says whether a req of a class is let in; luck, between 0 and 1, belongs to what stays the same over its client's retries.
func (c *Cut) Lets(class int, luck float64) bool { return !c.On || class < 0 || luck < c.Pass[class] }

// Step takes the picture of all counted members. It is to be called several times a second.
func (c *Cut) Step(l *aggregate.Load, of int, now int64) {
	offered := l.TotalOffered()
	loss := 0.0
	if l.Served+l.Unserved > least {
		loss = l.Unserved / (l.Served + l.Unserved)
	}
	took := 0.0
	if l.Served > least {
		took = l.ServerTime / l.Served
	}
	c.Took = took
	if !c.On {
		if loss < bearable && took > 0 {
			c.Calm = cmp.Or(c.Calm, took)
			c.Calm += calmPart * (took - c.Calm)
		}
		if loss <= onset || l.Served <= 0 {
			c.short = 0
		} else if c.short == 0 {
			c.short = now
		} else if now-c.short >= settling || now-c.short >= lasting && (c.Calm > 0 || l.LimitCount >= 1) {
			c.begin(l, of, now)
		}
		return
	}
	if n := float64(of); math.Abs(n-c.of) > resize*c.of {
		c.Limit *= n / c.of // what members bear goes with them: a half is not the whole
		for i := range c.seen.Offered {
			c.seen.Offered[i] *= n / c.of
		}
		c.of = n
	}
	if now-c.stepAt >= stepEvery {
		c.stepAt = now
		c.correct(l, loss, took, offered)
	}
	if offered >= slackOff*c.Limit {
		c.under = 0
	} else if c.under == 0 {
		c.under = now
	} else if now-c.under >= c.hold {
		c.end(now)
		return
	}
	c.average(l, now)
	c.share(&c.seen, c.seen.TotalOffered())
	if math.Abs(c.Part-c.level) > moveStep {
		c.level = c.Part
		c.move(now)
	}
}

func (c *Cut) move(now int64) {
	c.Moves++
	c.moved.Add(now, lateMoves)
}

// average follows demand, at once where the cut has hardly moved of late.
func (c *Cut) average(l *aggregate.Load, now int64) {
	over := calmDown * math.Pow(c.moved.Now(now, lateMoves), 2) * float64(sec)
	part := 1 - math.Exp(-float64(now-c.seenAt)/max(1, over))
	c.seenAt = now
	for i := range l.Offered {
		c.seen.Offered[i] += part * (l.Offered[i] - c.seen.Offered[i])
	}
}

func (c *Cut) begin(l *aggregate.Load, of int, now int64) {
	if now-c.offAt < backSoon {
		c.hold = min(holdMost, c.hold*holdTimes)
	} else {
		c.hold = holdFirst
	}
	c.On, c.Limit, c.of, c.stepAt, c.under, c.short, c.rise = true, l.Served, float64(of), now, 0, 0, rise
	if l.LimitCount >= 1 { // others have one already
		c.Limit = max(c.Limit, l.Limit/l.LimitCount)
	}
	c.move(now)
	c.seen = *l
	c.share(l, l.TotalOffered())
	c.level = c.Part
}

func (c *Cut) end(now int64) {
	c.On, c.offAt = false, now
	c.move(now)
	c.passAll()
	c.level = 1
}

// correct moves the limit by what became of what was let in, and towards what the others hold.
func (c *Cut) correct(l *aggregate.Load, loss, took, offered float64) {
	switch {
	case c.Calm > 0 && took > 0 && took < quick*c.Calm && offered > c.Limit:
		c.Limit *= 1 + leap
	case loss > bearable:
		c.rise = rise
		c.Limit = max(min(c.Limit, l.Served), c.Limit*(1-min(fall, loss-bearable)))
	case offered > c.Limit:
		c.Limit *= 1 + c.rise
		c.rise = min(riseMost, 2*c.rise)
	default:
		c.Limit *= 1 + ease
	}
	if l.LimitCount >= 1 {
		c.Limit += pull * (l.Limit/l.LimitCount - c.Limit)
	}
}

// piece is a part of a class that is worth the same throughout.
type piece struct {
	class       int
	worth, cost float64
}

// share works out what part of each class is let in: the most worth first, where what a tenant asks past its share counts for
// less, and in proportion among pieces of the same worth.
func (c *Cut) share(l *aggregate.Load, offered float64) {
	if offered <= c.Limit {
		c.passAll()
		return
	}
	pieces := make([]piece, 0, 2*aggregate.Classes)
	for slot := range c.slots {
		own := math.Inf(1)
		if slot < len(c.t.Shares) && c.t.Shares[slot] > 0 {
			own = c.t.Shares[slot] * c.Limit
		}
		for b, v := range c.bands {
			class := slot*len(c.bands) + b
			cost := l.Offered[class]
			within := min(cost, own)
			own -= within
			pieces = append(pieces, piece{class, v, within}, piece{class, v * c.t.Over, cost - within})
		}
	}
	slices.SortStableFunc(pieces, func(x, y piece) int { return cmp.Compare(y.worth, x.worth) })
	var let [aggregate.Classes]float64
	left := c.Limit
	for i := 0; i < len(pieces); {
		j, cost := i, 0.0
		for ; j < len(pieces) && pieces[j].worth == pieces[i].worth; j++ {
			cost += pieces[j].cost
		}
		part := 1.0
		if cost > 0 {
			part = min(1, left/cost)
		}
		for ; i < j; i++ {
			let[pieces[i].class] += part * pieces[i].cost
		}
		left = max(0, left-part*cost)
	}
	for class := range c.Pass {
		if c.Pass[class] = 1; l.Offered[class] > 0 {
			c.Pass[class] = let[class] / l.Offered[class]
		} else if class/len(c.bands) < c.slots {
			c.Pass[class] = c.like(l, class, let)
		}
	}
	c.Part = c.Limit / offered
}

// like is the part of a class of which nothing is offered: that of the next more valuable one of its tenant which has some, so that
// what begins to come of it is no way past the cut.
func (c *Cut) like(l *aggregate.Load, class int, let [aggregate.Classes]float64) float64 {
	for x := class; x >= class/len(c.bands)*len(c.bands); x-- {
		if l.Offered[x] > 0 {
			return let[x] / l.Offered[x]
		}
	}
	return 1
}
