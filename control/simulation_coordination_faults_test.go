package control

import (
	"time"

	"ivybank/wire"
)

// injectCoordinationFault injects one random fault: a general one, or one aimed at application calls.
func (sim *simulation) injectCoordinationFault() {
	switch sim.random.IntN(15) {
	case 0: // a leader freezes for long while it has calls
		sim.partLeader(sim.random.IntN(coordinationParts)).frozenUntil = sim.now + time.Second + sim.randomSpan(6*time.Second)
	case 1: // a power loss right after an acknowledgement
		sim.killAfterAck()
	case 2: // two disks are lost at once, while all others lose power
		sim.loseTwoDisks()
	case 3: // a disk that accepts no writes for seconds
		sim.faultTarget().diskStalledUntil = sim.now + 2*time.Second + sim.randomSpan(5*time.Second)
	case 4: // a leader that can only receive or only send
		in := sim.random.IntN(2) == 0
		sim.isolate(sim.partLeader(sim.random.IntN(coordinationParts)), time.Second+sim.randomSpan(3*time.Second), in, !in,
			false)
	case 5: // a planned stop
		sim.stopGracefully(sim.partLeader(sim.random.IntN(coordinationParts)))
	case 6: // frames from or to a leader are delayed by seconds
		sim.holdFrames(sim.partLeader(sim.random.IntN(coordinationParts)))
	default:
		sim.injectFault()
	}
}

// killAfterAck cuts the power of the machine that acknowledges the next call, sometimes of all machines.
func (sim *simulation) killAfterAck() {
	a := sim.applications
	all := sim.random.IntN(3) == 0
	a.onReply = func(att *attempt) {
		if att.reply.Outcome != wire.Done || att.task.command.Kind == wire.WatchGroup ||
			att.task.command.Kind == wire.GetKey {
			return
		}
		a.onReply = func(*attempt) {}
		sim.schedule(0, func() {
			a.counts.killedAfterAck++
			if all {
				sim.killAll(true)
				return
			}
			sim.kill(att.to, true)
		})
	}
}

// loseTwoDisks wipes two disks and cuts the power of all machines at the same moment, if the groups tolerate that.
func (sim *simulation) loseTwoDisks() {
	first, second := sim.faultTarget(), sim.faultTarget()
	if first == second || !sim.toleratesLossOf(first) {
		return
	}
	sim.killAll(true)
	sim.wipeDisk(first)
	if sim.toleratesLossOf(second) {
		sim.wipeDisk(second)
		sim.applications.counts.doubleWipes++
	}
}

// longestFrameHeld is the longest delay of a frame while its connection seems to work.
const longestFrameHeld = 3 * time.Second

// holdFrames delays frames from a machine to some others, or from them to it.
func (sim *simulation) holdFrames(m *machine) {
	until := sim.now + 500*time.Millisecond + sim.randomSpan(2*time.Second)
	outward := sim.random.IntN(2) == 0
	for _, other := range sim.machines {
		if other == m || sim.random.IntN(3) == 0 {
			continue
		}
		if outward {
			sim.delayedLinks[[2]string{m.ip, other.ip}] = until
		} else {
			sim.delayedLinks[[2]string{other.ip, m.ip}] = until
		}
	}
}

// releaseFrames makes all delayed frames due.
func (sim *simulation) releaseFrames() {
	if len(sim.delayedLinks) == 0 {
		return
	}
	clear(sim.delayedLinks)
	for _, l := range sim.links {
		if l.conn == nil {
			continue
		}
		for _, queue := range l.conn.queue {
			for i := range queue {
				queue[i].due = min(queue[i].due, sim.now)
			}
		}
	}
}
