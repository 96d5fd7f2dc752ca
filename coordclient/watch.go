package coordclient

import (
	"context"
	"fmt"
	"iter"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"
)

// pollWait is how long one call of a watch waits for a change.
const pollWait = 5 * time.Second

// Change is one put, as a watch reports it.
type Change struct {
	Key      string
	Value    string
	Revision uint64
}

// Watch follows the puts in a group of keys. It is safe for concurrent use, except that only one goroutine at a time
// may range over its changes.
type Watch struct {
	client   *Client
	group    string
	revision atomic.Uint64
}

// Watch returns a watch of the puts after a revision in a group. A group is all keys with the same prefix up to and
// including the first dot. With revision 0 the watch begins with the first put after its first call reaches the fleet;
// in a group that has no key yet it begins only after the first key exists.
func (c *Client) Watch(group string, after uint64) *Watch {
	w := &Watch{client: c, group: group}
	w.revision.Store(after)
	return w
}

// Revision returns the revision up to which all changes have been reported. Another watch can continue after it, at any
// address and even after a restart of all processes, as long as the fleet keeps the changes since then.
func (w *Watch) Revision() uint64 { return w.revision.Load() }

// Changes yields each put once, ordered by revision, until the context ends, the caller stops, or there is an error,
// which is yielded last. The error is ErrCompacted if the changes since the revision are no longer kept.
func (w *Watch) Changes(ctx context.Context) iter.Seq2[Change, error] {
	return func(yield func(Change, error) bool) {
		for {
			answer, err := w.poll(ctx)
			if err != nil {
				yield(Change{}, err)
				return
			}
			if !w.deliver(answer, yield) {
				return
			}
			if answer.Revision == 0 { // the group has no key yet: the fleet answers at once instead of waiting
				sleep(ctx, withJitter(maxBackoff))
			}
		}
	}
}

type watchReply struct {
	Events []struct {
		Name     string `json:"name"`
		Value    string `json:"value"`
		Revision uint64 `json:"rev"`
	} `json:"events"`
	Revision uint64 `json:"rev"`
}

// poll makes one call for the changes after the revision.
func (w *Watch) poll(ctx context.Context) (*watchReply, error) {
	path := fmt.Sprintf("/v1/watch/%s?after=%d&wait_ms=%d",
		url.PathEscape(w.group), w.Revision(), pollWait.Milliseconds())
	r, err := w.client.do(ctx, &call{method: http.MethodGet, path: path, timeout: pollWait + attemptTimeout})
	if err != nil {
		return nil, err
	}
	if r.status == http.StatusGone {
		return nil, ErrCompacted
	}
	body := &watchReply{}
	return body, r.decode(body)
}

// deliver yields the changes of an answer, and returns false if the caller stops. The revision advances with each
// change, so that changes that were not yielded are requested again.
func (w *Watch) deliver(answer *watchReply, yield func(Change, error) bool) bool {
	for _, event := range answer.Events {
		if event.Revision <= w.Revision() {
			continue
		}
		w.revision.Store(event.Revision)
		if !yield(Change{event.Name, event.Value, event.Revision}, nil) {
			return false
		}
	}
	w.revision.Store(max(w.Revision(), answer.Revision))
	return true
}
