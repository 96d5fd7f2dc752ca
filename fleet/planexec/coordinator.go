// Package planexec runs a member's part in maintenance plans: it keeps the agreed state, reports what this member has
// open at servers that are out of service, and, if this member is the leader, proposes the next steps. It is driven
// by ticks, messages and a clock that the caller passes in, and returns typed actions for the caller to carry out. It
// does no I/O.
//
// This file holds the coordinator, which also decides when it is idle, so that no messages are sent while there is
// nothing to do. It never holds a server out of service that no plan has out, and never returns one to service by a
// timer of its own.
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

	tickInterval         = 100 * ms
	joinTickInterval     = 2 * sec  // of an idle member that still waits to join the others
	activePeriod         = 5 * sec  // how long a member ticks on after the latest message or request
	reportInterval       = 100 * ms // while a plan has servers out of service
	maxReportAge         = sec      // older reports are ignored
	requestTimeout       = 10 * sec // how long an operator's command is sent to the leader
	requestRetryInterval = 200 * ms
)

// Config holds a member's settings. Times are in nanoseconds. Self is the member's index in the list of Members
// members; the first Voters of them vote.
type Config struct {
	Self, Members, Voters int
	Incarnation, Seed     uint64
	Leader                planstate.LeaderConfig
}

// View is what the caller observes now. Now is monotonic and in nanoseconds; Wall is in Unix ns.
type View struct {
	Now, Wall int64
	Servers   []planstate.Server
	Open      map[string]int // dispatches that this process has open, by server
	Alive     func(member int) bool
	Service   float64 // recent fraction of the requested worth that was served, from 0 to 1
	Shedding  bool    // load is being shed because of an overload
}

// Kind is the kind of an action.
type Kind int

// The kinds of actions.
const (
	Send        Kind = iota // send Body to the member To
	Persist                 // store Batch durably, then call Persisted
	HeldChanged             // apply the changed set of servers that plans have out
	Log                     // log Text with Fields
)

// Action is something that the caller has to do.
type Action struct {
	Kind   Kind
	To     int
	Body   []byte
	Batch  quorum.Batch
	Text   string
	Fields map[string]any
}

// The first byte of a message gives its kind.
const (
	quorumMessage  = 'Q'
	reportMessage  = 'P'
	commandMessage = 'C'
)

// report is what a member sends to the leader about itself.
type report struct {
	_     struct{}       `cbor:",toarray"`
	Index uint64         // of the latest command applied
	Open  map[string]int // open dispatches, by server that is out of service
}

type receivedReport struct {
	report
	at int64
}

// pendingRequest is an operator's command that is not agreed on yet.
type pendingRequest struct {
	command    planstate.Command
	receivedAt int64
	sentAt     int64
}

// Coordinator is a member's state of all maintenance plans.
type Coordinator struct {
	config      Config
	node        *quorum.Node
	state       *planstate.State
	leader      *planstate.Leader // nil unless this member is the leader
	term        uint64
	reports     map[int]receivedReport // by member; kept by the leader for one term
	requests    []pendingRequest       // removed once agreed on or too old
	actions     []Action               // drained by Next
	nextTick    int64
	nextReport  int64
	activeUntil int64 // the member keeps ticking until then
	persisting  bool
	knownLeader int
	Counters    struct{ Messages, Rejected int }
}

// New returns a coordinator that starts from the stored state.
func New(config Config, stored quorum.PersistentState, now int64) (*Coordinator, error) {
	node, err := quorum.New(quorum.Config{Index: config.Self, Members: config.Members, Voters: config.Voters,
		Incarnation: config.Incarnation, Seed: config.Seed}, stored)
	return &Coordinator{config: config, node: node, state: &planstate.State{}, reports: map[int]receivedReport{},
		activeUntil: now + activePeriod, knownLeader: -1}, err
}

// State returns the agreed state as far as this member has applied it. Callers must not modify it.
func (c *Coordinator) State() *planstate.State { return c.state }

