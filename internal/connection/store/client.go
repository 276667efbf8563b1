// Package store connects a process to the platform's services: the table and
// object store with the operators' intent, the instance list, the tables that
// the process follows, and leases.
package store

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"net/url"
	"sync"
	"time"

	"github.com/samber/oops"

	"github.com/cicadareel/cicadareel/internal/http1"
	"github.com/cicadareel/cicadareel/internal/table"
)

// State tells whether an instance is in service.
type State string

// Instance states.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Instance is one entry of the platform's instance list.
type Instance struct {
	Name          string         `json:"name"`
	Role          string         `json:"role"`
	FailureDomain string         `json:"failureDomain"`
	PeerAddress   netip.AddrPort `json:"peerAddress"`
	// Endpoint names the endpoint that a sidecar serves; empty for other roles.
	Endpoint string `json:"endpoint,omitempty"`
	State    State  `json:"state"`
}

// ObjectStore is the platform's object store.
type ObjectStore interface {
	Put(ctx context.Context, name string, content []byte) error
	Fetch(ctx context.Context, name string) ([]byte, error)
}

// InstanceLister is the platform's instance list.
type InstanceLister interface {
	List(ctx context.Context) ([]Instance, error)
}

// callTimeout bounds one call to the platform.
const callTimeout = 2 * time.Second

// Client calls the platform's services with JSON over HTTP.
type Client struct {
	table     netip.AddrPort
	objects   netip.AddrPort
	instances netip.AddrPort
	http      *http.Client
	api       JSONClient

	// mu is held during a read of the instance list: only one runs at a time.
	mu sync.Mutex
	// list is the last instance list read, and listETag its HTTP entity tag.
	list     []Instance
	listETag string
}

// NewClient returns a client of the services at the given addresses.
func NewClient(table, objects, instances netip.AddrPort) *Client {
	client := &http.Client{Timeout: callTimeout, Transport: http1.NewDefaultTransport()}
	return &Client{table: table, objects: objects, instances: instances, http: client, api: NewJSONClient(client)}
}

// Get reads one row. An absent row has revision 0.
func (c *Client) Get(ctx context.Context, key string) (table.Row, error) {
	var row table.Row
	_, err := c.api.Call(ctx, http.MethodGet, c.table, "/table/row?key="+url.QueryEscape(key), nil, &row)
	return row, err
}

// Scan reads all rows whose keys start with prefix, in key order.
func (c *Client) Scan(ctx context.Context, prefix string) ([]table.Row, error) {
	var rows []table.Row
	_, err := c.api.Call(ctx, http.MethodGet, c.table, "/table/rows?prefix="+url.QueryEscape(prefix), nil, &rows)
	return rows, err
}

// Commit applies conditional writes in one transaction.
func (c *Client) Commit(ctx context.Context, writes []table.Write) ([]table.WriteResult, error) {
	var results []table.WriteResult
	body, err := json.Marshal(writes)
	if err != nil {
		return nil, oops.In("platform").Wrap(err)
	}
	_, err = c.api.Call(ctx, http.MethodPost, c.table, "/table/commit", body, &results)
	if err == nil && len(results) != len(writes) {
		return nil, &UnavailableError{Call: "commit", Cause: &StatusError{Status: http.StatusOK}}
	}
	return results, err
}

// Put stores an object.
func (c *Client) Put(ctx context.Context, name string, content []byte) error {
	_, err := c.api.Call(ctx, http.MethodPut, c.objects, "/objects/"+url.PathEscape(name), content, nil)
	return err
}

// Fetch reads an object.
func (c *Client) Fetch(ctx context.Context, name string) ([]byte, error) {
	var content []byte
	_, err := c.api.Call(ctx, http.MethodGet, c.objects, "/objects/"+url.PathEscape(name), nil, &content)
	return content, err
}

// List reads the instance list with an HTTP conditional request: the platform
// sends the list only if it changed since the last read.
func (c *Client) List(ctx context.Context) ([]Instance, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.instances.String()+"/instances", http.NoBody)
	if err != nil {
		return nil, &UnavailableError{Call: "list", Cause: err}
	}
	if c.listETag != "" {
		req.Header.Set("If-None-Match", c.listETag)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, &UnavailableError{Call: "list", Cause: err}
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusNotModified:
		return c.list, nil
	case http.StatusOK:
	default:
		return nil, &UnavailableError{Call: "list", Cause: &StatusError{Status: resp.StatusCode}}
	}
	var list []Instance
	if err := json.NewDecoder(resp.Body).Decode(&list); err != nil {
		return nil, &UnavailableError{Call: "list", Cause: err}
	}
	c.list, c.listETag = list, resp.Header.Get("ETag")
	return list, nil
}
