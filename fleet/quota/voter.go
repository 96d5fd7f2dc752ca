package quota

// Voter is one voter's copy of a quota's state, a value that is written down before each answer. It must
// never answer an owner once it has promised a later one. One that returned from its file may have forgotten:
// it is in doubt until an owner that it promised in this life has it write a state down, says so in each
// answer, and takes no letter that was meant for an earlier life.
type Voter struct {
	Promised uint64
	Life     uint64 // of one in doubt; else 0
	Asked    uint64 // what it promised in this life
	// until then one in doubt is silent, on its monotonic clock: promises of its earlier life have run out
	// then
	Mute  int64
	State State
}

// Return gives the voter as it was read from its file; life is this process's start.
func Return(v Voter, t Terms, life uint64, now int64) Voter {
	v.State = v.State.copy()
	v.Life, v.Asked, v.Mute = 0, 0, 0
	if t.Old > 0 {
		v.Life, v.Mute = life, now+t.stretched(2*t.Lease)
	}
	return v
}

// Anew gives the voter's copy with which operators begin anew after a majority was lost for good: the window
// at hand is spent. The term must be above each that was ever in use, and every voter must begin with the
// same copy.
func Anew(q Quota, term uint64, wall int64) Voter {
	start, end := q.Calendar.At(wall)
	w := Window{Start: start, End: end, Amount: q.Amount, Mark: Pair{q.Amount + q.Carry, 0}}
	return Voter{Promised: term, State: State{Term: term, Quota: q, Windows: []Window{w}}}
}

func (t Terms) stretched(ns int64) int64 { return ns + ns/1e6*t.Drift + t.Drift }

// Promise answers an owner that begins or asks a voter in. Nothing is answered while it is mute.
func (v *Voter) Promise(p Promise, place int, now int64) []Letter {
	if v.Life != 0 && now < v.Mute {
		return nil
	}
	a := Promised{Quota: p.Quota, Place: place, Sent: p.Sent, Life: v.Life}
	if (v.Life == 0 || p.Life == v.Life) && p.Term >= v.Promised {
		v.Promised, v.Asked, a.Given = p.Term, p.Term, true
		a.State = v.State.copy()
	}
	a.Term = v.Promised
	return []Letter{{p.Owner, a}}
}

// Save answers an owner that has a state written down. A window that starts later than this voter's clock and
// the skew allow is not agreed to.
func (v *Voter) Save(s Save, place int, t Terms, now, wall int64) []Letter {
	if v.Life != 0 && now < v.Mute {
		return nil
	}
	a := Saved{Quota: s.Quota, Place: place, Seq: s.State.Seq, Sent: s.State.Sent, Life: v.Life, Wall: wall}
	switch {
	case s.State.Term < v.Promised:
	case v.Life != 0 && s.State.Term != v.Asked:
	case early(&s.State, &v.State, wall+t.Skew):
		a.Clock = true
	default:
		v.Promised, v.Life, a.OK = s.State.Term, 0, true
		if s.State.newer(&v.State) {
			v.State = s.State.copy()
		}
	}
	a.Term = v.Promised
	return []Letter{{s.Owner, a}}
}

func early(s, had *State, latest int64) bool {
	n, m := len(s.Windows), len(had.Windows)
	return n > 0 && s.Windows[n-1].Start > latest && (m == 0 || s.Windows[n-1].Start > had.Windows[m-1].Start)
}
