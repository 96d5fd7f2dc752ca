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

	ctx     context.Context
	end     context.CancelCauseFunc
	renewal chan struct{} // closed once renewing has ended

	mu     sync.Mutex
	tenure tenure
	timer  *time.Timer // at the end of the tenure
}

type lockBody struct {
	Holder string `json:"holder"`
	Fence  uint64 `json:"fence,omitempty"`
	HoldMS int64  `json:"hold_ms,omitempty"`
}

// Lock takes a lock, and waits while another one holds it, until the context ends. The hold is for how long the fleet keeps
// the lock for a holder that is not heard any more.
func (c *Client) Lock(ctx context.Context, name string, hold time.Duration) (*Lock, error) {
	for pause := firstPause; ; pause = min(2*pause, longestPause) {
		l, err := c.TryLock(ctx, name, hold)
		if !errors.Is(err, ErrHeld) {
			return l, err
		}
		sleep(ctx, jittered(pause))
	}
}

// TryLock takes a lock. The error is ErrHeld where another one holds it.
func (c *Client) TryLock(ctx context.Context, name string, hold time.Duration) (*Lock, error) {
	return c.TryLockAs(ctx, name, rand.Text(), hold)
}

// TryLockAs takes a lock under a holder's name that the caller chooses. Who has the name and still holds the lock, from
// before a crash for instance, gets it again.
func (c *Client) TryLockAs(ctx context.Context, name, holder string, hold time.Duration) (*Lock, error) {
	body := lockBody{Holder: holder, HoldMS: milliseconds(hold)}
	r, err := c.do(ctx, post("/v1/Locks.Begin/"+url.PathEscape(name), body))
	if err != nil {
		return nil, err
	}
	if r.status == http.StatusConflict {
		return nil, ErrHeld
	}
	var told struct {
		Fence uint64 `json:"fence"`
	}
	if err := r.read(&told); err != nil {
		return nil, err
	}
	l := &Lock{client: c, name: name, holder: holder, fence: told.Fence, tenure: tenure{hold: hold, sent: r.sent},
		renewal: make(chan struct{})}
	if l.tenure.over(time.Now()) { // the answer took as long as the hold
		return nil, ErrLost
	}
	l.begin(ctx)
	return l, nil
}

// milliseconds rounds up: the fleet may keep the lock for longer than its holder counts on it.
func milliseconds(hold time.Duration) int64 {
	return int64((hold + time.Millisecond - 1) / time.Millisecond)
}

// begin starts what ends the tenure in time and what renews it. The context of the acquiring doesn't bound the holding.
func (l *Lock) begin(ctx context.Context) {
	l.ctx, l.end = context.WithCancelCause(context.WithoutCancel(ctx))
	l.timer = time.AfterFunc(time.Until(l.tenure.end()), l.expire)
	go l.renew()
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
	return l.ctx.Err() == nil && !l.tenure.over(time.Now())
}

// Finish gives the lock back, so that others need not wait until the hold is over. The work under it has to have ended. Once
// Finish is called the lock is not held any more, also where an error is returned.
func (l *Lock) Finish(ctx context.Context) error {
	l.stop(ErrFinished)
	<-l.renewal
	r, err := l.client.do(ctx, post("/v1/Locks.Finish/"+url.PathEscape(l.name), lockBody{Holder: l.holder, Fence: l.fence}))
	if err != nil {
		return err
	}
	return r.read(&struct{}{})
}

func (l *Lock) stop(cause error) {
	l.end(cause)
	l.timer.Stop()
}

// expire ends the tenure, unless it was renewed meanwhile.
func (l *Lock) expire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); !l.tenure.over(now) {
		l.timer.Reset(l.tenure.end().Sub(now))
		return
	}
	l.end(ErrLost)
}

// renew renews the tenure until it has ended.
func (l *Lock) renew() {
	defer close(l.renewal)
	for l.ctx.Err() == nil {
		sleep(l.ctx, l.untilRenewal())
		r, err := l.heartbeat()
		if err != nil {
			continue // the context has ended
		}
		if r.status != http.StatusOK {
			l.stop(ErrLost)
			return
		}
		l.renewed(r.sent)
	}
}

func (l *Lock) untilRenewal() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Until(l.tenure.renewalDue())
}

// heartbeat asks for more time, at one address after the other, until the tenure is over.
func (l *Lock) heartbeat() (*reply, error) {
	body := lockBody{Holder: l.holder, Fence: l.fence, HoldMS: milliseconds(l.tenure.hold)}
	return l.client.do(l.ctx, post("/v1/Locks.Heartbeat/"+url.PathEscape(l.name), body))
}

// renewed takes a good answer to a renewal.
func (l *Lock) renewed(sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.tenure.renew(sent, now)
	if !l.tenure.over(now) {
		l.timer.Reset(l.tenure.end().Sub(now))
	}
}
