package coordination

import (
	"errors"
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ivybank/wire"
)

// The search is an exhaustive model check, within its bounds, of two callers that make a few calls on one lock. Each
// call arrives once, twice or never, at any later time and in any order; each answer arrives at any later time, or
// never. A caller counts its hold from the time of sending. The group time sometimes stands still, as it does during a
// change of leader, and never runs ahead of real time.
//
// All states are values of one comparable type, so that a set of them tells which ones have been visited.
const (
	searchCallers = 2
	searchCalls   = 3 // maximum calls of one caller
	searchCopies  = 2 // maximum arrivals of each call
	beginHold     = 2 // ticks
	heartbeatHold = 1 // ticks; shorter than beginHold, as a caller may ask for less
	tick          = time.Millisecond
)

// searchTicks can be raised by hand: 4 takes about ten times as long as 3.
var searchTicks = flag.Int("search.ticks", 3, "length, in ticks, of the search for two holders of one lock")

// searchBounds limits a search.
type searchBounds struct {
	calls [searchCallers]int8
	ticks int8
	lag   int8 // total ticks for which the group time may stand still
}

// heldLock is the lock as the State stores it. The zero value is a free lock.
type heldLock struct {
	holder            int8 // number of the caller, starting at 1
	firstFence, fence int8
	expires           int8 // tick of the group time
}

// searchCaller is a caller that competes for the lock.
type searchCaller struct {
	callsSent    int8 // number of calls that it has sent
	awaitedCall  int8 // number of the call whose answer it waits for, starting at 1; 0 for none
	holdsUntil   int8 // tick until which it considers itself the holder; 0 if it doesn't
	fence        int8 // fence of that hold
	highestFence int8 // highest fence that it was granted, even if the answer never arrives
}

// searchCall is a call that was sent. The zero value is a call that can't have any further effect.
type searchCall struct {
	kind        wire.CommandKind
	fence       int8
	sentAt      int8
	copies      int8 // arrivals that may still come
	outcome     wire.Outcome
	answerFence int8 // fence in the answer
}

// searchState is one state of the search: everything that decides what can happen next.
type searchState struct {
	now, lag  int8 // tick of real time, and by how many ticks the group time is behind it
	lastFence int8
	lock      heldLock
	callers   [searchCallers]searchCaller
	calls     [searchCallers][searchCalls]searchCall
}

// stepFunc applies one command to a State. The variants of it each lack one check.
type stepFunc func(s *State, c wire.Command, at time.Duration) wire.Answer

// search is one search through all reachable states.
type search struct {
	bounds searchBounds
	apply  stepFunc
	seen   map[searchState]bool
	// results caches the results of the calls that were applied before.
	results map[resultKey]callResult
	path    []step
}

var (
	errTwoHolders = errors.New("two callers consider themselves the holder")
	errLowFence   = errors.New("a caller was granted a fence that is not higher than an earlier fence of the other caller")
	errOldFence   = errors.New("a heartbeat was accepted with a lower fence than one granted to the other caller")
)

// visit explores everything that can follow a state, and returns the first violation.
func (s *search) visit(st searchState) error {
	st.normalizeFences()
	if s.seen[st] {
		return nil
	}
	s.seen[st] = true
	if st.callers[0].holdsUntil > 0 && st.callers[1].holdsUntil > 0 {
		return errTwoHolders
	}
	if err := s.visitTicks(st); err != nil {
		return err
	}
	for c := range st.callers {
		if err := s.visitCaller(st, c); err != nil {
			return err
		}
	}
	return nil
}

// normalizeFences replaces the fences in a state by their ranks. Only their order matters, so this merges equivalent
// states.
func (st *searchState) normalizeFences() {
	fences := st.fences()
	var ranks [128]int8
	for _, fence := range fences {
		ranks[*fence] = 1
	}
	rank := int8(0)
	for fence := 1; fence < len(ranks); fence++ {
		rank += ranks[fence]
		ranks[fence] = rank
	}
	ranks[0] = 0
	for _, fence := range fences {
		*fence = ranks[*fence]
	}
}

