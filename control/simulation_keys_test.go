package control

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"ivybank/wire"
)

const (
	groupsOfWorld = 3
	keysOfGroup   = 3
	numberNames   = 2
	putPatience   = 4 * time.Second // for which a put is retried
	readPatience  = 3 * time.Second
	watchPatience = 10 * time.Second
)

func groupName(i int) string        { return fmt.Sprintf("g%d.", i) }
func keyName(group, key int) string { return fmt.Sprintf("%s%d", groupName(group), key) }
func numberName(i int) string       { return fmt.Sprintf("n%d", i) }

// keyNumber returns the position of a key in its group.
func keyNumber(key string) int { return int(key[strings.IndexByte(key, '.')+1] - '0') }

// sequentialCaller makes one call after the other.
type caller struct {
	next   func() *errand
	took   func(*errand)
	errand *errand
	nextAt time.Duration
	pause  time.Duration // the longest pause between two calls
	goesOn bool          // continues even when nothing new should be started
}

func (c *caller) step(a *applications) {
	w := a.world
	if c.errand == nil {
		if w.now < c.nextAt || a.quiet && !c.goesOn {
			return
		}
		c.errand = c.next()
	}
	if !a.pursue(c.errand) {
		return
	}
	e := c.errand
	c.errand = nil
	c.nextAt = w.now + w.randomSpan(c.pause)
	c.took(e)
}

// addNumberCallers adds callers that request numbers.
func (a *applications) addNumberCallers(count int) {
	for range count {
		a.actors = append(a.actors, &caller{pause: 200 * time.Millisecond,
			next: func() *errand {
				name := numberName(a.world.random.IntN(numberNames))
				return a.begin(wire.Command{Kind: wire.NextNumber, Name: name}, readPatience)
			},
			took: func(e *errand) {
				if e.clear() {
					a.counts.numbers++
				}
			}})
	}
}

func (a *applications) anyKey() string {
	w := a.world
	return keyName(w.random.IntN(groupsOfWorld), w.random.IntN(keysOfGroup))
}

// addReaders adds callers that read keys.
func (a *applications) addReaders(count int) {
	for range count {
		a.actors = append(a.actors, &caller{pause: 150 * time.Millisecond,
			next: func() *errand { return a.begin(wire.Command{Kind: wire.GetKey, Name: a.anyKey()}, readPatience) },
			took: func(e *errand) {
				if e.clear() {
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
		a.actors = append(a.actors, &caller{pause: 120 * time.Millisecond,
			next: func() *errand { return a.begin(p.next(a), p.patience(a)) },
			took: func(e *errand) { p.took(a, e) }})
	}
}

// next returns a put: unconditional, over the known revision, or of a key that must not exist yet.
func (p *putter) next(a *applications) wire.Command {
	p.made++
	key := a.anyKey()
	c := wire.Command{Kind: wire.ReplaceKey, Name: key, Value: fmt.Sprintf("v%d-%d", p.number, p.made)}
	switch a.world.random.IntN(10) {
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
func (p *putter) patience(a *applications) time.Duration {
	if a.world.random.IntN(4) == 0 {
		return 0
	}
	return putPatience
}

func (p *putter) took(a *applications, e *errand) {
	if !e.clear() {
		return
	}
	p.known[e.command.Name] = e.answer.Revision
	if e.answer.Outcome == wire.Mismatched {
		a.counts.mismatches++
	} else {
		a.counts.puts++
	}
}

// watchedRevision is a revision that a watcher has received.
type saved struct {
	revision uint64
	at       time.Duration
}

// watcher watches a group, and resumes the watch from revisions that it has received.
type watcher struct {
	world *world
	group string
	told  []saved
	from  saved // where the current watch starts
}

// addWatchers adds watchers for each group.
func (a *applications) addWatchers(each int) {
	for i := range each * groupsOfWorld {
		x := &watcher{world: a.world, group: groupName(i % groupsOfWorld)}
		a.actors = append(a.actors, &caller{pause: 20 * time.Millisecond,
			next: func() *errand { return x.next(a) },
			took: func(e *errand) { x.took(a, e) }})
	}
}

// next continues from the newest revision, or at random from an older one or the beginning.
func (x *watcher) next(a *applications) *errand {
	w := a.world
	x.from = saved{}
	if n := len(x.told); n > 0 && w.random.IntN(40) > 0 {
		x.from = x.told[n-1]
		if w.random.IntN(10) == 0 {
			x.from = x.told[w.random.IntN(n)]
			a.counts.resumed++
		}
	}
	wait := int64(100 + w.random.IntN(1900))
	return a.begin(wire.Command{Kind: wire.WatchGroup, Name: x.group, After: x.from.revision, WaitMS: wait}, watchPatience)
}

func (x *watcher) took(a *applications, e *errand) {
	w := a.world
	if !e.clear() {
		return
	}
	if e.answer.Outcome == wire.Compacted {
		if w.now-x.from.at < coordinationHistory {
			w.fail("LOST: a watch of %s can't continue after revision %d, which was answered at %v", x.group, x.from.revision, x.from.at)
		}
		x.told = nil
		return
	}
	a.counts.watches++
	a.counts.events += len(e.answer.Events)
	if e.answer.Revision > 0 {
		x.told = append(x.told, saved{e.answer.Revision, w.now})
	}
	x.told = slices.DeleteFunc(x.told, func(s saved) bool { return w.now-s.at > coordinationHistory })
}
