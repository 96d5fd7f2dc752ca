package control

import (
	"testing"

	"gotest.tools/v3/assert"

	"ivybank/control/lease"
	"ivybank/control/quota"
)

// A lease is granted anew only once what its last holder granted with a delay has begun to be used.
func TestDelaysOfGrantsAreOverBeforeTheNextOwner(t *testing.T) {
	assert.Assert(t, quota.LongestDelay <= lease.Margin)
}
