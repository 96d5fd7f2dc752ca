package coordclient

import (
	"context"
	"net/http"
	"net/url"
)

// Value is what a key holds.
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

// NextNumber gives a number that is greater than every one that was given under the name before the call. Numbers may be left out.
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

// zeroOnError gives an error, and takes the value back where there is one.
func zeroOnError(err error, value *uint64) error {
	if err != nil {
		*value = 0
	}
	return err
}

// Put gives a key a value, whatever it had, and returns the revision of that. The values of one key have to differ from each
// other: the same one again counts as the same put, and gets the revision that the first one got.
func (c *Client) Put(ctx context.Context, key, value string) (uint64, error) {
	return c.put(ctx, key, putRequest{Value: value})
}

// PutIf gives a key a value if the key has a revision, 0 meaning that it must not exist. Otherwise the error is a
// *MismatchError. Values have to differ as with Put.
func (c *Client) PutIf(ctx context.Context, key, value string, revision uint64) (uint64, error) {
	return c.put(ctx, key, putRequest{Value: value, IfRevision: &revision})
}

func (c *Client) put(ctx context.Context, key string, body putRequest) (uint64, error) {
	r, err := c.do(ctx, post("/v1/Cells.Replace/"+url.PathEscape(key), body))
	if err != nil {
		return 0, err
	}
	var revision revisionReply
	if r.status == http.StatusPreconditionFailed {
		r.status = http.StatusOK // its body is of the same form
		if err := r.decode(&revision); err != nil {
			return 0, err
		}
		return 0, &MismatchError{revision.Revision}
	}
	return revision.Revision, zeroOnError(r.decode(&revision), &revision.Revision)
}

// Get reads a key. The error is ErrNotFound where it was never put.
func (c *Client) Get(ctx context.Context, key string) (Value, error) {
	r, err := c.do(ctx, &call{method: http.MethodGet, path: "/v1/Cells.Get/" + url.PathEscape(key), timeout: attemptTimeout})
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
