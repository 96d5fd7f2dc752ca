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
const MaxCandidates = 3

// Terms is when a duty is due. Times are nanoseconds.
type Config struct {
	Interval      int64 // between two times that it is done
	TakeOverAfter int64 // without word of it for so long the next in rank does it, for twice as long the one after
}

// duty is one, by the id of what it is about.
type task struct {
	id     string
	candidates  []int // members, first the one whose it is
	doneAt  int64 // when it was last done, as far as is known
	ownDoneAt   int64 // when it was last done here
	knownSince  int64 // since when it is known here
	jitter int64 // drawn length of the present pause
}

// Roster is one member's.
type Roster struct {
	cfg      Config
	index     int
	tasks []task // by id; set by Set
	rng   rng.Source
}

// New begins without duties.
func New(cfg Config, index int, seed uint64) *Roster {
	return &Roster{cfg: cfg, index: index, rng: rng.Source{Seed: seed}}
}

// Set takes what there is to do, ids in order, and the members among whom it is divided.
func (r *Roster) Set(ids []string, members []int, now int64) {
	next := make([]task, 0, len(ids))
	for _, id := range ids {
		d := task{id: id, knownSince: now, doneAt: now - r.cfg.Interval, ownDoneAt: now - r.cfg.Interval}
		if i, had := slices.BinarySearchFunc(r.tasks, id, byID); had {
			d = r.tasks[i]
		}
		d.candidates = rankMembers(id, members)
		next = append(next, d)
	}
	r.tasks = next
}

func byID(d task, id string) int { return cmp.Compare(d.id, id) }

// rank orders the members of a duty by the hash of both, the highest first.
func rankMembers(id string, members []int) []int {
	type scored struct {
		member int
		score  float64
	}
	var best [MaxCandidates]scored
	n := 0
	for _, m := range members {
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
	if i, had := slices.BinarySearchFunc(r.tasks, id, byID); had {
		r.tasks[i].doneAt = max(r.tasks[i].doneAt, at)
	}
}

// Stood tells that this process did not run for so long: what it did not hear meanwhile may have been said.
func (r *Roster) Resume(stalled int64) {
	for i := range r.tasks {
		r.tasks[i].doneAt += stalled
	}
}

// Due gives the ids of what is to be done here now, and notes that it is. The first in rank does it at its pace; the next when
// nothing was heard of it for the time after, each with some chance, so that those who see the same do not start as one.
func (r *Roster) Due(now int64) (ids []string) {
	for i := range r.tasks {
		d := &r.tasks[i]
		rank := slices.Index(d.candidates, r.index)
		if rank < 0 || now-d.ownDoneAt < r.cfg.Interval {
			continue
		}
		if rank > 0 && now-max(d.doneAt, d.knownSince) < int64(rank)*r.cfg.TakeOverAfter+d.jitter {
			continue
		}
		d.ownDoneAt, d.doneAt = now, max(d.doneAt, now)
		d.jitter = int64(r.rng.Next() * float64(r.cfg.Interval) / 2)
		ids = append(ids, d.id)
	}
	return ids
}

// Owner says who is first in rank of a duty, whether that is this member, and when it was last done; -1 where it is not known.
func (r *Roster) Owner(id string) (member int, at int64) {
	i, had := slices.BinarySearchFunc(r.tasks, id, byID)
	if !had || len(r.tasks[i].candidates) == 0 {
		return -1, 0
	}
	return r.tasks[i].candidates[0], r.tasks[i].doneAt
}
