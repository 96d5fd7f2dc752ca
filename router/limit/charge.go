package limit

import (
	"context"
	"time"
)

// Charge is what one request has taken from its tenant's limit. Each run at a host uses a charge of its own. A nil Charge
// is that of a request without a limit. It belongs to the goroutine of its request.
type Charge struct {
	limiter *Limiter
	demand  demand
	from    time.Duration // when it may be used first
	until   time.Duration // by when it has to be used
	used    bool
}

// waitForStart waits until a charge may be used, and reports false where the context ends before.
func (c *Charge) waitForStart(ctx context.Context) bool {
	wait := c.from - c.limiter.now()
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

// Use is called right before the request goes to a host. A charge that is spent or has become too old is replaced by a new
// one; it reports false where the limit has none left, and the request must not be sent.
func (c *Charge) Use(ctx context.Context) bool {
	if c == nil {
		return true
	}
	if c.used || c.limiter.now() >= c.until {
		fresh, _ := c.limiter.take(ctx, c.demand)
		if fresh == nil || c.limiter.now() >= fresh.until {
			return false
		}
		*c = *fresh
	}
	c.used = true
	return true
}

// NotRun tells that the run for which the charge was used did not take place: the host said so, or no byte has left.
func (c *Charge) NotRun() {
	if c != nil {
		c.used = false
	}
}

// Return gives back a charge that was not used. It keeps its age.
func (c *Charge) Return() {
	if c == nil || c.used {
		return
	}
	c.used = true
	c.limiter.giveBack(c)
}
