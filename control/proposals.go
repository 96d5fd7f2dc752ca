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
	maxQueuedProposals     = 64
	maxQueuedProposalBytes = 32 << 20
	proposalTimeout        = 3 * time.Second
)

// response is the answer to an operator's call.
type response struct {
	status   int
	body     []byte // JSON
	location string
}

func errorResponse(status int, message string) response {
	return response{status: status, body: []byte(`{"error":` + strconv.Quote(message) + `}`)}
}

var acceptedResponse = response{status: http.StatusOK, body: []byte(`{}`)}

// proposal is a request to replace the configuration that is queued or in flight.
type proposal struct {
	base       int64
	revision   int64
	body       []byte
	digest     store.Digest
	invalid    error
	receivedAt time.Duration
	position   replica.Position // set when it is proposed
	responders []func(response)
}

func (p *proposal) answer(resp response) {
	for _, answer := range p.responders {
		answer(resp)
	}
	p.responders = nil
}

// submitProposal decides on a request or queues it. A repetition of a request in progress shares its response.
func (n *Node) submitProposal(p *proposal, answer func(response)) {
	now := n.now()
	if resp, notLeading := n.notLeadingResponse(pathReplace, now); notLeading {
		answer(resp)
		return
	}
	if same := n.findProposal(p.digest); same != nil {
		same.responders = append(same.responders, answer)
		return
	}
	if len(n.proposalQueue) >= maxQueuedProposals || n.queuedBytes+len(p.body) > maxQueuedProposalBytes {
		answer(errorResponse(http.StatusServiceUnavailable, "too many orders under way"))
		return
	}
	p.receivedAt, p.responders = now, []func(response){answer}
	n.proposalQueue = append(n.proposalQueue, p)
	n.queuedBytes += len(p.body)
	n.tickProposals(now)
}

// findProposal returns the same request if it is already in progress, or nil.
func (n *Node) findProposal(d store.Digest) *proposal {
	if n.proposal != nil && n.proposal.digest == d {
		return n.proposal
	}
	for _, queued := range n.proposalQueue {
		if queued.digest == d {
			return queued
		}
	}
	return nil
}

// notLeadingResponse returns the response that names the leader, if this node isn't the leader. A node that has not
// heard from a leader recently names none, as its information may be out of date.
func (n *Node) notLeadingResponse(path string, now time.Duration) (response, bool) {
	if n.replica.Leading(now) && !n.stopping {
		return response{}, false
	}
	leader := n.replica.Leader(now)
	_, port, err := net.SplitHostPort(n.settings.Listen.Control)
	if leader.IP == "" || leader.IP == n.settings.IP || err != nil {
		return errorResponse(http.StatusServiceUnavailable, "no leader"), true
	}
	location := "http://" + net.JoinHostPort(leader.IP, port) + path
	return response{status: http.StatusTemporaryRedirect, location: location}, true
}

// tickProposals starts the next request once the previous one is settled, and gives up on those that time out.
func (n *Node) tickProposals(now time.Duration) {
	if n.proposal != nil {
		leadershipLost := n.replica.Role() != replica.Leader || n.replica.Term() != n.proposal.position.Term
		if leadershipLost || now > n.proposal.receivedAt+proposalTimeout {
			n.proposal.answer(errorResponse(http.StatusServiceUnavailable, "outcome not known"))
			n.proposal = nil
		}
	}
	for n.proposal == nil && len(n.proposalQueue) > 0 {
		p := n.proposalQueue[0]
		if n.replica.Leading(now) && n.replica.HasUncommitted() && now <= p.receivedAt+proposalTimeout {
			return // the previous entry is not committed yet
		}
		n.proposalQueue[0] = nil
		n.proposalQueue = n.proposalQueue[1:]
		n.queuedBytes -= len(p.body)
		n.decide(p, now)
	}
}

// decide answers a request or proposes it. If this node is the leader, all earlier entries are committed.
func (n *Node) decide(p *proposal, now time.Duration) {
	if resp, notLeading := n.notLeadingResponse(pathReplace, now); notLeading {
		p.answer(resp)
		return
	}
	if n.replica.HasUncommitted() || n.state == nil || n.statePosition != n.replica.Committed().Position() {
		p.answer(errorResponse(http.StatusServiceUnavailable, "not settled"))
		return
	}
	if n.state.Accepted(p.digest) {
		p.answer(acceptedResponse)
		return
	}
	if p.invalid != nil {
		p.answer(errorResponse(http.StatusBadRequest, p.invalid.Error()))
		return
	}
	next, err := n.state.Next(p.base, p.revision, p.body)
	switch {
	case errors.Is(err, store.ErrConflict):
		p.answer(errorResponse(http.StatusPreconditionFailed, err.Error()))
	case err != nil:
		p.answer(errorResponse(http.StatusBadRequest, err.Error()))
	default:
		n.propose(p, next, now)
	}
}

func (n *Node) propose(p *proposal, next *store.State, now time.Duration) {
	value, err := next.Encode()
	if err != nil {
		p.answer(errorResponse(http.StatusInternalServerError, err.Error()))
		return
	}
	at, err := n.replica.Propose(value, now)
	if err != nil {
		p.answer(errorResponse(http.StatusServiceUnavailable, err.Error()))
		return
	}
	p.position, n.proposal = at, p
}

// finishProposal acknowledges the request that was just committed.
func (n *Node) finishProposal() {
	if n.proposal != nil && n.state.Accepted(n.proposal.digest) {
		n.proposal.answer(acceptedResponse)
		n.proposal = nil
	}
	n.tickProposals(n.now())
}

// readConfig returns the newest configuration if this node is certain that it is the newest.
func (n *Node) readConfig() response {
	resp, notLeading := n.notLeadingResponse(pathGet, n.now())
	switch {
	case notLeading:
		return resp
	case n.state == nil || n.statePosition != n.replica.Committed().Position():
		return errorResponse(http.StatusServiceUnavailable, "not settled")
	case n.state.Revision == 0:
		return errorResponse(http.StatusNotFound, "no configuration yet")
	default:
		return response{status: http.StatusOK, body: n.state.Body}
	}
}
