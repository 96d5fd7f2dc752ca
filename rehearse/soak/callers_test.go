package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ivybank/coordclient"
)

const (
	lockCallers     = 8
	electionCallers = 3
	numberCallers   = 3
	keyCallers      = 6
	readCallers     = 6
	locksShared     = 5
	electionsShared = 2
	numbersShared   = 2
	groupsShared    = 3
	keysOfGroup     = 6

	callPatience  = 8 * time.Second // of a caller, over all its attempts
	longestWork   = 400 * time.Millisecond
	electionHold  = 2 * time.Second
	shortestHold  = 300 * time.Millisecond
	longestHold   = 1200 * time.Millisecond
	longestPauses = 60 * time.Millisecond
	readPause     = 5 * time.Millisecond
)

var errDead = errors.New("the caller is dead")

// mortal carries the calls of one life of a caller.
type mortal struct {
	witness *witness
	dead    atomic.Bool
}

func (m *mortal) RoundTrip(q *http.Request) (*http.Response, error) {
	if m.dead.Load() {
		return nil, errDead
	}
	return m.witness.RoundTrip(q)
}

// applications are the callers of one run.
type applications struct {
	t         *testing.T
	witness   *witness
	addresses []string
	seed      uint64
	callers   sync.WaitGroup
	saved     sync.Map // revisions by group, as watchers saved them last
	lost      atomic.Int64
}

func newApplications(t *testing.T, f *fleet, seed uint64) *applications {
	a := &applications{t: t, witness: newWitness(), seed: seed}
	for _, m := range f.alive(true) {
		a.addresses = append(a.addresses, addressOf(m.number, servicePort))
	}
	return a
}

// client makes a client of a new life.
func (a *applications) client() (*coordclient.Client, *mortal) {
	m := &mortal{witness: a.witness}
	c, err := coordclient.New(coordclient.Options{Addresses: a.addresses, Transport: m})
	if err != nil {
		panic(err)
	}
	return c, m
}

// start has all callers call until the context ends.
func (a *applications) start(ctx context.Context) {
	number := uint64(0)
	run := func(count int, caller func(context.Context, int, *rand.Rand)) {
		for i := range count {
			number++
			random := rand.New(rand.NewPCG(a.seed, number))
			a.callers.Go(func() { caller(ctx, i, random) })
		}
	}
	run(lockCallers, a.takeLocks)
	run(electionCallers, a.standForElection)
	run(numberCallers, a.drawNumbers)
	run(keyCallers, a.putAndRead)
	run(readCallers, a.read)
	run(groupsShared, a.watchAll)
	run(groupsShared, a.watchFromNowOn)
}

func groupName(i int) string { return fmt.Sprint("g", i, ".") }

// found puts the first key of each group, so that watches have something to begin after.
func (a *applications) found(ctx context.Context) {
	c, _ := a.client()
	for i := range groupsShared {
		_, err := c.Put(ctx, groupName(i)+"first", "first")
		assert.NilError(a.t, err)
	}
}

