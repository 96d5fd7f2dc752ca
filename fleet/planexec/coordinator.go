// Package crew is one member's part in plans by which servers go out for work: the agreed history, what this member reports, and, where it
// leads, what comes next. It is driven by ticks, letters and a clock handed in, and hands out small typed actions. Free of I/O.
//
// This file owns the order in which its parts are asked, and when there is nothing to do, so that nothing is sent at rest. It must never hold
// a server out that no plan has out, nor put one back by a time of its own.
package planexec

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"ivybank/fleet/plan"
	"ivybank/fleet/planstate"
	"ivybank/fleet/quorum"
)

const (
	ms, sec = int64(1e6), int64(1e9)

	tickEvery   = 100 * ms
	idleEvery   = 2 * sec  // between ticks of one that is not in yet and waits for others
	awake       = 5 * sec  // after the latest letter or call one goes on ticking
	reportEvery = 100 * ms // of what is open, while anything drains
	reportFresh = sec      // a report older than this does not count
	askFor      = 10 * sec // an operator's command is handed on for so long
	askEvery    = 200 * ms
)

// Config is what a member is told. Times are nanoseconds.
type Config struct {
	Self, Members, Voters int
	Incarnation, Seed     uint64
	Leader                planstate.LeaderConfig
}

// View is what the host sees now.
type View struct {
	Now, Wall int64
	Servers   []planstate.Server
	Open      map[string]int // dispatches open here, by server
	Alive     func(member int) bool
	Service   float64
	Shedding  bool
}

// Kind is what an action asks of the host.
type Kind int

// The kinds.
const (
	Send        Kind = iota // a letter
	Persist                 // Batch is to be written down, then Written called
	HeldChanged             // which servers are held has changed
	Log                     // a line for the log
)

// Action is one thing for the host to do.
type Action struct {
	Kind   Kind
	To     int
	Body   []byte
	Batch  quorum.Batch
	Text   string
	Fields map[string]any
}

// kinds of letter
const (
	byQuorum  = 'Q'
	byReport  = 'P'
	byCommand = 'C'
)

// report is what a member says of itself.
type report struct {
	_     struct{} `cbor:",toarray"`
	Index uint64
	Open  map[string]int
}

type heard struct {
	report
	at int64
}

// asked is an operator's command that is not agreed on yet.
type asked struct {
	c    planstate.Command
	at   int64
	sent int64
}

// Coordinator is one member's.
type Coordinator struct {
	t        Config
	node     *quorum.Node
	state    *planstate.State
	lead     *planstate.Lead // nil: another leads
	term     uint64
	reports  map[int]heard // by place, where this one leads; emptied with the lead
	asks     []asked       // emptied as they are agreed on or too old
	todo     []Action      // emptied by Next
	tickAt   int64
	reportAt int64
	wakeful  int64 // until then it ticks
	writing  bool
	leader   int
	Count    struct{ Letters, Refused int }
}

// New begins with what was written down.
func New(t Config, k quorum.PersistentState, now int64) (*Coordinator, error) {
	n, err := quorum.New(quorum.Config{Index: t.Self, Members: t.Members, Voters: t.Voters, Incarnation: t.Incarnation, Seed: t.Seed}, k)
	return &Coordinator{t: t, node: n, state: &planstate.State{}, reports: map[int]heard{}, wakeful: now + awake, leader: -1}, err
}

// State is what was agreed on, as far as it is known here. It is to be read only.
func (c *Coordinator) State() *planstate.State { return c.state }

// Leader is the place of the one that leads; -1: nobody is known to. Lost says whether this member's folder was.
func (c *Coordinator) Leader() (place int, lost bool) { return c.node.Leader(), c.node.LostState() }

// busy says whether there is anything to do.
func (c *Coordinator) busy(now int64) bool {
	return now < c.wakeful || len(c.asks) > 0 || c.state.Busy()
}

// Tick does what is due.
func (c *Coordinator) Tick(s View) {
	every := tickEvery
	if !c.busy(s.Now) {
		if !c.node.Joining() {
			return // nothing at rest
		}
		every = idleEvery
	}
	if s.Now < c.tickAt {
		return
	}
	c.tickAt = s.Now + every
	c.node.Tick()
	leads, term := c.node.IsLeader()
	if leads && c.term != term {
		c.lead, c.term, c.reports = planstate.NewLead(c.t.Leader, term), term, map[int]heard{}
	} else if !leads {
		c.lead, c.term = nil, 0
	}
	c.report(s)
	c.ask(s)
	if c.lead != nil && c.state.Busy() {
		for _, x := range c.lead.Next(c.state, c.view(s)) {
			c.propose(&x)
		}
	}
	if l := c.node.Leader(); l != c.leader {
		c.leader = l
		c.tell("plans: who leads", map[string]any{"member": l})
	}
	c.carry()
}