// fences returns pointers to all fences in a state; the value 0 means none.
func (st *searchState) fences() []*int8 {
	fences := append(make([]*int8, 0, 32), &st.lastFence, &st.lock.firstFence, &st.lock.fence)
	for c := range st.callers {
		fences = append(fences, &st.callers[c].fence, &st.callers[c].highestFence)
		for n := range st.calls[c] {
			fences = append(fences, &st.calls[c][n].fence, &st.calls[c][n].answerFence)
		}
	}
	return fences
}

// step is a transition from one state to the next.
type step struct {
	what   string
	caller int
	call   searchCall
	answer callResult
}

// visitNext visits the state that a step leads to. If there is a violation, it adds the step to the path, which
// therefore begins with the last step.
func (s *search) visitNext(st searchState, e step) error {
	err := s.visit(st)
	if err != nil {
		s.path = append(s.path, e)
	}
	return err
}

// visitTicks advances real time by one tick, once together with the group time and once without it.
func (s *search) visitTicks(st searchState) error {
	if st.now == s.bounds.ticks || st == initialState() {
		return nil // before the first call, time changes nothing
	}
	st.now++
	for c := range st.callers {
		if st.callers[c].holdsUntil <= st.now {
			st.callers[c].stopHolding()
		}
	}
	if err := s.visitNext(st, step{what: "time advances"}); err != nil || st.lag == s.bounds.lag {
		return err
	}
	st.lag++
	return s.visitNext(st, step{what: "time advances, group time stands still"})
}

// visitCaller explores all steps of one caller: sending a call, the arrival of a call, and receiving an answer.
func (s *search) visitCaller(st searchState, c int) error {
	if err := s.visitSends(st, c); err != nil {
		return err
	}
	for n := range st.calls[c] {
		if err := s.visitArrival(st, c, n); err != nil {
			return err
		}
	}
	return s.visitReceipt(st, c)
}

// visitSends has a caller send each kind of call that it may send. It then no longer waits for an earlier call.
func (s *search) visitSends(st searchState, c int) error {
	if st.callers[c].callsSent == s.bounds.calls[c] {
		return nil
	}
	kinds := []wire.CommandKind{wire.BeginLock}
	if st.callers[c].holdsUntil > 0 {
		kinds = append(kinds, wire.HeartbeatLock, wire.FinishLock)
	}
	for _, kind := range kinds {
		next := st
		next.send(c, kind)
		sent := step{what: "sent", caller: c, call: next.calls[c][st.callers[c].callsSent]}
		if err := s.visitNext(next, sent); err != nil {
			return err
		}
	}
	return nil
}

func (st *searchState) send(c int, kind wire.CommandKind) {
	st.abandonCall(c)
	caller := &st.callers[c]
	st.calls[c][caller.callsSent] = searchCall{
		kind: kind, fence: caller.fence, sentAt: st.now, copies: searchCopies,
	}
	if kind == wire.BeginLock {
		st.calls[c][caller.callsSent].fence = 0
	}
	if kind == wire.FinishLock {
		caller.stopHolding()
	}
	caller.callsSent++
	caller.awaitedCall = caller.callsSent
}

// abandonCall makes a caller stop waiting for an answer.
func (st *searchState) abandonCall(c int) {
	awaited := st.callers[c].awaitedCall
	if awaited == 0 {
		return
	}
	st.callers[c].awaitedCall = 0
	call := &st.calls[c][awaited-1]
	call.sentAt, call.outcome, call.answerFence = 0, 0, 0
	if call.copies == 0 {
		*call = searchCall{}
	}
}

func (c *searchCaller) stopHolding() { c.holdsUntil, c.fence = 0, 0 }

// visitArrival has one copy of a call arrive, once with its answer lost and once with the answer in flight.
func (s *search) visitArrival(st searchState, c, n int) error {
	call := st.calls[c][n]
	if call.copies == 0 {
		return nil
	}
	arrived := step{what: "arrived", caller: c, call: call, answer: s.applyCall(&st, c, call)}
	if err := st.applyResult(c, call, arrived.answer); err != nil {
		s.path = append(s.path, arrived)
		return err
	}
	next := &st.calls[c][n]
	next.copies--
	awaited := int(st.callers[c].awaitedCall) == n+1
	if next.copies == 0 && !awaited {
		*next = searchCall{}
	}
	if err := s.visitNext(st, arrived); err != nil {
		return err
	}
	if !awaited || call.outcome != 0 {
		return nil
	}
	arrived.what = "arrived, answer in flight"
	next.outcome, next.answerFence = arrived.answer.outcome, arrived.answer.fence
	return s.visitNext(st, arrived)
}

