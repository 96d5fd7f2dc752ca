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

// Lock is a held lock. It is renewed in the background until it is released or lost.
//
// A process can be paused between any two of its steps, so a holder can never be certain, while it works, that it still
// holds the lock. Whatever is changed under the lock should therefore store the fence, and reject a fence that is lower
// than the highest one it has seen.
type Lock struct {
	client *Client
	name   string
	holder string
	fence  uint64

	ctx         context.Context
	cancel      context.CancelCauseFunc
	renewalDone chan struct{} // closed when the renewal goroutine ends

	mu    sync.Mutex
	lease lease
	timer *time.Timer // fires at the end of the lease
}

type lockRequest struct {
	Holder string `json:"holder"`
	Fence  uint64 `json:"fence,omitempty"`
	HoldMS int64  `json:"hold_ms,omitempty"`
}

// Lock acquires a lock. It waits while another holder holds the lock, until the context ends. The hold is the time for
// which the fleet keeps the lock for a holder from which it no longer hears.
func (c *Client) Lock(ctx context.Context, name string, hold time.Duration) (*Lock, error) {
	for backoff := initialBackoff; ; backoff = min(2*backoff, maxBackoff) {
		l, err := c.TryLock(ctx, name, hold)
		if !errors.Is(err, ErrHeld) {
			return l, err
		}
		sleep(ctx, withJitter(backoff))
	}
}

// TryLock acquires a lock without waiting for it. The error is ErrHeld if another holder holds it.
func (c *Client) TryLock(ctx context.Context, name string, hold time.Duration) (*Lock, error) {
	return c.TryLockAs(ctx, name, rand.Text(), hold)
}

// TryLockAs is TryLock with a holder name that the caller chooses. If that holder still holds the lock, for example
// from before a crash, it gets the lock again.
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
	if l.lease.expired(time.Now()) { // the answer took longer than the lease
		return nil, ErrLost
	}
	l.start(ctx)
	return l, nil
}

// milliseconds converts a hold and rounds up: the fleet may keep the lock for longer than its holder relies on it.
func milliseconds(hold time.Duration) int64 {
	return int64((hold + time.Millisecond - 1) / time.Millisecond)
}

// start starts the timer that ends the lease and the goroutine that renews it. The end of the context that acquired the
// lock doesn't end the lock.
func (l *Lock) start(ctx context.Context) {
	l.ctx, l.cancel = context.WithCancelCause(context.WithoutCancel(ctx))
	l.timer = time.AfterFunc(time.Until(l.lease.end()), l.expire)
	go l.renewUntilEnd()
}

// Fence returns the fencing token of the lock: a number higher than the fence of every earlier holder.
func (l *Lock) Fence() uint64 { return l.fence }

// Context returns the context for the work under the lock. It ends before the fleet may give the lock to another
// holder, and when the lock is released. Its cause is then ErrLost or ErrFinished.
func (l *Lock) Context() context.Context { return l.ctx }

// Held reports whether the lock is held now. It reads the clock, so it is right even if the process was paused and its
// timers have not fired yet.
func (l *Lock) Held() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ctx.Err() == nil && !l.lease.expired(time.Now())
}

// Finish releases the lock, so that others need not wait until the hold ends. The work under the lock must have ended
// before. From the call of Finish on, the lock is no longer held, even if an error is returned.
func (l *Lock) Finish(ctx context.Context) error {
	l.stop(ErrFinished)
	<-l.renewalDone
	r, err := l.client.do(ctx, post("/v1/Locks.Finish/"+url.PathEscape(l.name),
		lockRequest{Holder: l.holder, Fence: l.fence}))
	if err != nil {
		return err
	}
	return r.decode(&struct{}{})
}

func (l *Lock) stop(cause error) {
	l.cancel(cause)
	l.timer.Stop()
}

// expire ends the lock as lost, unless its lease was renewed meanwhile.
func (l *Lock) expire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); !l.lease.expired(now) {
		l.timer.Reset(l.lease.end().Sub(now))
		return
	}
	l.cancel(ErrLost)
}

// renewUntilEnd renews the lease until the lock is released or lost.
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

// heartbeat sends a renewal to one address after the other until it is answered or the lease ends.
func (l *Lock) heartbeat() (*reply, error) {
	body := lockRequest{Holder: l.holder, Fence: l.fence, HoldMS: milliseconds(l.lease.hold)}
	return l.client.do(l.ctx, post("/v1/Locks.Heartbeat/"+url.PathEscape(l.name), body))
}

// extendLease extends the lease after a successful renewal that was sent at the given time.
func (l *Lock) extendLease(sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.lease.renew(sent, now)
	if !l.lease.expired(now) {
		l.timer.Reset(l.lease.end().Sub(now))
	}
}
