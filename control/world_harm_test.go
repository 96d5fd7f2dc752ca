package control

import (
	"time"

	"ivybank/wire"
)

// harmCoordination brings one trouble: one of the world's, or one that is aimed at calls.
func (w *world) harmCoordination() {
	switch w.random.IntN(14) {
	case 0: // a leader stands still amid its calls, for long
		w.partLeader(w.random.IntN(coordinationParts)).frozen = w.now + time.Second + w.randomSpan(6*time.Second)
	case 1: // power lost right after an acknowledgement
		w.killAfterAck()
	case 2: // two disks lost at once, with the power of all others
		w.loseTwoDisks()
	case 3: // a disk that is full for seconds
		w.someCore().stalled = w.now + 2*time.Second + w.randomSpan(5*time.Second)
	case 4: // a leader that hears others, and isn't heard, or the other way
		in := w.random.IntN(2) == 0
		w.isolate(w.partLeader(w.random.IntN(coordinationParts)), time.Second+w.randomSpan(3*time.Second), in, !in, false)
	case 5: // stopped by plan
		w.leave(w.partLeader(w.random.IntN(coordinationParts)))
	default:
		w.harm()
	}
}

// killAfterAck has the machine that acknowledges the next call lose its power, sometimes with all others.
func (w *world) killAfterAck() {
	a := w.applications
	all := w.random.IntN(3) == 0
	a.onReply = func(f *attempt) {
		if f.reply.Outcome != wire.Done || f.errand.command.Kind == wire.WatchGroup || f.errand.command.Kind == wire.GetKey {
			return
		}
		a.onReply = func(*attempt) {}
		w.later(0, func() {
			a.counts.killedAfterAck++
			if all {
				w.killAll(true)
				return
			}
			w.kill(f.to, true)
		})
	}
}

// loseTwoDisks has two machines lose their disks and all lose their power in the same moment, where that is to be borne.
func (w *world) loseTwoDisks() {
	first, second := w.someCore(), w.someCore()
	if first == second || !w.bearsLossOf(first) {
		return
	}
	w.killAll(true)
	w.wipe(first)
	if w.bearsLossOf(second) {
		w.wipe(second)
		w.applications.counts.twoWiped++
	}
}
