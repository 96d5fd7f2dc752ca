package balance

import "slices"

// Effect says whether a request may run more than once.
type Effect int

// The effects of a rule set's requests.
const (
	Replayable    Effect = iota // may run again
	Deduplicated                // servers drop a repeat within their group and window
	NonReplayable               // must never run twice
)

// Group names the servers that share their record of seen requests and so drop a repeat.
type Group int

// The groups of a deduplicated rule set.
const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// RuleSet describes one class of requests. Times are in ns.
type RuleSet struct {
	Name           string
	Effect         Effect
	Group          Group
	Window         int64 // time for which a repeat is dropped
	ResponseTarget int64
	BillingValue   float64
	OverdueValue   float64  // fraction of the billing value that is left past the response target
	Zones, Kinds   []string // the only zones and kinds of machine that may run it; empty: any
}

func (rs *RuleSet) restricted() bool { return len(rs.Zones)+len(rs.Kinds) > 0 }

// Allows reports whether a server may run the rule set's requests.
func (rs *RuleSet) Allows(s *Server) bool {
	return (len(rs.Zones) == 0 || slices.Contains(rs.Zones, s.Zone)) &&
		(len(rs.Kinds) == 0 || slices.Contains(rs.Kinds, s.Kind))
}

// Tenant is one customer and its share of the fleet.
type Tenant struct {
	Name  string
	Share float64
}

// Config holds the settings of an instance, as far as this package uses them. Times are in ns.
type Config struct {
	Seed             uint64
	Zone             string
	RuleSets         []RuleSet
	Tenants          []Tenant
	FleetSize        int // balancers of this fleet
	SiblingProcesses int // further live processes of this balancer: the cap of new servers is divided among all of them
	MaxDispatches    int
	AllowParallel    bool // a second dispatch may run at the same time
	CanCancel        bool
	MaxRetryAfter    int64 // longest wait that a client honours, 0 if none is advised
	LiveWeights      bool  // listed shares follow load
	ListOnRequest    bool  // the server list arrives only on request
	AskWithin        int64 // longest time between requests for the list without a subscription
	StartCapacity    float64
	RampTime         int64
	OverloadFactor   float64 // load, as a multiple of its current capacity, at which a cold server fails
	OverloadTime     int64   // for how long that load has to last; 0: unknown
	CrossZonePrice   float64 // points for each dispatch that crosses zones
	TailWeight       float64 // weight of the part of the score that late answers reduce and early denials do not
	WastePrice       float64 // points for work that served no answer, of the amount that was asked for
	Tick             int64
	WarmKeys         bool    // a server needs less work for a key that it saw recently
	TailMissRate     float64 // fraction of requests that may miss their response target before that part is reduced
	MaxHeldAnswers   int     // answers that clients may be reading at a time, 0: no limit
	BudgetError      int64   // largest error of reported budgets, either way; 0: clocks agree
	StartError       int64   // largest error of reported start times of servers
	GoneIsAdvice     bool    // a server that is gone without having drained may still be sent to
}

// RuleSet returns the rule set of that name, nil if there is none.
func (c *Config) RuleSet(name string) *RuleSet {
	i := slices.IndexFunc(c.RuleSets, func(x RuleSet) bool { return x.Name == name })
	if i < 0 {
		return nil
	}
	return &c.RuleSets[i]
}

// Tenant returns the index of the tenant of that name, -1 if there is none.
func (c *Config) Tenant(name string) int {
	return slices.IndexFunc(c.Tenants, func(x Tenant) bool { return x.Name == name })
}

// State is the life cycle state of a listed server.
type State int

// The states of a listed server.
const (
	Running State = iota
	Draining
	Gone
)

// Server is one entry of the server list.
type Server struct {
	ID    string
	Zone  string
	Kind  string // kind of machine
	Cell  int64
	State State
	Share float64 // weight relative to other servers
	Since int64   // time of its latest start in ns, 0 when long past
}

// ListForm says how a list message changes the server list.
type ListForm int

// The forms of a list message.
const (
	ListUpdate      ListForm = iota // entries that changed
	ListReplace                     // the whole list
	ListRestored                    // the whole list, from an initial or stored copy: there is no subscription yet
	ListUnavailable                 // no list: the request for it failed
)

// Outcome is how a dispatch ended.
type Outcome int

// The outcomes. Refused, NoConnection and NotSent prove that the request never ran.
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

// Arrival is a request as it was accepted. Times are in ns.
type Arrival struct {
	ID          uint64
	RuleSet     string
	Tenant      string
	Key         string
	Budget      int64 // time left before the client gives up this try
	Work        int64 // expected work, 0 if unknown
	BodyPending bool  // its body is still arriving: its time starts with BodyComplete
	Shed        bool  // the balancers have agreed to deny requests like it: it is denied at once
	RetryAfter  int64 // wait advised to the client of a shed request, 0: the default
}

// Advice is the combined advice of the other balancers. It can only restrict this one; the zero value is no advice.
type Advice struct {
	RetriesLimited bool               // dispatches beyond the first of a request are limited
	RetriesLeft    int                // number of them until the next advice
	ShareFactors   map[string]float64 // by server ID, the fraction of its share that the server gets for now
}

// DecisionKind is the action that a Decision asks of the host.
type DecisionKind int

// The kinds of decision.
const (
	Dispatch DecisionKind = iota
	SetDeadline
	Deny
	Abort
	Cancel
	RequestList
	CloseConnections
	Wake
	Log
)

// Decision is one action for the host. Only the fields of its kind are set.
type Decision struct {
	Kind    DecisionKind
	Request uint64
	Server  string
	Attempt int   // Cancel, Limit
	Time    int64 // Dispatch, Limit: deadline; Deny: advised wait; Wake: time to wait
	Text    string
}
