package coordclient

import (
	"context"
	"crypto/rand"
	"errors"
	"net/http"
	"net/url"
	"sync"
	"time"
)

// Lock is a lock that is held. It renews itself until it is given back or lost.
//
// A process can stand still between any two of its steps, so a holder can't know at the moment of its work that it still
// holds the lock. Whatever is changed under the lock should therefore carry the fence, and refuse a lower one than it has
// seen.
type Lock struct {
	client *Client
	name   string
	holder string
	fence  uint64

	ctx         context.Context
	cancel      context.CancelCauseFunc
	renewalDone chan struct{} // closed once renewing has ended

	mu    sync.Mutex
	lease lease
	timer *time.Timer // at the end of the tenure
}

type lockRequest struct {
	Holder string `json:"holder"`
	Fence  uint64 `json:"fence,omitempty"`
	HoldMS int64  `json:"hold_ms,omitempty"`
}

// Lock takes a lock, and waits while another one holds it, until the context ends. The hold is for how long the fleet keeps
// the lock for a holder that is not heard any more.
func (c *Client) Lock(ctx context.Context, name string, hold time.Duration) (*Lock, error) {
	for backoff := initialBackoff; ; backoff = min(2*backoff, maxBackoff) {
		l, err := c.TryLock(ctx, name, hold)
		if !errors.Is(err, ErrHeld) {
			return l, err
		}
		sleep(ctx, withJitter(backoff))
	}
}

// TryLock takes a lock. The error is ErrHeld where another one holds it.
func (c *Client) TryLock(ctx context.Context, name string, hold time.Duration) (*Lock, error) {
	return c.TryLockAs(ctx, name, rand.Text(), hold)
}

// TryLockAs takes a lock under a holder's name that the caller chooses. Who has the name and still holds the lock, from
// before a crash for instance, gets it again.
func (c *Client) TryLockAs(ctx context.Context, name, holder string, hold time.Duration) (*Lock, error) {
	body := lockRequest{Holder: holder, HoldMS: milliseconds(hold)}
	r, err := c.do(ctx, post("/v1/Locks.Begin/"+url.PathEscape(name), body))
	if err != nil {
		return nil, err
	}
	if r.status == http.StatusConflict {
		return nil, ErrHeld
	}
	var granted struct {
		Fence uint64 `json:"fence"`
	}
	if err := r.decode(&granted); err != nil {
		return nil, err
	}
	l := &Lock{client: c, name: name, holder: holder, fence: granted.Fence, lease: lease{hold: hold, sent: r.sent},
		renewalDone: make(chan struct{})}
	if l.lease.expired(time.Now()) { // the answer took as long as the hold
		return nil, ErrLost
	}
	l.start(ctx)
	return l, nil
}

// milliseconds rounds up: the fleet may keep the lock for longer than its holder counts on it.
func milliseconds(hold time.Duration) int64 {
	return int64((hold + time.Millisecond - 1) / time.Millisecond)
}

// start starts what ends the tenure in time and what renews it. The context of the acquiring doesn't bound the holding.
func (l *Lock) start(ctx context.Context) {
	l.ctx, l.cancel = context.WithCancelCause(context.WithoutCancel(ctx))
	l.timer = time.AfterFunc(time.Until(l.lease.end()), l.expire)
	go l.renewUntilEnd()
}

// Fence is a number above that of every earlier holder of the lock.
func (l *Lock) Fence() uint64 { return l.fence }

// Context ends before the fleet may give the lock to another holder, and when it is given back; its cause is ErrLost or
// ErrFinished. It is for the work under the lock.
func (l *Lock) Context() context.Context { return l.ctx }

// Held says whether the lock is held by the clock at this moment, even where the process stood still and its timers have not
// gone off yet.
func (l *Lock) Held() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ctx.Err() == nil && !l.lease.expired(time.Now())
}

// Finish gives the lock back, so that others need not wait until the hold is over. The work under it has to have ended. Once
// Finish is called the lock is not held any more, also where an error is returned.
func (l *Lock) Finish(ctx context.Context) error {
	l.stop(ErrFinished)
	<-l.renewalDone
	r, err := l.client.do(ctx, post("/v1/Locks.Finish/"+url.PathEscape(l.name), lockRequest{Holder: l.holder, Fence: l.fence}))
	if err != nil {
		return err
	}
	return r.decode(&struct{}{})
}

func (l *Lock) stop(cause error) {
	l.cancel(cause)
	l.timer.Stop()
}

// expire ends the tenure, unless it was renewed meanwhile.
func (l *Lock) expire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); !l.lease.expired(now) {
		l.timer.Reset(l.lease.end().Sub(now))
		return
	}
	l.cancel(ErrLost)
}

// renewUntilEnd renews the tenure until it has ended.
func (l *Lock) renewUntilEnd() {
	defer close(l.renewalDone)
	for l.ctx.Err() == nil {
		sleep(l.ctx, l.timeUntilRenewal())
		r, err := l.heartbeat()
		if err != nil {
			continue // the context has ended
		}
		if r.status != http.StatusOK {
			l.stop(ErrLost)
			return
		}
		l.extendLease(r.sent)
	}
}

func (l *Lock) timeUntilRenewal() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Until(l.lease.renewalDue())
}

// heartbeat asks for more time, at one address after the other, until the tenure is over.
func (l *Lock) heartbeat() (*reply, error) {
	body := lockRequest{Holder: l.holder, Fence: l.fence, HoldMS: milliseconds(l.lease.hold)}
	return l.client.do(l.ctx, post("/v1/Locks.Heartbeat/"+url.PathEscape(l.name), body))
}

// extendLease takes a good answer to a renewal.
func (l *Lock) extendLease(sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.lease.renew(sent, now)
	if !l.lease.expired(now) {
		l.timer.Reset(l.lease.end().Sub(now))
	}
}
