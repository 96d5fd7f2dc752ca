package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ivybank/control/replica"
	"ivybank/wire"
)

// A member must not renew a lease for a holder that counts by the members of before a change that the member knows:
// after one more change, a majority may never have heard of that lease.
func TestLeaseIsNotRenewedForHolderWithOutdatedMembers(t *testing.T) {
	sim, _ := newRestartSimulation(t, 1)
	sim.runUntilLed(5 * time.Second)
	sim.runUntil(sim.now + 2*time.Second)
	owner := sim.ownerMachine()
	holder := owner.node.node.shards[0].holder
	request := &wire.LeaseRequest{Resource: holder.Resource(), Holder: owner.disk.identity.ID, Term: holder.Term(),
		Members: membersDigest(owner.node.node.replica.Members()), At: owner.node.node.replica.Newest().Position()}
	granter := owner.node.node
	assert.Assert(t, granter.answerLease(request, granter.now()).Granted)

	behind := *request
	behind.Members = membersDigest(granter.replica.Members()[1:])
	behind.At.Index--
	assert.Assert(t, !granter.answerLease(&behind, granter.now()).Granted)

	later := behind // refers to a change that this member doesn't know yet
	later.At = replica.Position{Term: request.At.Term, Index: request.At.Index + 1}
	assert.Assert(t, granter.answerLease(&later, granter.now()).Granted)

	older := *request // an older entry with the same members
	older.At.Index--
	assert.Assert(t, granter.answerLease(&older, granter.now()).Granted)
}
