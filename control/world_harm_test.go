package control

import (
	"time"

	"ivybank/wire"
)

// harmCoordination brings one trouble: one of the world's, or one that is aimed at calls.
func (w *world) harmCoordination() {
	switch w.random.IntN(15) {
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
	case 6: // what a leader sends, or hears, comes seconds late
		w.holdFrames(w.partLeader(w.random.IntN(coordinationParts)))
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

// longestFrameHeld is for how long a frame may be held up on its way, while its connection seems to be well.
const longestFrameHeld = 3 * time.Second

// holdFrames has what a machine sends to some others, or what they send to it, come late.
func (w *world) holdFrames(m *machine) {
	until := w.now + 500*time.Millisecond + w.randomSpan(2*time.Second)
	outward := w.random.IntN(2) == 0
	for _, other := range w.machines {
		if other == m || w.random.IntN(3) == 0 {
			continue
		}
		if outward {
			w.held[[2]string{m.ip, other.ip}] = until
		} else {
			w.held[[2]string{other.ip, m.ip}] = until
		}
	}
}

// releaseFrames lets all that is held up come.
func (w *world) releaseFrames() {
	if len(w.held) == 0 {
		return
	}
	clear(w.held)
	for _, l := range w.links {
		if l.conn == nil {
			continue
		}
		for _, queue := range l.conn.queue {
			for i := range queue {
				queue[i].due = min(queue[i].due, w.now)
			}
		}
	}
}
