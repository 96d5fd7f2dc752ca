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

// pollWait is for how long one call of a watch waits for a change.
const pollWait = 5 * time.Second

// Change is one put, as a watch tells it.
type Change struct {
	Key      string
	Value    string
	Revision uint64
}

// Watch follows the puts in a group of keys. It is safe for concurrent use, as far as only one goroutine ranges over its
// changes.
type Watch struct {
	client   *Client
	group    string
	revision atomic.Uint64
}

// Watch follows the puts after a revision in a group: the keys that begin with the name up to the first dot, dot included.
// With 0 it begins with the first put after the call has reached the fleet, and, in a group without any key, only after the
// first key is there.
func (c *Client) Watch(group string, after uint64) *Watch {
	w := &Watch{client: c, group: group}
	w.revision.Store(after)
	return w
}

// Revision is the one up to which all changes have been told. A further watch after it goes on from there, on any address
// and after a restart of all, as long as the fleet keeps the changes since.
func (w *Watch) Revision() uint64 { return w.revision.Load() }

// Changes gives each put once, in the order of its revision, until the context ends, the caller has had enough, or an error
// is given; that is the last. It is ErrCompacted where the changes since the revision are no longer kept.
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
			if answer.Revision == 0 { // the group has no key yet, and is not waited for
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

// poll asks once for what came after the revision.
func (w *Watch) poll(ctx context.Context) (*watchReply, error) {
	path := fmt.Sprintf("/v1/watch/%s?after=%d&wait_ms=%d", url.PathEscape(w.group), w.Revision(), pollWait.Milliseconds())
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

// deliver gives the changes of an answer, and reports false where the caller has had enough. The revision follows each change,
// so that one that was not given is given again.
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