// Leader returns the index of the leading member, or -1 if no leader is known, and whether this member has lost its
// stored state.
func (c *Coordinator) Leader() (member int, lost bool) { return c.node.Leader(), c.node.LostState() }

// busy reports whether there is anything to do.
func (c *Coordinator) busy(now int64) bool {
	return now < c.activeUntil || len(c.requests) > 0 || c.state.Busy()
}

// Tick does the work that is due.
func (c *Coordinator) Tick(view View) {
	interval := tickInterval
	if !c.busy(view.Now) {
		if !c.node.Joining() {
			return // an idle member sends nothing
		}
		interval = joinTickInterval
	}
	if view.Now < c.nextTick {
		return
	}
	c.nextTick = view.Now + interval
	c.node.Tick()
	isLeader, term := c.node.IsLeader()
	if isLeader && c.term != term {
		c.leader, c.term, c.reports = planstate.NewLeader(c.config.Leader, term), term, map[int]receivedReport{}
	} else if !isLeader {
		c.leader, c.term = nil, 0
	}
	c.sendReport(view)
	c.sendRequests(view)
	if c.leader != nil && c.state.Busy() {
		for _, cmd := range c.leader.Next(c.state, c.leaderView(view)) {
			c.propose(&cmd)
		}
	}
	if leader := c.node.Leader(); leader != c.knownLeader {
		c.knownLeader = leader
		c.log("plans: the leader has changed", map[string]any{"member": leader})
	}
	c.collectBatch()
}

// sendReport tells the leader how many dispatches this member has open at servers that are out of service.
func (c *Coordinator) sendReport(view View) {
	if view.Now < c.nextReport || len(c.state.Unavailable()) == 0 {
		return
	}
	c.nextReport = view.Now + reportInterval
	r := report{Index: c.state.Index, Open: map[string]int{}}
	for _, t := range c.state.Unavailable() {
		if n := view.Open[t.ID]; n > 0 {
			r.Open[t.ID] = n
		}
	}
	if c.leader != nil {
		c.reports[c.config.Self] = receivedReport{r, view.Now}
	} else if leader := c.node.Leader(); leader >= 0 && leader != c.config.Self {
		c.send(leader, reportMessage, r)
	}
}

// leaderView returns what the leader observes, with the members' recent reports.
func (c *Coordinator) leaderView(view View) planstate.View {
	v := planstate.View{Now: view.Now, Wall: view.Wall, Servers: view.Servers,
		Service: view.Service, Shedding: view.Shedding}
	for i := range c.config.Members {
		r, received := c.reports[i]
		m := planstate.Member{ID: i, Reachable: i == c.config.Self || view.Alive(i)}
		if received && view.Now-r.at < maxReportAge {
			m.AppliedIndex, m.Open = r.Index, r.Open
		}
		v.Members = append(v.Members, m)
	}
	return v
}

// Request accepts an operator's command. It is sent to the leader repeatedly until it is agreed on or times out.
func (c *Coordinator) Request(cmd planstate.Command, now int64) {
	c.activeUntil = now + activePeriod
	c.requests = append(c.requests, pendingRequest{command: cmd, receivedAt: now})
}

// sendRequests proposes the pending requests if this member is the leader. Otherwise it sends them to the leader, or
// to all voters if no leader is known.
func (c *Coordinator) sendRequests(view View) {
	c.requests = slices.DeleteFunc(c.requests, func(r pendingRequest) bool {
		return view.Now-r.receivedAt > requestTimeout || c.Applied(&r.command)
	})
	for i := range c.requests {
		r := &c.requests[i]
		if view.Now-r.sentAt < requestRetryInterval {
			continue
		}
		r.sentAt = view.Now
		if c.leader != nil {
			c.propose(&r.command)
			continue
		}
		leader := c.node.Leader()
		for i := range c.config.Members {
			if i != c.config.Self && (i == leader || leader < 0 && i < c.config.Voters) {
				c.send(i, commandMessage, &r.command)
			}
		}
	}
}