// resultKey is everything on which the result of a call depends; callResult is the lock and the answer after the call.
type (
	resultKey struct {
		lock      heldLock
		lastFence int8
		caller    int
		kind      wire.CommandKind
		fence     int8
		at        int8
	}
	callResult struct {
		lock      heldLock
		lastFence int8
		outcome   wire.Outcome
		fence     int8
	}
)

// applyCall applies a call to the State, or returns the cached result.
func (s *search) applyCall(st *searchState, c int, call searchCall) callResult {
	key := resultKey{st.lock, st.lastFence, c, call.kind, call.fence, st.now - st.lag}
	if known, ok := s.results[key]; ok {
		return known
	}
	state := st.state()
	answer := s.apply(state, call.command(c), time.Duration(key.at)*tick)
	result := callResult{
		lock: lockIn(state), lastFence: int8(state.locks.lastFence), outcome: answer.Outcome, fence: int8(answer.Fence),
	}
	s.results[key] = result
	return result
}

// applyResult changes a state by the result of a call, and checks the fence in it.
func (st *searchState) applyResult(c int, call searchCall, result callResult) error {
	st.lock, st.lastFence = result.lock, result.lastFence
	if result.outcome != wire.Done {
		return nil
	}
	other := st.callers[1-c].highestFence
	switch {
	case call.kind == wire.BeginLock && result.fence <= other:
		return errLowFence
	case call.kind == wire.HeartbeatLock && call.fence < other:
		return errOldFence
	}
	st.callers[c].highestFence = max(st.callers[c].highestFence, result.fence)
	return nil
}

func (call searchCall) command(c int) wire.Command {
	hold := beginHold
	if call.kind == wire.HeartbeatLock {
		hold = heartbeatHold
	}
	return wire.Command{
		Kind: call.kind, Name: "l", Holder: fmt.Sprint(c + 1), Fence: uint64(call.fence),
		HoldMS: (time.Duration(hold) * tick).Milliseconds(),
	}
}

// state returns the State that a search state describes.
func (st *searchState) state() *State {
	s := New(testHistory)
	s.locks.lastFence = uint64(st.lastFence)
	if held := st.lock; held.holder > 0 {
		s.locks.add(&lock{
			name: "l", holder: fmt.Sprint(held.holder), firstFence: uint64(held.firstFence), fence: uint64(held.fence),
			expires: time.Duration(held.expires) * tick,
		})
	}
	return s
}

// lockIn returns the lock that a State holds.
func lockIn(s *State) heldLock {
	held := s.locks.byName["l"]
	if held == nil {
		return heldLock{}
	}
	return heldLock{
		holder: int8(held.holder[0] - '0'), firstFence: int8(held.firstFence), fence: int8(held.fence),
		expires: int8(held.expires / tick),
	}
}

// visitReceipt delivers the answer that is in flight to its caller.
func (s *search) visitReceipt(st searchState, c int) error {
	awaited := st.callers[c].awaitedCall
	if awaited == 0 || st.calls[c][awaited-1].outcome == 0 {
		return nil
	}
	call := st.calls[c][awaited-1]
	st.abandonCall(c)
	st.receive(c, call)
	return s.visitNext(st, step{what: "answered", caller: c, call: call})
}

// receive changes a caller by the answer to its call.
func (st *searchState) receive(c int, call searchCall) {
	caller := &st.callers[c]
	switch {
	case call.kind == wire.FinishLock:
	case call.outcome != wire.Done:
		caller.stopHolding()
	case call.kind == wire.BeginLock:
		caller.fence = call.answerFence
		caller.holdFrom(call.sentAt, beginHold, st.now)
	case caller.holdsUntil > 0:
		caller.holdFrom(call.sentAt, heartbeatHold, st.now)
	}
}

// holdFrom makes a caller the holder, in its own view, for a hold that counts from the sending, unless that has passed.
func (c *searchCaller) holdFrom(sentAt, hold, now int8) {
	c.holdsUntil = sentAt + hold
	if c.holdsUntil <= now {
		c.stopHolding()
	}
}

