package control

import (
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	"ivybank/control/replica"
	"ivybank/control/store"
)

const (
	maxQueuedOrders = 64
	maxQueuedBytes  = 32 << 20
	orderPatience   = 3 * time.Second
)

// response is the answer to an operator's call.
type verdict struct {
	status   int
	body     []byte // JSON
	location string
}

func problem(status int, message string) verdict {
	return verdict{status: status, body: []byte(`{"error":` + strconv.Quote(message) + `}`)}
}

var accepted = verdict{status: http.StatusOK, body: []byte(`{}`)}

// proposal is a request to replace the configuration that is queued or in flight.
type proposal struct {
	base     int64
	revision int64
	body     []byte
	digest   store.Digest
	invalid  error
	since    time.Duration
	at       replica.Position // set when it is proposed
	waiting  []func(verdict)
}

func (p *proposal) answer(v verdict) {
	for _, answer := range p.waiting {
		answer(v)
	}
	p.waiting = nil
}

// submitProposal decides on a request or queues it. A repetition of a request in progress shares its response.
func (n *Node) takeOrder(p *proposal, answer func(verdict)) {
	now := n.now()
	if v, elsewhere := n.elsewhere(pathReplace, now); elsewhere {
		answer(v)
		return
	}
	if same := n.findOrder(p.digest); same != nil {
		same.waiting = append(same.waiting, answer)
		return
	}
	if len(n.queue) >= maxQueuedOrders || n.queued+len(p.body) > maxQueuedBytes {
		answer(problem(http.StatusServiceUnavailable, "too many orders under way"))
		return
	}
	p.since, p.waiting = now, []func(verdict){answer}
	n.queue = append(n.queue, p)
	n.queued += len(p.body)
	n.tickProposals(now)
}

// findProposal returns the same request if it is already in progress, or nil.
func (n *Node) findOrder(d store.Digest) *proposal {
	if n.proposal != nil && n.proposal.digest == d {
		return n.proposal
	}
	for _, queued := range n.queue {
		if queued.digest == d {
			return queued
		}
	}
	return nil
}

// notLeadingResponse returns the response that names the leader, if this node isn't the leader. A node that has not
// heard from a leader recently names none, as its information may be out of date.
func (n *Node) elsewhere(path string, now time.Duration) (verdict, bool) {
	if n.replica.Leading(now) && !n.stopping {
		return verdict{}, false
	}
	leader := n.replica.Leader(now)
	_, port, err := net.SplitHostPort(n.settings.Listen.Control)
	if leader.IP == "" || leader.IP == n.settings.IP || err != nil {
		return problem(http.StatusServiceUnavailable, "no leader"), true
	}
	location := "http://" + net.JoinHostPort(leader.IP, port) + path
	return verdict{status: http.StatusTemporaryRedirect, location: location}, true
}

// tickProposals starts the next request once the previous one is settled, and gives up on those that time out.
func (n *Node) tickProposals(now time.Duration) {
	if n.proposal != nil {
		lost := n.replica.Role() != replica.Leader || n.replica.Term() != n.proposal.at.Term
		if lost || now > n.proposal.since+orderPatience {
			n.proposal.answer(problem(http.StatusServiceUnavailable, "outcome not known"))
			n.proposal = nil
		}
	}
	for n.proposal == nil && len(n.queue) > 0 {
		p := n.queue[0]
		if n.replica.Leading(now) && n.replica.HasUncommitted() && now <= p.since+orderPatience {
			return // the previous entry is not committed yet
		}
		n.queue[0] = nil
		n.queue = n.queue[1:]
		n.queued -= len(p.body)
		n.decide(p, now)
	}
}

// decide answers a request or proposes it. If this node is the leader, all earlier entries are committed.
func (n *Node) decide(p *proposal, now time.Duration) {
	if v, elsewhere := n.elsewhere(pathReplace, now); elsewhere {
		p.answer(v)
		return
	}
	if n.replica.HasUncommitted() || n.state == nil || n.stateAt != n.replica.Committed().Position() {
		p.answer(problem(http.StatusServiceUnavailable, "not settled"))
		return
	}
	if n.state.Accepted(p.digest) {
		p.answer(accepted)
		return
	}
	if p.invalid != nil {
		p.answer(problem(http.StatusBadRequest, p.invalid.Error()))
		return
	}
	next, err := n.state.Next(p.base, p.revision, p.body)
	switch {
	case errors.Is(err, store.ErrConflict):
		p.answer(problem(http.StatusPreconditionFailed, err.Error()))
	case err != nil:
		p.answer(problem(http.StatusBadRequest, err.Error()))
	default:
		n.propose(p, next, now)
	}
}

func (n *Node) propose(p *proposal, next *store.State, now time.Duration) {
	value, err := next.Encode()
	if err != nil {
		p.answer(problem(http.StatusInternalServerError, err.Error()))
		return
	}
	at, err := n.replica.Propose(value, now)
	if err != nil {
		p.answer(problem(http.StatusServiceUnavailable, err.Error()))
		return
	}
	p.at, n.proposal = at, p
}

// finishProposal acknowledges the request that was just committed.
func (n *Node) finishProposal() {
	if n.proposal != nil && n.state.Accepted(n.proposal.digest) {
		n.proposal.answer(accepted)
		n.proposal = nil
	}
	n.tickProposals(n.now())
}

// readConfig returns the newest configuration if this node is certain that it is the newest.
func (n *Node) readConfig() verdict {
	v, elsewhere := n.elsewhere(pathGet, n.now())
	switch {
	case elsewhere:
		return v
	case n.state == nil || n.stateAt != n.replica.Committed().Position():
		return problem(http.StatusServiceUnavailable, "not settled")
	case n.state.Revision == 0:
		return problem(http.StatusNotFound, "no configuration yet")
	default:
		return verdict{status: http.StatusOK, body: n.state.Body}
	}
}