// Applied reports whether the state already shows the effect of an operator's command.
func (c *Coordinator) Applied(cmd *planstate.Command) bool {
	run := c.state.Find(cmd.Plan)
	switch {
	case run == nil:
		return false
	case cmd.Kind == planstate.Submit:
		return true
	case cmd.Kind == planstate.Pause:
		return run.Status != planstate.Running
	case cmd.Kind == planstate.Resume:
		return run.Status != planstate.Paused
	case cmd.Kind == planstate.Abandon:
		return run.Status >= planstate.Ended
	case cmd.Kind == planstate.FinishWork:
		step := run.Find(cmd.Server)
		return step == nil || step.Phase > planstate.Out
	}
	return true
}

func (c *Coordinator) propose(cmd *planstate.Command) {
	if body, err := cbor.Marshal(cmd); err == nil {
		_ = c.node.Propose(body)
	}
}

func (c *Coordinator) send(to int, kind byte, v any) {
	if body, err := cbor.Marshal(v); err == nil {
		c.actions = append(c.actions, Action{Kind: Send, To: to, Body: append([]byte{kind}, body...)})
	}
}

func (c *Coordinator) log(text string, fields map[string]any) {
	c.actions = append(c.actions, Action{Kind: Log, Text: text, Fields: fields})
}

// Receive handles a message from another member. Malformed messages are dropped and counted.
func (c *Coordinator) Receive(from int, body []byte, now int64) {
	if len(body) < 2 {
		c.Counters.Rejected++
		return
	}
	c.Counters.Messages++
	switch body[0] {
	case quorumMessage:
		if !quorum.IsIdleMessage(body[1:]) {
			c.activeUntil = max(c.activeUntil, now+activePeriod)
		}
		c.node.Step(from, body[1:])
	case reportMessage:
		var r report
		if cbor.Unmarshal(body[1:], &r) == nil && c.leader != nil {
			c.reports[from] = receivedReport{r, now}
		}
	case commandMessage:
		var cmd planstate.Command
		if cbor.Unmarshal(body[1:], &cmd) != nil || cmd.Kind == 0 || cmd.Kind >= planstate.StartDrain {
			c.Counters.Rejected++
			return
		}
		c.activeUntil = now + activePeriod
		if isLeader, _ := c.node.IsLeader(); isLeader && !c.Applied(&cmd) {
			c.propose(&cmd)
		}
	default:
		c.Counters.Rejected++
	}
	c.collectBatch()
}

// collectBatch hands the next batch of the quorum to the caller, unless one is being stored.
func (c *Coordinator) collectBatch() {
	if c.persisting {
		return
	}
	b, ok := c.node.Ready()
	if !ok {
		return
	}
	c.persisting = true
	c.actions = append(c.actions, Action{Kind: Persist, Batch: b})
}

// Persisted reports that a batch is stored durably; only now are its messages sent and its entries applied.
func (c *Coordinator) Persisted(b *quorum.Batch, now int64) {
	c.persisting = false
	if b.ID != 0 {
		c.state = &planstate.State{} // the entries are delivered again from the first one
	}
	for _, m := range b.Messages {
		c.actions = append(c.actions, Action{Kind: Send, To: m.To, Body: append([]byte{quorumMessage}, m.Body...)})
	}
	unavailable := len(c.state.Unavailable())
	for _, entry := range b.Committed {
		c.apply(&entry, now)
	}
	if len(b.Committed) > 0 || b.ID != 0 && unavailable > 0 {
		c.actions = append(c.actions, Action{Kind: HeldChanged})
	}
	c.node.Advance()
	c.collectBatch()
}

func (c *Coordinator) apply(entry *quorum.Entry, now int64) {
	var cmd planstate.Command
	if err := cbor.Unmarshal(entry.Data, &cmd); err != nil {
		return // written by another build; all members of this build skip it
	}
	err := c.state.Apply(entry.Index, entry.Term, &cmd)
	c.activeUntil = max(c.activeUntil, now+activePeriod)
	fields := map[string]any{"plan": cmd.Plan, "index": entry.Index}
	if cmd.Server != "" {
		fields["server"] = cmd.Server
	}
	if cmd.Reason != "" {
		fields["why"] = cmd.Reason
	}
	if err != nil {
		fields["refused"] = err.Error()
	}
	c.log("plans: "+planstate.Describe(cmd.Kind), fields)
}