// String returns the steps that led to a violation, one per line. Fences are given by their rank in the state of the
// step.
func (s *search) String() string {
	var lines strings.Builder
	for _, e := range slices.Backward(s.path) {
		fmt.Fprintf(&lines, "\n%s: caller %d, %+v, %+v", e.what, e.caller, e.call, e.answer)
	}
	return lines.String()
}

// initialState returns the state before any call was sent.
func initialState() searchState { return searchState{now: 1} }

func newSearch(bounds searchBounds, apply stepFunc) *search {
	return &search{bounds: bounds, apply: apply, seen: map[searchState]bool{}, results: map[resultKey]callResult{}}
}

func newBounds(calls [searchCallers]int8) searchBounds {
	return searchBounds{calls: calls, ticks: int8(*searchTicks), lag: 1}
}

func TestSearchFindsNoTwoHolders(t *testing.T) {
	for _, calls := range [][searchCallers]int8{{3, 1}, {2, 2}} {
		t.Run(fmt.Sprint(calls), func(t *testing.T) {
			t.Parallel()
			s := newSearch(newBounds(calls), applyOne)
			err := s.visit(initialState())
			assert.NilError(t, err, "%s", s)
			t.Logf("%d states", len(s.seen))
		})
	}
}

// searchVariants each remove one check, by changing the State or the command before or after the command is applied.
var searchVariants = []struct {
	name  string
	apply stepFunc
	want  error
}{
	{"a renewing Begin keeps the old fence", renewingBeginKeepsFence, errTwoHolders},
	{"a Heartbeat accepts the fence of an earlier hold", heartbeatAcceptsFenceOfEarlierHold, errOldFence},
	{"a Heartbeat shortens the hold", heartbeatShortensHold, errTwoHolders},
	{"a Finish ignores its fence", finishIgnoresFence, errTwoHolders},
	{"a lock expires too early", lockExpiresTooEarly, errTwoHolders},
	{"fences restart with each hold", fencesRestart, errLowFence},
}

func TestSearchFindsMissingChecks(t *testing.T) {
	for _, variant := range searchVariants {
		t.Run(variant.name, func(t *testing.T) {
			t.Parallel()
			s := newSearch(newBounds([searchCallers]int8{3, 1}), variant.apply)
			err := s.visit(initialState())
			assert.ErrorIs(t, err, variant.want, "after %d states:%s", len(s.seen), s)
			t.Logf("%v after %d states", err, len(s.seen))
		})
	}
}

func renewingBeginKeepsFence(s *State, c wire.Command, at time.Duration) wire.Answer {
	s.Apply(nil, at)
	held := s.locks.byName[c.Name]
	if c.Kind != wire.BeginLock || held == nil || held.holder != c.Holder {
		return applyOne(s, c, at)
	}
	fence := held.fence
	applyOne(s, c, at)
	held.fence = fence
	return granted(fence)
}

func heartbeatAcceptsFenceOfEarlierHold(s *State, c wire.Command, at time.Duration) wire.Answer {
	if held := s.locks.byName[c.Name]; held != nil && c.Kind == wire.HeartbeatLock {
		held.firstFence = 1
	}
	return applyOne(s, c, at)
}

func heartbeatShortensHold(s *State, c wire.Command, at time.Duration) wire.Answer {
	answer := applyOne(s, c, at)
	if c.Kind == wire.HeartbeatLock && answer.Outcome == wire.Done {
		s.locks.byName[c.Name].expires = at + holdDuration(&c)
	}
	return answer
}

func finishIgnoresFence(s *State, c wire.Command, at time.Duration) wire.Answer {
	if held := s.locks.byName[c.Name]; held != nil && c.Kind == wire.FinishLock {
		c.Fence = held.fence
	}
	return applyOne(s, c, at)
}

func lockExpiresTooEarly(s *State, c wire.Command, at time.Duration) wire.Answer {
	s.locks.expire(at + tick)
	return applyOne(s, c, at)
}

func fencesRestart(s *State, c wire.Command, at time.Duration) wire.Answer {
	s.Apply(nil, at)
	if len(s.locks.byName) == 0 {
		s.locks.lastFence = 0
	}
	return applyOne(s, c, at)
}