// each calls again and again, with pauses.
func each(ctx context.Context, random *rand.Rand, call func(ctx context.Context)) {
	for ctx.Err() == nil {
		one, cancel := context.WithTimeout(ctx, callPatience)
		call(one)
		cancel()
		pause(ctx, time.Duration(random.Int64N(int64(longestPauses))))
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// takeLocks takes locks for a moment. Some holders die, and come back under their old name; some sleep beyond their time.
func (a *applications) takeLocks(ctx context.Context, number int, random *rand.Rand) {
	c, life := a.client()
	holder := fmt.Sprint("caller-", number)
	each(ctx, random, func(ctx context.Context) {
		name := fmt.Sprint("l", random.IntN(locksShared))
		hold := shortestHold + time.Duration(random.Int64N(int64(longestHold-shortestHold)))
		work, fate := time.Duration(random.Int64N(int64(longestWork))), random.IntN(10)
		l, err := c.TryLockAs(ctx, name, holder, hold)
		if err != nil {
			return
		}
		switch fate {
		case 0: // dies
			life.dead.Store(true)
			pause(ctx, work)
			c, life = a.client()
		case 1: // stands still beyond its time
			life.dead.Store(true)
			pause(ctx, hold+work)
			life.dead.Store(false)
			a.giveBack(l)
		default:
			a.work(l, work)
			a.giveBack(l)
		}
	})
}

// work holds a lock for a time, or until it is lost.
func (a *applications) work(l *coordclient.Lock, span time.Duration) {
	select {
	case <-l.Context().Done():
		a.lost.Add(1)
	case <-time.After(span):
	}
}

// giveBack sends Finish. Nothing waits for a lock whose return got no answer.
func (a *applications) giveBack(l *coordclient.Lock) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	_ = l.Finish(ctx)
}

// standForElection holds locks for long.
func (a *applications) standForElection(ctx context.Context, number int, random *rand.Rand) {
	c, _ := a.client()
	each(ctx, random, func(one context.Context) {
		l, err := c.Lock(one, fmt.Sprint("e", number%electionsShared), electionHold)
		if err != nil {
			return
		}
		a.work(l, time.Duration(random.Int64N(int64(3*electionHold))))
		a.giveBack(l)
	})
}

func (a *applications) drawNumbers(ctx context.Context, number int, random *rand.Rand) {
	c, _ := a.client()
	each(ctx, random, func(ctx context.Context) { _, _ = c.NextNumber(ctx, fmt.Sprint("n", random.IntN(numbersShared))) })
}

// putAndRead puts and reads keys, half of the puts upon the revision that was read last.
func (a *applications) putAndRead(ctx context.Context, number int, random *rand.Rand) {
	c, _ := a.client()
	seen, puts := map[string]uint64{}, 0
	each(ctx, random, func(ctx context.Context) {
		key := groupName(random.IntN(groupsShared)) + fmt.Sprint("k", random.IntN(keysOfGroup))
		puts++
		value := fmt.Sprintf("value-%d-%d", number, puts)
		switch random.IntN(4) {
		case 0:
			if got, err := c.Get(ctx, key); err == nil {
				seen[key] = got.Revision
			}
		case 1:
			_, _ = c.Put(ctx, key, value)
		default:
			revision, err := c.PutIf(ctx, key, value, seen[key])
			var mismatch *coordclient.MismatchError
			switch {
			case err == nil:
				seen[key] = revision
			case errors.As(err, &mismatch):
				seen[key] = mismatch.Revision
			}
		}
	})
}

// read reads keys in quick succession, always at one address: also where that is a leader that has been cut off.
func (a *applications) read(ctx context.Context, number int, random *rand.Rand) {
	address := a.addresses[number%len(a.addresses)]
	c, err := coordclient.New(coordclient.Options{Addresses: []string{address}, Transport: a.witness})
	if err != nil {
		panic(err)
	}
	for ctx.Err() == nil {
		key := groupName(random.IntN(groupsShared)) + fmt.Sprint("k", random.IntN(keysOfGroup))
		one, cancel := context.WithTimeout(ctx, callPatience/10)
		_, _ = c.Get(one, key)
		cancel()
		pause(ctx, readPause)
	}
}

// watchAll watches a group from its first put, and takes the watch up anew again and again.
func (a *applications) watchAll(ctx context.Context, group int, random *rand.Rand) {
	a.watch(ctx, group, 1, random)
}

// watchFromNowOn watches a group from what is present.
func (a *applications) watchFromNowOn(ctx context.Context, group int, random *rand.Rand) {
	a.watch(ctx, group, 0, random)
}

func (a *applications) watch(ctx context.Context, group int, after uint64, random *rand.Rand) {
	for ctx.Err() == nil {
		c, _ := a.client()
		watch := c.Watch(groupName(group), after)
		left := 1 + random.IntN(200)
		for _, err := range watch.Changes(ctx) {
			left--
			if err != nil || left == 0 {
				break
			}
		}
		after = watch.Revision()
		if after > 0 {
			a.saved.Store(groupName(group), after)
		}
	}
}
