package coordclient

import (
	"context"
	"net/http"
	"net/url"
)

// Value is the value of a key, with the revision of its last put.
type Value struct {
	Value    string
	Revision uint64
}

type putRequest struct {
	Value      string  `json:"value"`
	IfRevision *uint64 `json:"if_revision,omitempty"`
}

type revisionReply struct {
	Revision uint64 `json:"rev"`
}

// NextNumber returns a number that is greater than each number returned for the name before the call. There may be
// gaps.
func (c *Client) NextNumber(ctx context.Context, name string) (uint64, error) {
	r, err := c.do(ctx, post("/v1/numbers/"+url.PathEscape(name), struct{}{}))
	if err != nil {
		return 0, err
	}
	var body struct {
		Value uint64 `json:"value"`
	}
	return body.Value, zeroOnError(r.decode(&body), &body.Value)
}

// zeroOnError returns the error, and sets the value to 0 if it is not nil.
func zeroOnError(err error, value *uint64) error {
	if err != nil {
		*value = 0
	}
	return err
}

// Put sets the value of a key, whatever value it had, and returns the revision of the put. The values of one key must
// differ from each other: the same value again counts as the same put, and gets the revision of the first one.
func (c *Client) Put(ctx context.Context, key, value string) (uint64, error) {
	return c.put(ctx, key, putRequest{Value: value})
}

// PutIf sets the value of a key if the key has the given revision; 0 means that the key must not exist. Otherwise the
// error is a *MismatchError. Values must differ as with Put.
func (c *Client) PutIf(ctx context.Context, key, value string, revision uint64) (uint64, error) {
	return c.put(ctx, key, putRequest{Value: value, IfRevision: &revision})
}

func (c *Client) put(ctx context.Context, key string, request putRequest) (uint64, error) {
	r, err := c.do(ctx, post("/v1/Cells.Replace/"+url.PathEscape(key), request))
	if err != nil {
		return 0, err
	}
	var revision revisionReply
	if r.status == http.StatusPreconditionFailed {
		r.status = http.StatusOK // decode only accepts 200; the body has the same format
		if err := r.decode(&revision); err != nil {
			return 0, err
		}
		return 0, &MismatchError{revision.Revision}
	}
	return revision.Revision, zeroOnError(r.decode(&revision), &revision.Revision)
}

// Get returns the current value of a key. The error is ErrNotFound if the key was never put.
func (c *Client) Get(ctx context.Context, key string) (Value, error) {
	r, err := c.do(ctx, &call{
		method: http.MethodGet, path: "/v1/Cells.Get/" + url.PathEscape(key), timeout: attemptTimeout,
	})
	if err != nil {
		return Value{}, err
	}
	if r.status == http.StatusNotFound {
		return Value{}, ErrNotFound
	}
	var body struct {
		Value    string `json:"value"`
		Revision uint64 `json:"rev"`
	}
	if err := r.decode(&body); err != nil {
		return Value{}, err
	}
	return Value(body), nil
}
