// Package assign assigns recurring tasks to members without a leader: each member computes the same ranking of
// members for each task, by rendezvous hashing. The package is free of I/O. Two members may do the same task, but
// a task is never left for too long to a member that does not do it.
package assign

import (
	"cmp"
	"slices"
	"strconv"

	"ivybank/internal/rng"
)

// MaxCandidates is how many members are candidates for a task.
const MaxCandidates = 3

// Config says when tasks are due. Times are in nanoseconds.
type Config struct {
	Interval int64 // between two runs of a task
	// If a task was not reported done for this long the second candidate takes over, and after twice this time the
	// third.
	TakeOverAfter int64
}

// task is one task, by the id of what it concerns.
type task struct {
	id         string
	candidates []int // members by rank
	doneAt     int64 // latest run by any member, as far as known
	ownDoneAt  int64 // latest run by this member
	knownSince int64 // time from which this member knows the task
	jitter     int64 // random delay of the next takeover
}

// Roster is one member's table of tasks.
type Roster struct {
	cfg   Config
	index int
	tasks []task // sorted by id; set by Set
	rng   rng.Source
}

// New returns a roster without tasks.
func New(cfg Config, index int, seed uint64) *Roster {
	return &Roster{cfg: cfg, index: index, rng: rng.Source{Seed: seed}}
}

// Set sets the tasks by their ids, in sorted order, and the members to which they are assigned.
func (r *Roster) Set(ids []string, members []int, now int64) {
	next := make([]task, 0, len(ids))
	for _, id := range ids {
		t := task{id: id, knownSince: now, doneAt: now - r.cfg.Interval, ownDoneAt: now - r.cfg.Interval}
		if i, found := slices.BinarySearchFunc(r.tasks, id, byID); found {
			t = r.tasks[i]
		}
		t.candidates = rankMembers(id, members)
		next = append(next, t)
	}
	r.tasks = next
}

func byID(t task, id string) int { return cmp.Compare(t.id, id) }

// rankMembers returns the candidates of a task, ordered by the hash of both ids with the highest first.
func rankMembers(id string, members []int) []int {
	type scored struct {
		member int
		score  float64
	}
	var best [MaxCandidates]scored
	n := 0
	for _, m := range members {
		candidate := scored{m, rng.Hash(id, strconv.Itoa(m))}
		for i := range best {
			if i >= n || candidate.score > best[i].score {
				best[i], candidate = candidate, best[i]
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

// Done records that a task was done at a time by any member.
func (r *Roster) Done(id string, at int64) {
	if i, found := slices.BinarySearchFunc(r.tasks, id, byID); found {
		r.tasks[i].doneAt = max(r.tasks[i].doneAt, at)
	}
}

// Resume accounts for a stall of the process: reports may have been missed during it.
func (r *Roster) Resume(stalled int64) {
	for i := range r.tasks {
		r.tasks[i].doneAt += stalled
	}
}

// Due returns the ids of the tasks that this member has to do now, and records them as done. The first candidate
// does a task at the interval. The others do it if it was not reported done for the take-over time plus a random
// delay, so that members with the same view do not start at the same time.
func (r *Roster) Due(now int64) (ids []string) {
	for i := range r.tasks {
		t := &r.tasks[i]
		rank := slices.Index(t.candidates, r.index)
		if rank < 0 || now-t.ownDoneAt < r.cfg.Interval {
			continue
		}
		if rank > 0 && now-max(t.doneAt, t.knownSince) < int64(rank)*r.cfg.TakeOverAfter+t.jitter {
			continue
		}
		t.ownDoneAt, t.doneAt = now, max(t.doneAt, now)
		t.jitter = int64(r.rng.Next() * float64(r.cfg.Interval) / 2)
		ids = append(ids, t.id)
	}
	return ids
}

// Owner returns the first candidate of a task and the time of the latest run; -1 if the task is not known.
func (r *Roster) Owner(id string) (member int, at int64) {
	i, found := slices.BinarySearchFunc(r.tasks, id, byID)
	if !found || len(r.tasks[i].candidates) == 0 {
		return -1, 0
	}
	return r.tasks[i].candidates[0], r.tasks[i].doneAt
}
