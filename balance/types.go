package balance

import "slices"

// Effect says whether a req may run more than once.
type Effect int

// The three kinds of effect.
const (
	Replayable    Effect = iota // may run again
	Uniqued                     // a repeat is dropped inside its group and window
	NonReplayable               // must never run twice
)

// Group names the servers that drop a repeat of a uniqued req.
type Group int

// The groups of a uniqued rule set.
const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// RuleSet is one class of reqs. Times are nanoseconds.
type RuleSet struct {
	Name           string
	Effect         Effect
	Group          Group
	Window         int64
	ResponseTarget int64
	BillingValue   float64
	OverdueValue   float64  // share of the billing value that is left past the response target
	Zones, Kinds   []string // the only zones and kinds of machine that may run it; empty: any
}

func (x *RuleSet) placed() bool { return len(x.Zones)+len(x.Kinds) > 0 }

// Placed says whether a server may run the rule set's reqs.
func (x *RuleSet) Placed(s *Server) bool {
	return (len(x.Zones) == 0 || slices.Contains(x.Zones, s.Zone)) &&
		(len(x.Kinds) == 0 || slices.Contains(x.Kinds, s.Kind))
}

// Tenant is one customer and its share of the fleet.
type Tenant struct {
	Name  string
	Share float64
}

// Terms is what an instance is told at its start, as far as it is read.
type Terms struct {
	Seed          uint64
	Zone          string
	RuleSets      []RuleSet
	Tenants       []Tenant
	Copies        int // balancers of this fleet
	Beside        int // further processes of this balancer that live now: new servers begin with their part of the cap
	MaxDispatches int
	Parallel      bool // a second dispatch may be out at the same time
	CanCancel     bool
	MaxAdvice     int64 // the longest wait that a client honours, 0 where none is advised
	Live          bool  // listed weights move with load
	MustAsk       bool  // the list arrives only when asked for
	AskWithin     int64
	StartCapacity float64
	RampTime      int64
	Overload      float64 // times its capacity of the moment that pushes a cold server over
	FallTime      int64   // when sent for so long; 0: not told
	CrossPrice    float64 // points for each dispatch that crosses zones
	Tail          float64 // weight of the part of the score that late answers cost and early denials do not
	WastePrice    float64 // points for work that served no answer, as much as was asked for
	Tick          int64
	WarmKeys      bool    // a server does less for a key that it met lately
	TailMiss      float64 // share of reqs that may miss their response target before that part is less
	Held          int     // answers that clients may be reading at a time, 0: no limit
	BudgetError   int64   // told budgets are this much off at the most, either way; 0: clocks agree
	StartError    int64   // and told starts of servers
	GoneIsAdvice  bool    // one that is gone without having drained may still be sent to
}

// RuleSet finds one by its name; nil where there is none.
func (t *Terms) RuleSet(name string) *RuleSet {
	i := slices.IndexFunc(t.RuleSets, func(x RuleSet) bool { return x.Name == name })
	if i < 0 {
		return nil
	}
	return &t.RuleSets[i]
}

// Tenant finds the place of one by its name; -1 where there is none.
func (t *Terms) Tenant(name string) int {
	return slices.IndexFunc(t.Tenants, func(x Tenant) bool { return x.Name == name })
}

// State is where a listed server stands.
type State int

// The states of a listed server.
const (
	Running State = iota
	Draining
	Gone
)

// Server is one entry of the list.
type Server struct {
	ID    string
	Zone  string
	Kind  string
	Cell  int64
	State State
	Share float64
	Since int64 // clock time of its latest start, 0 when long past
}

// Form says how a list message changes the list.
type Form int

// The forms of a list message.
const (
	Changes Form = iota
	Whole
	Restored
	Unavailable
)

// Outcome is how a dispatch ended.
type Outcome int

// The outcomes. Refused, NoConnection and NotSent prove that the req never ran.
const (
	Served Outcome = iota
	Errored
	Refused
	TimedOut
	NoConnection
	Reset
	Cancelled
	NotSent
	Unknown
)

// Arrival is a req as it was taken.
type Arrival struct {
	ID      uint64
	RuleSet string
	Tenant  string
	Key     string
	Budget  int64 // time left before the client gives up this try
	Work    int64 // expected work, 0 when not told
	Open    bool  // its body is still coming: its time counts from Whole
	Shed    bool  // all balancers together deny its like: it is denied at once,
	Back    int64 // and its client advised to wait so long, 0: as ever
}

// Advice is what other balancers' word comes to. It only ever makes this one more careful; none is the zero value.
type Advice struct {
	Bounded bool               // dispatches beyond a req's first are bounded:
	Further int                // so many may go until the next advice
	Wary    map[string]float64 // part of its share that a server gets for now
}

// Kind is what a Decision asks of the host.
type Kind int

// The kinds of decision.
const (
	Dispatch Kind = iota
	Limit
	Deny
	Abort
	Cancel
	Watch
	Close
	Wake
	Log
)

// Decision is one thing for the host to do. Only the fields of its kind are set.
type Decision struct {
	Kind    Kind
	Req     uint64
	Server  string
	Attempt int   // Cancel, Limit
	Time    int64 // Dispatch, Limit: abandon then; Deny: advised wait; Wake: wait
	Text    string
}
