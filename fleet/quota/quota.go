// Package quota enforces tenants' quotas in time windows for a whole fleet. An owner grants tokens by demand; processes
// hold them and charge reqs to them. The sum of what may be spent in a window must never exceed the quota, whatever
// messages are lost, duplicated or late and whichever processes crash or are cut off. The package must never do I/O:
// events, a monotonic clock (now) and the wall clock (wall), both in ns, are passed in, and actions are messages.
package quota

// Unit is what a quota counts.
type Unit uint8

// The units. Cost and Value are counted in the smallest unit that the host uses.
const (
	Reqs Unit = iota
	Cost
	Value
)

// Quota is one quota of one tenant. Durations are in ns.
type Quota struct {
	ID             uint32
	Version        uint64 // a later version takes effect within a window
	Tenant         string
	Unit           Unit
	Calendar       Calendar
	Amount         int64 // per window
	MaxUnspent     int64 // bound of unspent tokens of a process, which are lost if it crashes
	WriteAhead     int64 // the owner saves grants this much ahead, which is lost if it crashes
	Burst          int64 // how far grants may run ahead of an even pace; 0: no pacing
	MaxCarry       int64 // bound of what an unused rest adds to the next window; not for Sliding
	Reserve        int64 // the last part of the amount, for reqs of at least ReserveFrom
	ReserveFrom    int64
	ReserveRelease int64 // this long before the window's end the reserve is open to all
	Ramp           int64 // the amount becomes available evenly over this time after the window's start
	Spread         int64 // denied clients are told to retry within this time after the opening
}

// Config holds the settings common to all quotas of a fleet. Durations are in ns.
type Config struct {
	ReportInterval int64 // between two reports of a process with demand
	LeaseDuration  int64 // a process may spend for this long after its report; tokens unused for this long are returned
	// a closed window accepts reports for this long: at least the longest client timeout plus a lease
	SealAfter     int64
	MaxSkew       int64 // clocks that differ by more are reported, and turn no windows
	DriftPPM      int64 // by how many parts per million the rates of two clocks may differ
	MaxRolledBack int   // how many restarting voters may hold an older copy of their file
	Members       int   // number of members of the fleet
}

// classes is the number of token classes: 0 for all reqs, 1 for the reserve.
const classes = 2

// Pair holds an amount for each class.
type Pair [classes]int64

func (p Pair) sum() int64 { return p[0] + p[1] }

func (p Pair) max(q Pair) Pair { return Pair{max(p[0], q[0]), max(p[1], q[1])} }

// Message is a message to a process.
type Message struct {
	To   int
	Body any // Report, Grant, PromiseRequest, PromiseReply, SaveRequest or SaveReply
}

// Report is sent by a process to the owner. Totals only grow within an incarnation and a window, and the highest
// counts.
type Report struct {
	Quota       uint32
	Member      int
	Incarnation uint64 // of the process; grows with each restart
	Window      int64  // its start; 0: none known
	Num         uint32 // of this report; 0: about a closed window, requests nothing
	Term        uint64 // the latest known
	Returned    Pair   // total returned in that term
	Received    Pair   // total granted in that term
	Left        Pair   // unspent
	Want        Pair   // additional tokens
}

// Grant is the owner's answer. Totals only grow within a term, an incarnation and a window, and the highest counts.
type Grant struct {
	Quota         uint32
	Incarnation   uint64
	Term          uint64
	Window        int64
	Num           uint32 // of the report
	Total         Pair   // total granted in this term
	ReturnedKnown Pair   // total returned, as far as the owner knows
	Remaining     int64  // time to the window's end, ns
	OpensIn       int64  // Remaining, or 0 if more may become available in this window
	ReserveFrom   int64  // least value of a req that may use the reserve
	MaxUnspent    int64
	Spread        int64
	Recall        Recall
	Wall          int64 // the owner's wall clock
}

// Recall tells a process what to return.
type Recall uint8

// The recalls.
const (
	RecallNone  Recall = iota
	RecallSpare        // what it does not need at once: nothing is left to grant
	RecallAll          // all it holds: the amount was lowered below what is granted
)

// PromiseRequest asks a voter to reject owners of earlier terms.
type PromiseRequest struct {
	Quota       uint32
	Term        uint64
	Owner       int
	Sent        int64  // by the owner's monotonic clock
	Incarnation uint64 // of a voter in doubt, as it reported; 0 for others
}

// PromiseReply is a voter's answer to PromiseRequest; a Term above the owner's is a refusal.
type PromiseReply struct {
	Quota       uint32
	Member      int
	Term        uint64
	Sent        int64  // of the PromiseRequest
	Incarnation uint64 // not 0 if the voter is in doubt, see Voter
	Given       bool
	State       State
}

// SaveRequest asks a voter to save a state.
type SaveRequest struct {
	Quota uint32
	Owner int
	State State
}

// SaveReply is a voter's answer to SaveRequest.
type SaveReply struct {
	Quota         uint32
	Member        int
	Term          uint64 // the latest promised; above the owner's if there is a newer owner
	Seq           uint64 // of the SaveRequest
	Sent          int64  // the owner's clock when it sent the SaveRequest
	OK            bool
	Incarnation   uint64 // not 0 if it is in doubt and accepts states only of an owner that it promised
	ClockMismatch bool   // the window starts later than its clock and MaxSkew allow
	Wall          int64  // its wall clock
}

// State is the replicated state of a quota, a plain value that can be stored.
type State struct {
	Term    uint64
	Seq     uint64 // within the term
	Sent    int64  // by the owner's clock, for SaveReply
	Quota   Quota
	Windows []Window // by start; the last is open. Sealed ones are removed
}

// Window is one time window. At most MaxGranted minus Returned may have been spent in it.
type Window struct {
	Start, End int64 // Unix ns
	Amount     int64
	Carried    int64        // from the preceding window, once that is sealed
	MaxGranted Pair         // upper bound of what was granted
	Returned   Pair         // by all processes, as far as the owner knows
	held       []HeldTokens // by member, at most one each; only on the owner
}

// HeldTokens is what an owner knows of one process, in a window and in its own term.
type HeldTokens struct {
	Member      int
	Incarnation uint64
	Restarts    int // of the member in this window
	Returned    Pair
	Total       Pair // granted
	Num         uint32
	Received    Pair
	Left        Pair
}

// unspent returns the most that the process may still have to spend, as far as the owner knows.
func (h *HeldTokens) unspent(c int) int64 { return h.Total[c] - h.Received[c] + h.Left[c] }

// charged returns the most that may have been spent; unknown tokens count as spent.
func (w *Window) charged(out Pair) int64 { return out.sum() - w.Returned.sum() }

// recordReturned records the total that a process returned in this term; the highest counts.
func (w *Window) recordReturned(h *HeldTokens, p Pair) {
	for c := range classes {
		more := max(0, p[c]-h.Returned[c])
		h.Returned[c] += more
		w.Returned[c] += more
	}
}

// copy returns a copy for others: it shares nothing with s and leaves out what is held by single processes.
func (s State) copy() State {
	ws := make([]Window, len(s.Windows))
	for i, w := range s.Windows {
		w.held = nil
		ws[i] = w
	}
	s.Windows = ws
	return s
}

func (s *State) isNewerThan(t *State) bool {
	return s.Term > t.Term || s.Term == t.Term && s.Seq > t.Seq
}
