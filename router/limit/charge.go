package limit

import (
	"context"
	"time"
)

// Charge is the quota that one request has taken from its tenant's limit. Each run at a host uses a charge of its own.
// The nil Charge belongs to a request without a limit. Only the goroutine of the request may use a Charge.
type Charge struct {
	limiter    *Limiter
	demand     quotaDemand
	validFrom  time.Duration // the charge may not be used before
	validUntil time.Duration // the charge has to be used by then
	used       bool
}

// waitUntilValid waits until the charge may be used. It reports false if the context ends first.
func (c *Charge) waitUntilValid(ctx context.Context) bool {
	wait := c.validFrom - c.limiter.now()
	if wait <= 0 {
		return true
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Use must be called right before each send to a host. It replaces a charge that is used up or has expired by a new one.
// If it reports false, the limit allows no further run and the request must not be sent.
func (c *Charge) Use(ctx context.Context) bool {
	if c == nil {
		return true
	}
	if c.used || c.limiter.now() >= c.validUntil {
		fresh, _ := c.limiter.take(ctx, c.demand)
		if fresh == nil || c.limiter.now() >= fresh.validUntil {
			return false
		}
		*c = *fresh
	}
	c.used = true
	return true
}

// MarkNotRun makes a used charge usable again, after a run that did not take place: the host said so, or no byte was sent.
func (c *Charge) MarkNotRun() {
	if c != nil {
		c.used = false
	}
}

// Return gives back a charge that was not used. The returned quota keeps its expiry time.
func (c *Charge) Return() {
	if c == nil || c.used {
		return
	}
	c.used = true
	c.limiter.giveBack(c)
}
