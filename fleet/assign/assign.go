// Package assign divides standing duties among members without a leader: each member works out the same order of members for each
// duty. It owns that order and when one whose turn it is not takes over. Free of I/O. Two who do the same are borne; it must never
// leave a duty to one who has not done it for too long.
package assign

import (
	"cmp"
	"slices"
	"strconv"

	"ivybank/internal/rng"
)

// Ranks is how many members stand ready for a duty.
const Ranks = 3

// Terms is when a duty is due. Times are nanoseconds.
type Config struct {
	Interval      int64 // between two times that it is done
	TakeOverAfter int64 // without word of it for so long the next in rank does it, for twice as long the one after
}

// duty is one, by the id of what it is about.
type duty struct {
	id     string
	ranks  []int // members, first the one whose it is
	heard  int64 // when it was last done, as far as is known
	mine   int64 // when it was last done here
	begun  int64 // since when it is known here
	period int64 // drawn length of the present pause
}

// Roster is one member's.
type Roster struct {
	t      Config
	me     int
	duties []duty // by id; set by Set
	dice   rng.Source
}

// New begins without duties.
func New(t Config, me int, seed uint64) *Roster {
	return &Roster{t: t, me: me, dice: rng.Source{Seed: seed}}
}

// Set takes what there is to do, ids in order, and the members among whom it is divided.
func (r *Roster) Set(ids []string, living []int, now int64) {
	next := make([]duty, 0, len(ids))
	for _, id := range ids {
		d := duty{id: id, begun: now, heard: now - r.t.Interval, mine: now - r.t.Interval}
		if i, had := slices.BinarySearchFunc(r.duties, id, byID); had {
			d = r.duties[i]
		}
		d.ranks = rank(id, living)
		next = append(next, d)
	}
	r.duties = next
}

func byID(d duty, id string) int { return cmp.Compare(d.id, id) }

// rank orders the members of a duty by the hash of both, the highest first.
func rank(id string, living []int) []int {
	type scored struct {
		member int
		score  float64
	}
	var best [Ranks]scored
	n := 0
	for _, m := range living {
		x := scored{m, rng.Hash(id, strconv.Itoa(m))}
		for i := range best {
			if i >= n || x.score > best[i].score {
				best[i], x = x, best[i]
			}
			if i >= n {
				n++
				break
			}
		}
	}
	out := make([]int, n)
	for i := range out {
		out[i] = best[i].member
	}
	return out
}

// Done tells that a duty was done at a time, here or elsewhere.
func (r *Roster) Done(id string, at int64) {
	if i, had := slices.BinarySearchFunc(r.duties, id, byID); had {
		r.duties[i].heard = max(r.duties[i].heard, at)
	}
}

// Stood tells that this process did not run for so long: what it did not hear meanwhile may have been said.
func (r *Roster) Stood(away int64) {
	for i := range r.duties {
		r.duties[i].heard += away
	}
}

// Due gives the ids of what is to be done here now, and notes that it is. The first in rank does it at its pace; the next when
// nothing was heard of it for the time after, each with some chance, so that those who see the same do not start as one.
func (r *Roster) Due(now int64) (ids []string) {
	for i := range r.duties {
		d := &r.duties[i]
		place := slices.Index(d.ranks, r.me)
		if place < 0 || now-d.mine < r.t.Interval {
			continue
		}
		if place > 0 && now-max(d.heard, d.begun) < int64(place)*r.t.TakeOverAfter+d.period {
			continue
		}
		d.mine, d.heard = now, max(d.heard, now)
		d.period = int64(r.dice.Next() * float64(r.t.Interval) / 2)
		ids = append(ids, d.id)
	}
	return ids
}

// Owner says who is first in rank of a duty, whether that is this member, and when it was last done; -1 where it is not known.
func (r *Roster) Owner(id string) (member int, at int64) {
	i, had := slices.BinarySearchFunc(r.duties, id, byID)
	if !had || len(r.duties[i].ranks) == 0 {
		return -1, 0
	}
	return r.duties[i].ranks[0], r.duties[i].heard
}
