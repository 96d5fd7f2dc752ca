package coordination

import (
	"time"

	"ivybank/wire"
)

// model is a simple reference implementation of State: it keeps everything that ever happened, and goes through all of
// it for each answer.
type model struct {
	history time.Duration
	now     time.Duration
	fences  uint64
	holds   map[string]*modelHold
	numbers map[string]uint64
	puts    []modelPut // including the rejected ones
}

// modelHold is the newest hold of a lock; it may have ended.
type modelHold struct {
	holder   string
	fences   []uint64 // one for each granted Begin
	until    time.Duration
	finished bool
}

type modelPut struct {
	at       time.Duration
	change   wire.Change
	rejected bool
}

func newModel(history time.Duration) *model {
	return &model{history: history, holds: map[string]*modelHold{}, numbers: map[string]uint64{}}
}

func (m *model) apply(c wire.Command, at time.Duration) wire.Answer {
	m.now = max(m.now, at)
	switch c.Kind {
	case wire.BeginLock:
		return m.begin(c)
	case wire.HeartbeatLock:
		return m.heartbeat(c)
	case wire.FinishLock:
		return m.finish(c)
	case wire.NextNumber:
		m.numbers[c.Name]++
		return wire.Answer{Outcome: wire.Done, Number: m.numbers[c.Name]}
	case wire.ReplaceKey:
		return m.replace(c)
	case wire.GetKey:
		return m.get(c)
	default:
		return m.watch(c)
	}
}

// held returns the current hold of a lock, or nil if the lock is free.
func (m *model) held(name string) *modelHold {
	hold := m.holds[name]
	if hold == nil || hold.finished || hold.until <= m.now {
		return nil
	}
	return hold
}

func (m *model) begin(c wire.Command) wire.Answer {
	hold := m.held(c.Name)
	if hold != nil && hold.holder != c.Holder {
		return wire.Answer{Outcome: wire.HeldByOther}
	}
	if hold == nil {
		hold = &modelHold{holder: c.Holder}
		m.holds[c.Name] = hold
	}
	m.fences++
	hold.fences = append(hold.fences, m.fences)
	hold.until = max(hold.until, m.now+holdDuration(&c))
	return wire.Answer{Outcome: wire.Done, Fence: m.fences}
}

func (m *model) heartbeat(c wire.Command) wire.Answer {
	hold := m.held(c.Name)
	if hold == nil || hold.holder != c.Holder {
		return wire.Answer{Outcome: wire.LockLost}
	}
	if c.Fence < hold.fences[0] || c.Fence > hold.fences[len(hold.fences)-1] {
		return wire.Answer{Outcome: wire.LockLost}
	}
	hold.until = max(hold.until, m.now+holdDuration(&c))
	return wire.Answer{Outcome: wire.Done}
}

func (m *model) finish(c wire.Command) wire.Answer {
	hold := m.held(c.Name)
	if hold != nil && hold.holder == c.Holder && hold.fences[len(hold.fences)-1] == c.Fence {
		hold.finished = true
	}
	return wire.Answer{Outcome: wire.Done}
}

// remembered reports whether the history reaches back to a put.
func (m *model) remembered(p modelPut) bool { return p.at >= m.now-m.history }

// current returns the newest put of a key.
func (m *model) current(key string) (current wire.Change) {
	for _, p := range m.puts {
		if p.change.Key == key && !p.rejected {
			current = p.change
		}
	}
	return current
}

// revision returns the newest revision of a group, and the highest one that is no longer remembered.
func (m *model) revision(group string) (newest, forgotten uint64) {
	for _, p := range m.puts {
		if p.rejected || GroupOf(p.change.Key) != group {
			continue
		}
		newest = p.change.Revision
		if !m.remembered(p) {
			forgotten = newest
		}
	}
	return newest, forgotten
}

func (m *model) replace(c wire.Command) wire.Answer {
	current := m.current(c.Name)
	if current.Revision > 0 && current.Value == c.Value {
		return wire.Answer{Outcome: wire.Done, Revision: current.Revision}
	}
	for _, p := range m.puts {
		if p.change.Key != c.Name || p.change.Value != c.Value || !m.remembered(p) {
			continue
		}
		if p.rejected {
			return wire.Answer{Outcome: wire.Mismatched, Revision: current.Revision}
		}
		return wire.Answer{Outcome: wire.Done, Revision: p.change.Revision}
	}
	put := modelPut{at: m.now, change: wire.Change{Key: c.Name, Value: c.Value}}
	if c.IfRevision != nil && *c.IfRevision != current.Revision {
		put.rejected = true
		m.puts = append(m.puts, put)
		return wire.Answer{Outcome: wire.Mismatched, Revision: current.Revision}
	}
	newest, _ := m.revision(GroupOf(c.Name))
	put.change.Revision = newest + 1
	m.puts = append(m.puts, put)
	return wire.Answer{Outcome: wire.Done, Revision: newest + 1}
}

func (m *model) get(c wire.Command) wire.Answer {
	current := m.current(c.Name)
	if current.Revision == 0 {
		return wire.Answer{Outcome: wire.NotFound}
	}
	return wire.Answer{Outcome: wire.Done, Value: current.Value, Revision: current.Revision}
}

func (m *model) watch(c wire.Command) wire.Answer {
	newest, forgotten := m.revision(c.Name)
	answer := wire.Answer{Outcome: wire.Done, Revision: newest}
	if c.After == 0 {
		return answer
	}
	if c.After < forgotten {
		return wire.Answer{Outcome: wire.Compacted}
	}
	for _, p := range m.puts {
		if !p.rejected && GroupOf(p.change.Key) == c.Name && p.change.Revision > c.After {
			answer.Events = append(answer.Events, p.change)
		}
	}
	return answer
}