// Next returns the next action, or false if there is none.
func (c *Coordinator) Next() (a Action, ok bool) {
	if len(c.actions) == 0 {
		return a, false
	}
	a, c.actions = c.actions[0], c.actions[1:]
	return a, true
}

// TransferLeadership hands the leadership over to another voter that is alive. A leader calls it before its process
// ends.
func (c *Coordinator) TransferLeadership(alive func(member int) bool) {
	if isLeader, _ := c.node.IsLeader(); !isLeader {
		return
	}
	for i := range c.config.Voters {
		if i != c.config.Self && alive(i) {
			c.node.TransferLeadership(i)
			break
		}
	}
	c.collectBatch()
}

// SubmitCommand returns the command that submits a plan. It returns an error if the plan is infeasible with the
// servers listed now.
func SubmitCommand(p *plan.Plan, listed []plan.Target, wall int64) (planstate.Command, error) {
	if err := p.CheckFeasible(listed); err != nil {
		return planstate.Command{}, fmt.Errorf("infeasible: %w", err)
	}
	return planstate.Command{Kind: planstate.Submit, Plan: p.ID, At: wall, Definition: p, Targets: p.Targets(listed)}, nil
}

// ErrUnknownPlan is returned for a plan that was not submitted.
var ErrUnknownPlan = errors.New("no such plan")

// Status is the status of a plan as operators see it.
type Status struct {
	Plan       string            `json:"plan"`
	State      string            `json:"standing"`
	Reason     string            `json:"why,omitempty"`
	Leader     int               `json:"leader"` // member; -1: none is known, and no step starts
	FolderLost bool              `json:"folder_lost,omitempty"`
	Steps      []StepStatus      `json:"steps"`
	Events     []planstate.Event `json:"events,omitempty"`
}

// StepStatus is the status of one server of a plan.
type StepStatus struct {
	Server        string   `json:"server"`
	Phase         string   `json:"phase"`
	At            int64    `json:"at_ms"`
	Cancellations int      `json:"tries,omitempty"`
	Note          string   `json:"note,omitempty"`
	WaitingFor    []string `json:"waits,omitempty"` // members for which a drain waits; known to the leader only
}

// Status returns the status of the plan with the given id, with its events, or of all plans if id is empty.
func (c *Coordinator) Status(id string, view View) (all []Status) {
	members := c.leaderView(view).Members
	for _, run := range c.state.Runs {
		if id != "" && run.Plan.ID != id {
			continue
		}
		status := Status{Plan: run.Plan.ID, State: run.Status.String(), Reason: run.Reason,
			Leader: c.node.Leader(), FolderLost: c.node.LostState()}
		if id != "" {
			status.Events = run.Events
		}
		for _, step := range run.Steps {
			stepStatus := StepStatus{Server: step.ID, Phase: step.Phase.String(), At: step.At / ms,
				Cancellations: step.Cancellations, Note: step.Note}
			if step.Phase == planstate.Draining && c.leader != nil {
				for _, m := range members {
					switch {
					case !m.Reachable:
						stepStatus.WaitingFor = append(stepStatus.WaitingFor,
							fmt.Sprintf("%d is not reached: the grace and the longest client timeout", m.ID))
					case m.AppliedIndex < step.Index:
						stepStatus.WaitingFor = append(stepStatus.WaitingFor, fmt.Sprintf("%d has not reported", m.ID))
					case m.Open[step.ID] > 0:
						stepStatus.WaitingFor = append(stepStatus.WaitingFor,
							fmt.Sprintf("%d has %d open", m.ID, m.Open[step.ID]))
					}
				}
			}
			status.Steps = append(status.Steps, stepStatus)
		}
		all = append(all, status)
	}
	slices.SortStableFunc(all, func(x, y Status) int { return cmp.Compare(x.Plan, y.Plan) })
	return all
}