// report says what is open here at servers that are out, to the one that leads.
func (c *Coordinator) report(s View) {
	if s.Now < c.reportAt || len(c.state.Unavailable()) == 0 {
		return
	}
	c.reportAt = s.Now + reportEvery
	r := report{Index: c.state.Index, Open: map[string]int{}}
	for _, t := range c.state.Unavailable() {
		if n := s.Open[t.ID]; n > 0 {
			r.Open[t.ID] = n
		}
	}
	if c.lead != nil {
		c.reports[c.t.Self] = heard{r, s.Now}
	} else if l := c.node.Leader(); l >= 0 && l != c.t.Self {
		c.post(l, byReport, r)
	}
}

// view is what a leader sees.
func (c *Coordinator) view(s View) planstate.View {
	v := planstate.View{Now: s.Now, Wall: s.Wall, Servers: s.Servers, Service: s.Service, Cut: s.Shedding}
	for i := range c.t.Members {
		r, had := c.reports[i]
		m := planstate.Member{Place: i, Reached: i == c.t.Self || s.Alive(i)}
		if had && s.Now-r.at < reportFresh {
			m.Index, m.Open = r.Index, r.Open
		}
		v.Members = append(v.Members, m)
	}
	return v
}

// Request takes an operator's command. It is handed to the one that leads until it is agreed on.
func (c *Coordinator) Request(x planstate.Command, now int64) {
	c.wakeful = now + awake
	c.asks = append(c.asks, asked{c: x, at: now})
}

func (c *Coordinator) ask(s View) {
	c.asks = slices.DeleteFunc(c.asks, func(a asked) bool { return s.Now-a.at > askFor || c.Applied(&a.c) })
	for i := range c.asks {
		a := &c.asks[i]
		if s.Now-a.sent < askEvery {
			continue
		}
		a.sent = s.Now
		if c.lead != nil {
			c.propose(&a.c)
			continue
		}
		l := c.node.Leader()
		for i := range c.t.Members {
			if i != c.t.Self && (i == l || l < 0 && i < c.t.Voters) {
				c.post(i, byCommand, &a.c)
			}
		}
	}
}

// Applied says whether what an operator asked for is agreed on.
func (c *Coordinator) Applied(a *planstate.Command) bool {
	w := c.state.Find(a.Plan)
	switch {
	case w == nil:
		return false
	case a.Kind == planstate.Submit:
		return true
	case a.Kind == planstate.Pause:
		return w.Standing != planstate.Runs
	case a.Kind == planstate.Resume:
		return w.Standing != planstate.Paused
	case a.Kind == planstate.Abandon:
		return w.Standing >= planstate.Ended
	case a.Kind == planstate.FinishWork:
		x := w.Find(a.Server)
		return x == nil || x.Phase > planstate.Out
	}
	return true
}

func (c *Coordinator) propose(x *planstate.Command) {
	if body, err := cbor.Marshal(x); err == nil {
		_ = c.node.Propose(body)
	}
}

func (c *Coordinator) post(to int, kind byte, v any) {
	if body, err := cbor.Marshal(v); err == nil {
		c.todo = append(c.todo, Action{Kind: Send, To: to, Body: append([]byte{kind}, body...)})
	}
}

func (c *Coordinator) tell(text string, fields map[string]any) {
	c.todo = append(c.todo, Action{Kind: Log, Text: text, Fields: fields})
}

// Receive takes a letter; one that is not of the form is dropped and counted.
func (c *Coordinator) Receive(from int, body []byte, now int64) {
	if len(body) < 2 {
		c.Count.Refused++
		return
	}
	c.Count.Letters++
	switch body[0] {
	case byQuorum:
		if !quorum.IsIdleMessage(body[1:]) {
			c.wakeful = max(c.wakeful, now+awake)
		}
		c.node.Step(from, body[1:])
	case byReport:
		var r report
		if cbor.Unmarshal(body[1:], &r) == nil && c.lead != nil {
			c.reports[from] = heard{r, now}
		}
	case byCommand:
		var x planstate.Command
		if cbor.Unmarshal(body[1:], &x) != nil || x.Kind == 0 || x.Kind >= planstate.Take {
			c.Count.Refused++
			return
		}
		c.wakeful = now + awake
		if leads, _ := c.node.IsLeader(); leads && !c.Applied(&x) {
			c.propose(&x)
		}
	default:
		c.Count.Refused++
	}
	c.carry()
}

// carry hands out what the quorum wants.
func (c *Coordinator) carry() {
	if c.writing {
		return
	}
	b, ok := c.node.Ready()
	if !ok {
		return
	}
	c.writing = true
	c.todo = append(c.todo, Action{Kind: Persist, Batch: b})
}

