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

// The search goes through all that a few calls of two callers on one lock can lead to. Each call arrives once, twice or
// never, at any later moment and in any order; each answer arrives at any later moment, or never. A caller counts its time
// from the sending. The group's time stands still now and then, as it does where its leader changes, and never runs ahead.
//
// The search is exhaustive within its bounds, and the states that it has seen are values of one comparable type.
const (
	searchCallers = 2
	searchCalls   = 3 // at most, of one caller
	searchCopies  = 2 // of each call that may arrive
	beginHold     = 2 // ticks
	heartbeatHold = 1 // ticks: shorter, as a caller may ask
	tick          = time.Millisecond
)

// searchTicks can be raised by hand: 4 takes some ten times as long as 3.
var searchTicks = flag.Int("search.ticks", 3, "for how many ticks of time the search for two holders of a lock goes on")

// searchBounds is how far a search goes.
type searchBounds struct {
	calls [searchCallers]int8
	ticks int8
	lag   int8 // for how many ticks in all the group's time may stand still
}

// heldLock is the lock as the state has it; the zero value is free.
type heldLock struct {
	holder            int8 // caller, from 1
	firstFence, fence int8
	expires           int8 // tick of the group's time
}

// searchCaller is one that wants the lock.
type searchCaller struct {
	sent    int8 // calls
	awaits  int8 // the call whose answer it waits for, from 1; 0 for none
	until   int8 // tick up to which it counts itself holder; 0 if it doesn't
	fence   int8 // with which it does
	granted int8 // highest fence that it was granted, told or not
}

// searchCall is one that was sent; the zero value is one that doesn't matter any more.
type searchCall struct {
	kind     wire.CommandKind
	fence    int8
	sentAt   int8
	copies   int8
	answer   wire.Outcome
	answered int8 // fence in the answer
}

// world is all that the future depends on.
type world struct {
	now, lag  int8 // tick of real time, and how far the group's time is behind
	lastFence int8
	lock      heldLock
	callers   [searchCallers]searchCaller
	calls     [searchCallers][searchCalls]searchCall
}

// stepFunc applies one command to a state. Variants of it lack a guard.
type stepFunc func(s *State, c wire.Command, at time.Duration) wire.Answer

// search is one search through worlds.
type search struct {
	bounds searchBounds
	apply  stepFunc
	seen   map[world]bool
	// arrivals are those that were applied before.
	arrivals map[arrivalKey]arrival
	path     []event
}

var (
	errTwoHolders = errors.New("two callers count themselves holder")
	errLowFence   = errors.New("a caller was granted a fence that is not above one that another was granted before")
	errOldFence   = errors.New("a heartbeat counted with a fence below one that another was granted")
)

// visit goes on from a world in all ways, and returns the first violation.
func (s *search) visit(w world) error {
	w.rankFences()
	if s.seen[w] {
		return nil
	}
	s.seen[w] = true
	if w.callers[0].until > 0 && w.callers[1].until > 0 {
		return errTwoHolders
	}
	if err := s.visitTicks(w); err != nil {
		return err
	}
	for c := range w.callers {
		if err := s.visitCaller(w, c); err != nil {
			return err
		}
	}
	return nil
}

