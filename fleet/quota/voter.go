package quota

// Voter is one voter's copy of a quota's state, a plain value that is stored before each answer. It must never accept
// an owner once it has promised a later one. A voter restored from its file may have lost promises: it is in doubt,
// and says so in each answer, until an owner that it promised in this incarnation has it save a state. Until then it
// accepts no message that was meant for an earlier incarnation.
type Voter struct {
	HighestTerm      uint64
	DoubtIncarnation uint64 // incarnation of a voter in doubt; otherwise 0
	PromisedTerm     uint64 // promised in this incarnation
	// a voter in doubt does not answer until then, by its monotonic clock: promises of its earlier incarnation have
	// expired by then
	SilentUntil int64
	State       State
}

// RestoreVoter returns the voter as read from its file, in doubt if files may be rolled back (Config.MaxRolledBack).
func RestoreVoter(v Voter, cfg Config, incarnation uint64, now int64) Voter {
	v.State = v.State.copy()
	v.DoubtIncarnation, v.PromisedTerm, v.SilentUntil = 0, 0, 0
	if cfg.MaxRolledBack > 0 {
		v.DoubtIncarnation, v.SilentUntil = incarnation, now+cfg.withDrift(2*cfg.LeaseDuration)
	}
	return v
}

// ResetVoter returns the copy with which operators start again after a majority was lost for good: the current window
// counts as spent. The term must be above each that was ever in use, and every voter must start with the same copy.
func ResetVoter(q Quota, term uint64, wall int64) Voter {
	start, end := q.Calendar.At(wall)
	w := Window{Start: start, End: end, Amount: q.Amount, MaxGranted: Pair{q.Amount + q.MaxCarry, 0}}
	return Voter{HighestTerm: term, State: State{Term: term, Quota: q, Windows: []Window{w}}}
}

func (c Config) withDrift(ns int64) int64 { return ns + ns/1e6*c.DriftPPM + c.DriftPPM }

// HandlePromise answers an owner that starts a term or readmits a voter. Before SilentUntil a voter in doubt does not
// answer.
func (v *Voter) HandlePromise(p PromiseRequest, member int, now int64) []Message {
	if v.DoubtIncarnation != 0 && now < v.SilentUntil {
		return nil
	}
	a := PromiseReply{Quota: p.Quota, Member: member, Sent: p.Sent, Incarnation: v.DoubtIncarnation}
	if (v.DoubtIncarnation == 0 || p.Incarnation == v.DoubtIncarnation) && p.Term >= v.HighestTerm {
		v.HighestTerm, v.PromisedTerm, a.Given = p.Term, p.Term, true
		a.State = v.State.copy()
	}
	a.Term = v.HighestTerm
	return []Message{{p.Owner, a}}
}

// HandleSave answers an owner that has a state saved. The voter rejects a window that starts later than its clock and
// MaxSkew allow.
func (v *Voter) HandleSave(s SaveRequest, member int, cfg Config, now, wall int64) []Message {
	if v.DoubtIncarnation != 0 && now < v.SilentUntil {
		return nil
	}
	a := SaveReply{Quota: s.Quota, Member: member, Seq: s.State.Seq, Sent: s.State.Sent,
		Incarnation: v.DoubtIncarnation, Wall: wall}
	switch {
	case s.State.Term < v.HighestTerm:
	case v.DoubtIncarnation != 0 && s.State.Term != v.PromisedTerm:
	case startsTooEarly(&s.State, &v.State, wall+cfg.MaxSkew):
		a.ClockMismatch = true
	default:
		v.HighestTerm, v.DoubtIncarnation, a.OK = s.State.Term, 0, true
		if s.State.isNewerThan(&v.State) {
			v.State = s.State.copy()
		}
	}
	a.Term = v.HighestTerm
	return []Message{{s.Owner, a}}
}

func startsTooEarly(s, had *State, latest int64) bool {
	n, m := len(s.Windows), len(had.Windows)
	return n > 0 && s.Windows[n-1].Start > latest && (m == 0 || s.Windows[n-1].Start > had.Windows[m-1].Start)
}
