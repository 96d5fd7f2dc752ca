package hostlist

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"ivybank/wire"
)

// ReadTimeout is the longest time that reading the complete list may take.
const ReadTimeout = 2 * time.Second

const (
	callTimeout    = 700 * time.Millisecond
	maxHeaderBytes = 64 << 10 // of the response to one call
	maxPageBytes   = 4 << 20
	maxListBytes   = 16 << 20 // of all pages together
	maxPages       = 200
	maxHosts       = 50_000
)

// Errors of a list that cannot be read.
var (
	ErrStatus  = errors.New("hostlist: unexpected status")
	ErrTooLong = errors.New("hostlist: list too long")
)

type listedInstance struct {
	ID      string `json:"id"`
	Backend string `json:"backend"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Slots   int    `json:"slots"`
	State   string `json:"state"`
}

type listPage struct {
	Instances instanceList `json:"instances"`
	NextToken *string      `json:"next_token"`
}

// instanceList is a list of at most maxHosts instances.
type instanceList []listedInstance

// UnmarshalJSON decodes the instances one by one, so that a list that is too long is not held first.
func (l *instanceList) UnmarshalJSON(text []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(text))
	first, err := decoder.Token()
	if err != nil || first == nil {
		return err
	}
	if first != json.Delim('[') {
		return fmt.Errorf("instances: unexpected %v", first)
	}
	for decoder.More() {
		if len(*l) >= maxHosts {
			return ErrTooLong
		}
		var instance listedInstance
		if err := decoder.Decode(&instance); err != nil {
			return err
		}
		*l = append(*l, instance)
	}
	return nil
}

// Reader reads the platform's list of hosts.
type Reader struct {
	address string
	client  *http.Client
}

// NewReader returns a reader for the platform at host:port.
func NewReader(address string) *Reader {
	transport := &http.Transport{MaxIdleConns: 1, DisableCompression: true, IdleConnTimeout: 10 * time.Second,
		MaxResponseHeaderBytes: maxHeaderBytes}
	return &Reader{address: address, client: &http.Client{Transport: transport, Timeout: callTimeout}}
}

// Read reads the complete list, page by page. It returns either all pages or an error: ErrStatus, ErrTooLong for a list
// beyond the bounds above, or an error of the connection, the encoding or the context. It ends within ReadTimeout.
func (r *Reader) Read(ctx context.Context) ([]wire.Host, error) {
	ctx, cancel := context.WithTimeout(ctx, ReadTimeout)
	defer cancel()
	var hosts []wire.Host
	token := ""
	remainingBytes := maxListBytes
	for range maxPages {
		body, err := r.page(ctx, token, min(maxPageBytes, remainingBytes))
		if err != nil {
			return nil, err
		}
		remainingBytes -= len(body)
		page := &listPage{}
		if err := json.Unmarshal(body, page); err != nil {
			return nil, fmt.Errorf("hostlist: %w", err)
		}
		if len(hosts)+len(page.Instances) > maxHosts {
			return nil, ErrTooLong
		}
		for _, i := range page.Instances {
			hosts = append(hosts, wire.Host{ID: i.ID, Service: i.Backend, Address: i.Address, Zone: i.Zone, Slots: i.Slots,
				Draining: i.State == "draining"})
		}
		if page.NextToken == nil || *page.NextToken == "" {
			return hosts, nil
		}
		token = *page.NextToken
	}
	return nil, ErrTooLong
}

// page returns the body of one page, of at most maxBytes.
func (r *Reader) page(ctx context.Context, token string, maxBytes int) ([]byte, error) {
	target := "http://" + r.address + "/instances"
	if token != "" {
		target += "?page_token=" + url.QueryEscape(token)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, fmt.Errorf("hostlist: %w", err)
	}
	response, err := r.client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("hostlist: %w", err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, int64(maxBytes)+1))
	if err != nil {
		return nil, fmt.Errorf("hostlist: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%w %d", ErrStatus, response.StatusCode)
	}
	if len(body) > maxBytes {
		return nil, ErrTooLong
	}
	return body, nil
}
