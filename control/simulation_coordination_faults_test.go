package control

import (
	"time"

	"ivybank/wire"
)

// injectCoordinationFault injects one random fault: a general one, or one aimed at application calls.
func (w *world) harmCoordination() {
	switch w.random.IntN(15) {
	case 0: // a leader freezes for long while it has calls
		w.partLeader(w.random.IntN(coordinationParts)).frozen = w.now + time.Second + w.randomSpan(6*time.Second)
	case 1: // a power loss right after an acknowledgement
		w.killAfterAck()
	case 2: // two disks are lost at once, while all others lose power
		w.loseTwoDisks()
	case 3: // a disk that accepts no writes for seconds
		w.someCore().stalled = w.now + 2*time.Second + w.randomSpan(5*time.Second)
	case 4: // a leader that can only receive or only send
		in := w.random.IntN(2) == 0
		w.isolate(w.partLeader(w.random.IntN(coordinationParts)), time.Second+w.randomSpan(3*time.Second), in, !in, false)
	case 5: // a planned stop
		w.leave(w.partLeader(w.random.IntN(coordinationParts)))
	case 6: // frames from or to a leader are delayed by seconds
		w.holdFrames(w.partLeader(w.random.IntN(coordinationParts)))
	default:
		w.harm()
	}
}

// killAfterAck cuts the power of the machine that acknowledges the next call, sometimes of all machines.
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

// loseTwoDisks wipes two disks and cuts the power of all machines at the same moment, if the groups tolerate that.
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

// longestFrameHeld is the longest delay of a frame while its connection seems to work.
const longestFrameHeld = 3 * time.Second

// holdFrames delays frames from a machine to some others, or from them to it.
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

// releaseFrames makes all delayed frames due.
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