// rankFences renames the fences that matter by their rank, as nothing but their order does.
func (w *world) rankFences() {
	fences := w.fences()
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

// fences gives all places of a world that have a fence; 0 is none.
func (w *world) fences() []*int8 {
	fences := append(make([]*int8, 0, 32), &w.lastFence, &w.lock.firstFence, &w.lock.fence)
	for c := range w.callers {
		fences = append(fences, &w.callers[c].fence, &w.callers[c].granted)
		for n := range w.calls[c] {
			fences = append(fences, &w.calls[c][n].fence, &w.calls[c][n].answered)
		}
	}
	return fences
}

// event is what leads from one world to the next.
type event struct {
	what   string
	caller int
	call   searchCall
	answer arrival
}

// follow visits the world that an event leads to. The events that lead to a violation are kept on the way back, the last one
// first.
func (s *search) follow(w world, e event) error {
	err := s.visit(w)
	if err != nil {
		s.path = append(s.path, e)
	}
	return err
}

// visitTicks lets time go on, with the group's time and without.
func (s *search) visitTicks(w world) error {
	if w.now == s.bounds.ticks || w == start() {
		return nil // before the first call, time changes nothing
	}
	w.now++
	for c := range w.callers {
		if w.callers[c].until <= w.now {
			w.callers[c].stop()
		}
	}
	if err := s.follow(w, event{what: "time goes on"}); err != nil || w.lag == s.bounds.lag {
		return err
	}
	w.lag++
	return s.follow(w, event{what: "time goes on, that of the group stands still"})
}

// visitCaller lets a caller send, its calls arrive, and an answer reach it.
func (s *search) visitCaller(w world, c int) error {
	if err := s.visitSends(w, c); err != nil {
		return err
	}
	for n := range w.calls[c] {
		if err := s.visitArrival(w, c, n); err != nil {
			return err
		}
	}
	return s.visitReceipt(w, c)
}

// visitSends has a caller send what it may; it gives up an earlier call.
func (s *search) visitSends(w world, c int) error {
	if w.callers[c].sent == s.bounds.calls[c] {
		return nil
	}
	kinds := []wire.CommandKind{wire.BeginLock}
	if w.callers[c].until > 0 {
		kinds = append(kinds, wire.HeartbeatLock, wire.FinishLock)
	}
	for _, kind := range kinds {
		next := w
		next.send(c, kind)
		sent := event{what: "sent", caller: c, call: next.calls[c][w.callers[c].sent]}
		if err := s.follow(next, sent); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) send(c int, kind wire.CommandKind) {
	w.giveUp(c)
	caller := &w.callers[c]
	w.calls[c][caller.sent] = searchCall{
		kind: kind, fence: caller.fence, sentAt: w.now, copies: searchCopies,
	}
	if kind == wire.BeginLock {
		w.calls[c][caller.sent].fence = 0
	}
	if kind == wire.FinishLock {
		caller.stop()
	}
	caller.sent++
	caller.awaits = caller.sent
}

// giveUp has a caller wait no longer.
func (w *world) giveUp(c int) {
	awaited := w.callers[c].awaits
	if awaited == 0 {
		return
	}
	w.callers[c].awaits = 0
	call := &w.calls[c][awaited-1]
	call.sentAt, call.answer, call.answered = 0, 0, 0
	if call.copies == 0 {
		*call = searchCall{}
	}
}

func (c *searchCaller) stop() { c.until, c.fence = 0, 0 }

// visitArrival has one copy of a call arrive, and its answer lost or under way.
func (s *search) visitArrival(w world, c, n int) error {
	call := w.calls[c][n]
	if call.copies == 0 {
		return nil
	}
	arrived := event{what: "arrived", caller: c, call: call, answer: s.arrive(&w, c, call)}
	if err := w.take(c, call, arrived.answer); err != nil {
		s.path = append(s.path, arrived)
		return err
	}
	next := &w.calls[c][n]
	next.copies--
	awaited := int(w.callers[c].awaits) == n+1
	if next.copies == 0 && !awaited {
		*next = searchCall{}
	}
	if err := s.follow(w, arrived); err != nil {
		return err
	}
	if !awaited || call.answer != 0 {
		return nil
	}
	arrived.what = "arrived, and will be answered"
	next.answer, next.answered = arrived.answer.outcome, arrived.answer.fence
	return s.follow(w, arrived)
}

// arrivalKey is all that an arrival depends on, arrival what it leads to.
type (
	arrivalKey struct {
		lock      heldLock
		lastFence int8
		caller    int
		kind      wire.CommandKind
		fence     int8
		at        int8
	}
	arrival struct {
		lock      heldLock
		lastFence int8
		outcome   wire.Outcome
		fence     int8
	}
)

// arrive applies a call to the state.
func (s *search) arrive(w *world, c int, call searchCall) arrival {
	key := arrivalKey{w.lock, w.lastFence, c, call.kind, call.fence, w.now - w.lag}
	if known, ok := s.arrivals[key]; ok {
		return known
	}
	state := w.state()
	answer := s.apply(state, call.command(c), time.Duration(key.at)*tick)
	result := arrival{
		lock: lockOf(state), lastFence: int8(state.locks.lastFence), outcome: answer.Outcome, fence: int8(answer.Fence),
	}
	s.arrivals[key] = result
	return result
}

// take has a world go on after an arrival.
func (w *world) take(c int, call searchCall, result arrival) error {
	w.lock, w.lastFence = result.lock, result.lastFence
	if result.outcome != wire.Done {
		return nil
	}
	other := w.callers[1-c].granted
	switch {
	case call.kind == wire.BeginLock && result.fence <= other:
		return errLowFence
	case call.kind == wire.HeartbeatLock && call.fence < other:
		return errOldFence
	}
	w.callers[c].granted = max(w.callers[c].granted, result.fence)
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

// state gives the state that a world has.
func (w *world) state() *State {
	s := New(testHistory)
	s.locks.lastFence = uint64(w.lastFence)
	if held := w.lock; held.holder > 0 {
		s.locks.add(&lock{
			name: "l", holder: fmt.Sprint(held.holder), firstFence: uint64(held.firstFence), fence: uint64(held.fence),
			expires: time.Duration(held.expires) * tick,
		})
	}
	return s
}

// lockOf gives the lock that a state has.
func lockOf(s *State) heldLock {
	held := s.locks.byName["l"]
	if held == nil {
		return heldLock{}
	}
	return heldLock{
		holder: int8(held.holder[0] - '0'), firstFence: int8(held.firstFence), fence: int8(held.fence),
		expires: int8(held.expires / tick),
	}
}

// visitReceipt has the answer that is under way reach its caller.
func (s *search) visitReceipt(w world, c int) error {
	awaited := w.callers[c].awaits
	if awaited == 0 || w.calls[c][awaited-1].answer == 0 {
		return nil
	}
	call := w.calls[c][awaited-1]
	w.giveUp(c)
	w.receive(c, call)
	return s.follow(w, event{what: "answered", caller: c, call: call})
}

// receive has a caller act on an answer.
func (w *world) receive(c int, call searchCall) {
	caller := &w.callers[c]
	switch {
	case call.kind == wire.FinishLock:
	case call.answer != wire.Done:
		caller.stop()
	case call.kind == wire.BeginLock:
		caller.fence = call.answered
		caller.holdFrom(call.sentAt, beginHold, w.now)
	case caller.until > 0:
		caller.holdFrom(call.sentAt, heartbeatHold, w.now)
	}
}

// holdFrom has a caller count itself holder for a span from the sending, if that isn't over.
func (c *searchCaller) holdFrom(sentAt, hold, now int8) {
	c.until = sentAt + hold
	if c.until <= now {
		c.stop()
	}
}

// String gives the events that led to a violation, a line each. Fences are named by their rank at the time.
func (s *search) String() string {
	var lines strings.Builder
	for _, e := range slices.Backward(s.path) {
		fmt.Fprintf(&lines, "\n%s: caller %d, %+v, %+v", e.what, e.caller, e.call, e.answer)
	}
	return lines.String()
}

// start gives the world in which nothing has happened.
func start() world { return world{now: 1} }

func newSearch(bounds searchBounds, apply stepFunc) *search {
	return &search{bounds: bounds, apply: apply, seen: map[world]bool{}, arrivals: map[arrivalKey]arrival{}}
}

func boundsOf(calls [searchCallers]int8) searchBounds {
	return searchBounds{calls: calls, ticks: int8(*searchTicks), lag: 1}
}

func TestSearchFindsNoTwoHolders(t *testing.T) {
	for _, calls := range [][searchCallers]int8{{3, 1}, {2, 2}} {
		t.Run(fmt.Sprint(calls), func(t *testing.T) {
			t.Parallel()
			s := newSearch(boundsOf(calls), applyOne)
			err := s.visit(start())
			assert.NilError(t, err, "%s", s)
			t.Logf("%d worlds", len(s.seen))
		})
	}
}

// The variants lack a guard each: they change the state or the command around the step.
var searchVariants = []struct {
	name  string
	apply stepFunc
	want  error
}{
	{"a renewed Begin keeps its fence", beginKeepsFence, errTwoHolders},
	{"a Heartbeat counts with the fence of an earlier hold", heartbeatOfEarlierHold, errOldFence},
	{"a Heartbeat shortens", heartbeatShortens, errTwoHolders},
	{"a Finish frees whatever its fence", finishOfAnyFence, errTwoHolders},
	{"a lock is free too early", freeTooEarly, errTwoHolders},
	{"fences begin anew with each hold", fencesBeginAnew, errLowFence},
}

func TestSearchCatchesMissingGuards(t *testing.T) {
	for _, variant := range searchVariants {
		t.Run(variant.name, func(t *testing.T) {
			t.Parallel()
			s := newSearch(boundsOf([searchCallers]int8{3, 1}), variant.apply)
			err := s.visit(start())
			assert.ErrorIs(t, err, variant.want, "after %d worlds:%s", len(s.seen), s)
			t.Logf("%v after %d worlds", err, len(s.seen))
		})
	}
}

func beginKeepsFence(s *State, c wire.Command, at time.Duration) wire.Answer {
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

func heartbeatOfEarlierHold(s *State, c wire.Command, at time.Duration) wire.Answer {
	if held := s.locks.byName[c.Name]; held != nil && c.Kind == wire.HeartbeatLock {
		held.firstFence = 1
	}
	return applyOne(s, c, at)
}

func heartbeatShortens(s *State, c wire.Command, at time.Duration) wire.Answer {
	answer := applyOne(s, c, at)
	if c.Kind == wire.HeartbeatLock && answer.Outcome == wire.Done {
		s.locks.byName[c.Name].expires = at + holdDuration(&c)
	}
	return answer
}

func finishOfAnyFence(s *State, c wire.Command, at time.Duration) wire.Answer {
	if held := s.locks.byName[c.Name]; held != nil && c.Kind == wire.FinishLock {
		c.Fence = held.fence
	}
	return applyOne(s, c, at)
}

func freeTooEarly(s *State, c wire.Command, at time.Duration) wire.Answer {
	s.locks.expire(at + tick)
	return applyOne(s, c, at)
}

func fencesBeginAnew(s *State, c wire.Command, at time.Duration) wire.Answer {
	s.Apply(nil, at)
	if len(s.locks.byName) == 0 {
		s.locks.lastFence = 0
	}
	return applyOne(s, c, at)
}
