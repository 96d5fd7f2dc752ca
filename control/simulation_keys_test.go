package control

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"ivybank/wire"
)

const (
	groupCount     = 3
	keysPerGroup   = 3
	numberCount    = 2
	putRetryTime   = 4 * time.Second // for which a put is retried
	readRetryTime  = 3 * time.Second
	watchRetryTime = 10 * time.Second
)

func groupName(i int) string        { return fmt.Sprintf("g%d.", i) }
func keyName(group, key int) string { return fmt.Sprintf("%s%d", groupName(group), key) }
func numberName(i int) string       { return fmt.Sprintf("n%d", i) }

// keyNumber returns the position of a key in its group.
func keyNumber(key string) int { return int(key[strings.IndexByte(key, '.')+1] - '0') }

// sequentialCaller makes one call after the other.
type sequentialCaller struct {
	next     func() *task
	handle   func(*task)
	task     *task
	nextAt   time.Duration
	maxPause time.Duration // the longest pause between two calls
	always   bool          // continues even when nothing new should be started
}

func (c *sequentialCaller) step(a *applications) {
	sim := a.sim
	if c.task == nil {
		if sim.now < c.nextAt || a.stopping && !c.always {
			return
		}
		c.task = c.next()
	}
	if !a.advance(c.task) {
		return
	}
	t := c.task
	c.task = nil
	c.nextAt = sim.now + sim.randomSpan(c.maxPause)
	c.handle(t)
}

// addNumberCallers adds callers that request numbers.
func (a *applications) addNumberCallers(count int) {
	for range count {
		a.callers = append(a.callers, &sequentialCaller{maxPause: 200 * time.Millisecond,
			next: func() *task {
				name := numberName(a.sim.random.IntN(numberCount))
				return a.newTask(wire.Command{Kind: wire.NextNumber, Name: name}, readRetryTime)
			},
			handle: func(t *task) {
				if t.hasAnswer() {
					a.counts.numbers++
				}
			}})
	}
}

func (a *applications) anyKey() string {
	sim := a.sim
	return keyName(sim.random.IntN(groupCount), sim.random.IntN(keysPerGroup))
}

// addReaders adds callers that read keys.
func (a *applications) addReaders(count int) {
	for range count {
		a.callers = append(a.callers, &sequentialCaller{maxPause: 150 * time.Millisecond,
			next: func() *task { return a.newTask(wire.Command{Kind: wire.GetKey, Name: a.anyKey()}, readRetryTime) },
			handle: func(t *task) {
				if t.hasAnswer() {
					a.counts.reads++
				}
			}})
	}
}

// putter puts unique values to keys, some with a condition on a revision that it knows.
type putter struct {
	number int
	made   int
	known  map[string]uint64 // the newest revision of a key that it was answered
}

// addPutters adds callers that put.
func (a *applications) addPutters(count int) {
	for i := range count {
		p := &putter{number: i, known: map[string]uint64{}}
		a.callers = append(a.callers, &sequentialCaller{maxPause: 120 * time.Millisecond,
			next:   func() *task { return a.newTask(p.next(a), p.retryFor(a)) },
			handle: func(t *task) { p.handle(a, t) }})
	}
}

// next returns a put: unconditional, over the known revision, or of a key that must not exist yet.
func (p *putter) next(a *applications) wire.Command {
	p.made++
	key := a.anyKey()
	c := wire.Command{Kind: wire.ReplaceKey, Name: key, Value: fmt.Sprintf("v%d-%d", p.number, p.made)}
	switch a.sim.random.IntN(10) {
	case 0, 1, 2, 3:
	case 4:
		c.IfRevision = new(uint64)
	default:
		known := p.known[key]
		c.IfRevision = &known
	}
	return c
}

// retryFor returns how long a put is retried. A put that is sent only once and answered 503 must never become visible.
func (p *putter) retryFor(a *applications) time.Duration {
	if a.sim.random.IntN(4) == 0 {
		return 0
	}
	return putRetryTime
}

func (p *putter) handle(a *applications, t *task) {
	if !t.hasAnswer() {
		return
	}
	p.known[t.command.Name] = t.answer.Revision
	if t.answer.Outcome == wire.Mismatched {
		a.counts.mismatches++
	} else {
		a.counts.puts++
	}
}

// watchedRevision is a revision that a watcher has received.
type watchedRevision struct {
	revision   uint64
	receivedAt time.Duration
}

// watcher watches a group, and resumes the watch from revisions that it has received.
type watcher struct {
	sim   *simulation
	group string
	known []watchedRevision
	from  watchedRevision // where the current watch starts
}

// addWatchers adds watchers for each group.
func (a *applications) addWatchers(each int) {
	for i := range each * groupCount {
		w := &watcher{sim: a.sim, group: groupName(i % groupCount)}
		a.callers = append(a.callers, &sequentialCaller{maxPause: 20 * time.Millisecond,
			next:   func() *task { return w.next(a) },
			handle: func(t *task) { w.handle(a, t) }})
	}
}

// next continues from the newest revision, or at random from an older one or the beginning.
func (w *watcher) next(a *applications) *task {
	sim := a.sim
	w.from = watchedRevision{}
	if n := len(w.known); n > 0 && sim.random.IntN(40) > 0 {
		w.from = w.known[n-1]
		if sim.random.IntN(10) == 0 {
			w.from = w.known[sim.random.IntN(n)]
			a.counts.resumed++
		}
	}
	wait := int64(100 + sim.random.IntN(1900))
	return a.newTask(wire.Command{Kind: wire.WatchGroup, Name: w.group, After: w.from.revision, WaitMS: wait},
		watchRetryTime)
}

func (w *watcher) handle(a *applications, t *task) {
	sim := a.sim
	if !t.hasAnswer() {
		return
	}
	if t.answer.Outcome == wire.Compacted {
		if sim.now-w.from.receivedAt < coordinationHistory {
			sim.fail("LOST: a watch of %s can't continue after revision %d, which was answered at %v", w.group,
				w.from.revision, w.from.receivedAt)
		}
		w.known = nil
		return
	}
	a.counts.watches++
	a.counts.events += len(t.answer.Events)
	if t.answer.Revision > 0 {
		w.known = append(w.known, watchedRevision{t.answer.Revision, sim.now})
	}
	w.known = slices.DeleteFunc(w.known, func(s watchedRevision) bool {
		return sim.now-s.receivedAt > coordinationHistory
	})
}
