package hostlist

import (
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

const (
	callTimeout  = 700 * time.Millisecond
	maxPageBytes = 4 << 20
	maxPages     = 200
)

// ErrStatus reports that the platform replied with a status other than 200.
var ErrStatus = errors.New("hostlist: unexpected status")

type listedInstance struct {
	ID      string `json:"id"`
	Backend string `json:"backend"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Slots   int    `json:"slots"`
	State   string `json:"state"`
}

type listPage struct {
	Instances []listedInstance `json:"instances"`
	NextToken *string          `json:"next_token"`
}

// Reader reads the platform's list of hosts.
type Reader struct {
	address string
	client  *http.Client
}

// NewReader returns a reader for the platform at host:port.
func NewReader(address string) *Reader {
	transport := &http.Transport{MaxIdleConns: 1, DisableCompression: true, IdleConnTimeout: 10 * time.Second}
	return &Reader{address: address, client: &http.Client{Transport: transport, Timeout: callTimeout}}
}

// Read reads the complete list, page by page. It returns either all pages or an error.
func (r *Reader) Read(ctx context.Context) ([]wire.Host, error) {
	var hosts []wire.Host
	token := ""
	for range maxPages {
		page, err := r.page(ctx, token)
		if err != nil {
			return nil, err
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
	return nil, errors.New("hostlist: list has too many pages")
}

func (r *Reader) page(ctx context.Context, token string) (*listPage, error) {
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
	body, err := io.ReadAll(io.LimitReader(response.Body, maxPageBytes))
	if err != nil {
		return nil, fmt.Errorf("hostlist: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%w %d", ErrStatus, response.StatusCode)
	}
	page := &listPage{}
	if err := json.Unmarshal(body, page); err != nil {
		return nil, fmt.Errorf("hostlist: %w", err)
	}
	return page, nil
}
