// Package quota keeps a tenant's quota in time windows for the whole fleet. An owner hands out tokens by
// demand, processes hold them and count reqs against them. It owns the windows, what is out of each, and the
// rules by which tokens come back; it must never let the sum of what may be spent in a window pass the quota,
// whatever is lost, doubled, late, killed or cut off, and never do I/O. Events, a monotonic clock (now) and
// the wall clock (wall), both in ns, are handed in; actions are letters.
package quota

// Unit is what a quota counts.
type Unit uint8

// Units. Cost and worth are counted in the host's smallest part of them.
const (
	Reqs Unit = iota
	Cost
	Worth
)

// Quota is one, of one tenant. Times are ns.
type Quota struct {
	ID       uint32
	Edition  uint64 // a later one takes its place in mid-window
	Tenant   string
	Unit     Unit
	Calendar Calendar
	Amount   int64 // a window
	Slice    int64 // a process holds at most so much unspent: what is stranded at one that dies
	Ahead    int64 // the owner writes down so much ahead of what it hands out: what an owner's death strands
	Burst    int64 // how far handing out may be before an even pace; 0: all at once
	Carry    int64 // of what a window left, at most so much is added to the next; not for Sliding
	Reserve  int64 // the last so much of the amount is for reqs of worth From and more
	From     int64
	Release  int64 // so long before the window's end the reserve is for all
	Ramp     int64 // the amount opens evenly over so long after the window's start
	Spread   int64 // the denied are told to come back within so long after the opening
}

// Terms holds what is the same for all quotas of a fleet. Times are ns.
type Terms struct {
	Every int64 // between two reports of a process that is asked for tokens
	Lease int64 // a process spends for at most so long after it asked; unused for so long, tokens go back
	// reports reach a closed window for so long: no less than the longest client timeout and a lease
	Seal   int64
	Skew   int64 // clocks that differ by more are told, and do not turn windows
	Drift  int64 // parts in a million by which the rates of two clocks may differ
	Old    int   // so many voters that return may hold an older copy of their file
	Places int   // of the fleet
}

// classes of tokens: for all, and of the reserve.
const classes = 2

// Pair is an amount for each class.
type Pair [classes]int64

func (p Pair) sum() int64 { return p[0] + p[1] }

func (p Pair) max(q Pair) Pair { return Pair{max(p[0], q[0]), max(p[1], q[1])} }

// Letter is one message to a process.
type Letter struct {
	To   int
	Body any // Report, Grant, Promise, Promised, Save or Saved
}

// Report is what a process tells the owner. All counts only grow within a life and a window, and the highest
// counts.
type Report struct {
	Quota    uint32
	Place    int
	Life     uint64 // of the process; later ones are greater
	Window   int64  // by its start; 0: knows none
	Num      uint32 // of this report; 0: of a closed window, nothing is asked
	Term     uint64 // the latest it has heard of
	Returned Pair   // given back in that term, in all
	Heard    Pair   // that term's total
	Left     Pair   // unspent
	Want     Pair   // more
}

// Grant is the owner's answer. Totals only grow within a term, a life and a window, and the highest counts.
type Grant struct {
	Quota  uint32
	Life   uint64
	Term   uint64
	Window int64
	Num    uint32 // of the report
	Total  Pair   // handed out in this term, in all
	Heard  Pair   // given back, as far as the owner knows
	Rest   int64  // of the window, ns
	Opens  int64  // Rest, or 0 where more may come before the window's end
	From   int64  // worth from which the reserve is open
	Slice  int64
	Spread int64
	Recall Recall
	Wall   int64 // the owner's clock
}

// Recall is what a process is asked to give back.
type Recall uint8

// Recalls.
const (
	None  Recall = iota
	Spare        // what it does not need at once: nothing is left to hand out
	All          // all it has: the amount was lowered below what is out
)

// Promise asks a voter to hear no older owner.
type Promise struct {
	Quota uint32
	Term  uint64
	Owner int
	Sent  int64  // on the owner's monotonic clock
	Life  uint64 // of a voter in doubt, as it said; 0 for others
}

// Promised is a voter's answer to Promise; a Term above the owner's is a refusal.
type Promised struct {
	Quota uint32
	Place int
	Term  uint64
	Sent  int64  // of the Promise
	Life  uint64 // not 0: the voter is in doubt, see Voter
	Given bool
	State State
}

// Save asks a voter to write a state down.
type Save struct {
	Quota uint32
	Owner int
	State State
}

// Saved is a voter's answer to Save.
type Saved struct {
	Quota uint32
	Place int
	Term  uint64 // the latest promised; above the owner's: a newer one is at work
	Seq   uint64 // of the Save
	Sent  int64  // the owner's clock when it sent the Save
	OK    bool
	Life  uint64 // not 0: it is in doubt and takes states only of an owner that it gave a promise
	Clock bool   // a window starts later than its clock and the skew allow
	Wall  int64  // its clock
}

// State is what of a quota is agreed on, a value that can be written down.
type State struct {
	Term    uint64
	Seq     uint64 // within the term
	Sent    int64  // the owner's clock, for Saved
	Quota   Quota
	Windows []Window // by start; the last is open. Emptied by sealing
}

// Window is one. What may have been spent in it is at most Mark less all that was returned.
type Window struct {
	Start, End int64 // Unix ns
	Amount     int64
	Carried    int64  // into it, once the window before is sealed
	Mark       Pair   // handed out at the most
	Returned   Pair   // by all, as far as the owner knows
	held       []Held // by place, at most one for each; the owner's alone
}

// Held is what an owner knows of one process in a window and in its term.
type Held struct {
	Place    int
	Life     uint64
	Deaths   int // that its place had in this window
	Returned Pair
	Total    Pair // handed out
	Num      uint32
	Heard    Pair
	Left     Pair
}

// unspent is what it may have to spend at the most by what the owner knows.
func (h *Held) unspent(c int) int64 { return h.Total[c] - h.Heard[c] + h.Left[c] }

// charged is what may have been spent at the most; it counts what nobody knows as spent.
func (w *Window) charged(out Pair) int64 { return out.sum() - w.Returned.sum() }

// gives takes what a process says that it gave back in this term; the highest counts.
func (w *Window) gives(h *Held, p Pair) {
	for c := range classes {
		more := max(0, p[c]-h.Returned[c])
		h.Returned[c] += more
		w.Returned[c] += more
	}
}

// copy is what others are told: it shares nothing with s and has nothing of single processes.
func (s State) copy() State {
	ws := make([]Window, len(s.Windows))
	for i, w := range s.Windows {
		w.held = nil
		ws[i] = w
	}
	s.Windows = ws
	return s
}

func (s *State) newer(t *State) bool { return s.Term > t.Term || s.Term == t.Term && s.Seq > t.Seq }