// Persisted tells that a batch is written down: only now it is sent and applied.
func (c *Coordinator) Persisted(b *quorum.Batch, now int64) {
	c.writing = false
	if b.ID != 0 {
		c.state = &planstate.State{} // it comes again from the start
	}
	for _, s := range b.Messages {
		c.todo = append(c.todo, Action{Kind: Send, To: s.To, Body: append([]byte{byQuorum}, s.Body...)})
	}
	held := len(c.state.Unavailable())
	for _, e := range b.Committed {
		c.apply(&e, now)
	}
	if len(b.Committed) > 0 || b.ID != 0 && held > 0 {
		c.todo = append(c.todo, Action{Kind: HeldChanged})
	}
	c.node.Advance()
	c.carry()
}

func (c *Coordinator) apply(e *quorum.Entry, now int64) {
	var x planstate.Command
	if err := cbor.Unmarshal(e.Data, &x); err != nil {
		return // of another build: skipped by all of this one alike
	}
	err := c.state.Apply(e.Index, e.Term, &x)
	c.wakeful = max(c.wakeful, now+awake)
	fields := map[string]any{"plan": x.Plan, "index": e.Index}
	if x.Server != "" {
		fields["server"] = x.Server
	}
	if x.Reason != "" {
		fields["why"] = x.Reason
	}
	if err != nil {
		fields["refused"] = err.Error()
	}
	c.tell("plans: "+planstate.Word(x.Kind), fields)
}

// Next gives the next action; false when there is none.
func (c *Coordinator) Next() (a Action, ok bool) {
	if len(c.todo) == 0 {
		return a, false
	}
	a, c.todo = c.todo[0], c.todo[1:]
	return a, true
}

// TransferLeadership hands the lead on to another that votes and takes part, as this process ends.
func (c *Coordinator) TransferLeadership(alive func(member int) bool) {
	if leads, _ := c.node.IsLeader(); !leads {
		return
	}
	for i := range c.t.Voters {
		if i != c.t.Self && alive(i) {
			c.node.TransferLeadership(i)
			break
		}
	}
	c.carry()
}

// SubmitCommand makes an operator's command of a plan, checked against what is listed now.
func SubmitCommand(p *plan.Plan, listed []plan.Target, wall int64) (planstate.Command, error) {
	if err := p.Feasible(listed); err != nil {
		return planstate.Command{}, fmt.Errorf("infeasible: %w", err)
	}
	return planstate.Command{Kind: planstate.Submit, Plan: p.ID, At: wall, Definition: p, Targets: p.Targets(listed)}, nil
}

// ErrUnknownPlan is told of a plan that nobody has handed in.
var ErrUnknownPlan = errors.New("no such plan")

// Status is a plan as operators see it.
type Status struct {
	Plan       string            `json:"plan"`
	State      string            `json:"standing"`
	Reason     string            `json:"why,omitempty"`
	Leader     int               `json:"leader"` // place; -1: nobody is known to lead, and nothing new goes out
	FolderLost bool              `json:"folder_lost,omitempty"`
	Steps      []StepStatus      `json:"steps"`
	Events     []planstate.Event `json:"events,omitempty"`
}

// StepStatus is one server of it.
type StepStatus struct {
	Server     string   `json:"server"`
	Phase      string   `json:"phase"`
	At         int64    `json:"at_ms"`
	Tries      int      `json:"tries,omitempty"`
	Note       string   `json:"note,omitempty"`
	WaitingFor []string `json:"waits,omitempty"` // at the one that leads: for whom
}

// Status gives all plans, or one.
func (c *Coordinator) Status(id string, s View) (all []Status) {
	members := c.view(s).Members
	for _, w := range c.state.Works {
		if id != "" && w.Plan.ID != id {
			continue
		}
		x := Status{Plan: w.Plan.ID, State: w.Standing.String(), Reason: w.Why, Leader: c.node.Leader(), FolderLost: c.node.LostState()}
		if id != "" {
			x.Events = w.Events
		}
		for _, step := range w.Steps {
			y := StepStatus{Server: step.ID, Phase: step.Phase.String(), At: step.At / ms, Tries: step.Tries, Note: step.Note}
			if step.Phase == planstate.Draining && c.lead != nil {
				for _, m := range members {
					switch {
					case !m.Reached:
						y.WaitingFor = append(y.WaitingFor, fmt.Sprintf("%d is not reached: the grace and the longest client timeout", m.Place))
					case m.Index < step.Index:
						y.WaitingFor = append(y.WaitingFor, fmt.Sprintf("%d has not reported", m.Place))
					case m.Open[step.ID] > 0:
						y.WaitingFor = append(y.WaitingFor, fmt.Sprintf("%d has %d open", m.Place, m.Open[step.ID]))
					}
				}
			}
			x.Steps = append(x.Steps, y)
		}
		all = append(all, x)
	}
	slices.SortStableFunc(all, func(x, y Status) int { return cmp.Compare(x.Plan, y.Plan) })
	return all
}
