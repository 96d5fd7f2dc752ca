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
	lockCount       = 5
	electionCount   = 2
	numberCount     = 2
	groupCount      = 3
	keysPerGroup    = 6

	callTimeout      = 8 * time.Second // for one call, all its attempts included
	maxWork          = 400 * time.Millisecond
	electionHoldTime = 2 * time.Second
	minHold          = 300 * time.Millisecond
	maxHold          = 1200 * time.Millisecond
	maxPause         = 60 * time.Millisecond
	readInterval     = 5 * time.Millisecond
)

var errCallerCrashed = errors.New("the simulated caller has crashed")

// callerTransport carries the calls of one caller. Once the caller has crashed, every call fails without being sent.
type callerTransport struct {
	checker *checker
	crashed atomic.Bool
}

func (t *callerTransport) RoundTrip(q *http.Request) (*http.Response, error) {
	if t.crashed.Load() {
		return nil, errCallerCrashed
	}
	return t.checker.RoundTrip(q)
}

// applications holds the simulated applications of one run.
type applications struct {
	t              *testing.T
	checker        *checker
	addresses      []string
	seed           uint64
	callers        sync.WaitGroup
	savedRevisions sync.Map // by group, the last revision that a watcher saved
	locksLost      atomic.Int64
}

func newApplications(t *testing.T, f *fleet, seed uint64) *applications {
	a := &applications{t: t, checker: newChecker(), seed: seed}
	for _, m := range f.alive(true) {
		a.addresses = append(a.addresses, addressOf(m.number, servicePort))
	}
	return a
}

// client makes a client with a transport of its own, like a caller that has just started.
func (a *applications) client() (*coordclient.Client, *callerTransport) {
	t := &callerTransport{checker: a.checker}
	c, err := coordclient.New(coordclient.Options{Addresses: a.addresses, Transport: t})
	if err != nil {
		panic(err)
	}
	return c, t
}

// start starts all callers; they run until the context ends.
func (a *applications) start(ctx context.Context) {
	number := uint64(0)
	run := func(count int, caller func(context.Context, int, *rand.Rand)) {
		for i := range count {
			number++
			random := rand.New(rand.NewPCG(a.seed, number))
			a.callers.Go(func() { caller(ctx, i, random) })
		}
	}
	run(lockCallers, a.acquireLocks)
	run(electionCallers, a.runElections)
	run(numberCallers, a.drawNumbers)
	run(keyCallers, a.putAndRead)
	run(readCallers, a.read)
	run(groupCount, a.watchFromStart)
	run(groupCount, a.watchFromNow)
}

func groupName(i int) string { return fmt.Sprint("g", i, ".") }

// putFirstKeys puts the first key of each group, so that watches have a revision to start after.
func (a *applications) putFirstKeys(ctx context.Context) {
	c, _ := a.client()
	for i := range groupCount {
		_, err := c.Put(ctx, groupName(i)+"first", "first")
		assert.NilError(a.t, err)
	}
}

// repeat runs call with random pauses until the context ends. Each run has a timeout.
func repeat(ctx context.Context, random *rand.Rand, call func(ctx context.Context)) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		call(callCtx)
		cancel()
		pause(ctx, time.Duration(random.Int64N(int64(maxPause))))
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// acquireLocks takes locks and holds them briefly. Some holders crash and return under the same name; some stall
// until after their lock has expired.
func (a *applications) acquireLocks(ctx context.Context, number int, random *rand.Rand) {
	c, transport := a.client()
	holder := fmt.Sprint("caller-", number)
	repeat(ctx, random, func(ctx context.Context) {
		name := fmt.Sprint("l", random.IntN(lockCount))
		hold := minHold + time.Duration(random.Int64N(int64(maxHold-minHold)))
		work, outcome := time.Duration(random.Int64N(int64(maxWork))), random.IntN(10)
		l, err := c.TryLockAs(ctx, name, holder, hold)
		if err != nil {
			return
		}
		switch outcome {
		case 0: // crashes
			transport.crashed.Store(true)
			pause(ctx, work)
			c, transport = a.client()
		case 1: // stalls until after the lock has expired
			transport.crashed.Store(true)
			pause(ctx, hold+work)
			transport.crashed.Store(false)
			a.release(l)
		default:
			a.work(l, work)
			a.release(l)
		}
	})
}

// work holds a lock for a given time, or until it is lost.
func (a *applications) work(l *coordclient.Lock, span time.Duration) {
	select {
	case <-l.Context().Done():
		a.locksLost.Add(1)
	case <-time.After(span):
	}
}

// release sends Finish. An error is ignored: no caller waits for a lock whose release got no answer.
func (a *applications) release(l *coordclient.Lock) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	_ = l.Finish(ctx)
}

// runElections takes election locks and holds them for a long time.
func (a *applications) runElections(ctx context.Context, number int, random *rand.Rand) {
	c, _ := a.client()
	repeat(ctx, random, func(callCtx context.Context) {
		l, err := c.Lock(callCtx, fmt.Sprint("e", number%electionCount), electionHoldTime)
		if err != nil {
			return
		}
		a.work(l, time.Duration(random.Int64N(int64(3*electionHoldTime))))
		a.release(l)
	})
}

func (a *applications) drawNumbers(ctx context.Context, number int, random *rand.Rand) {
	c, _ := a.client()
	repeat(ctx, random, func(ctx context.Context) { _, _ = c.NextNumber(ctx, fmt.Sprint("n", random.IntN(numberCount))) })
}

// putAndRead puts and reads keys. Half of the calls are puts that are conditional on the revision that was seen last.
func (a *applications) putAndRead(ctx context.Context, number int, random *rand.Rand) {
	c, _ := a.client()
	seen, puts := map[string]uint64{}, 0
	repeat(ctx, random, func(ctx context.Context) {
		key := groupName(random.IntN(groupCount)) + fmt.Sprint("k", random.IntN(keysPerGroup))
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

// read reads keys in quick succession, always at the same address, even when that is a leader that has been
// partitioned off.
func (a *applications) read(ctx context.Context, number int, random *rand.Rand) {
	address := a.addresses[number%len(a.addresses)]
	c, err := coordclient.New(coordclient.Options{Addresses: []string{address}, Transport: a.checker})
	if err != nil {
		panic(err)
	}
	for ctx.Err() == nil {
		key := groupName(random.IntN(groupCount)) + fmt.Sprint("k", random.IntN(keysPerGroup))
		callCtx, cancel := context.WithTimeout(ctx, callTimeout/10)
		_, _ = c.Get(callCtx, key)
		cancel()
		pause(ctx, readInterval)
	}
}

// watchFromStart watches a group from its first put, and resumes the watch repeatedly.
func (a *applications) watchFromStart(ctx context.Context, group int, random *rand.Rand) {
	a.watch(ctx, group, 1, random)
}

// watchFromNow watches a group from its current state.
func (a *applications) watchFromNow(ctx context.Context, group int, random *rand.Rand) {
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
			a.savedRevisions.Store(groupName(group), after)
		}
	}
}
