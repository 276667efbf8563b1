package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/samber/oops"

	"github.com/cicadareel/cicadareel/internal/version/expertmap"
)

// MapOrder is an expert map order as engines take it.
type MapOrder struct {
	// Kind is stage, hold, activate or release.
	Kind string `json:"kind"`
	// FenceCounter and FenceOwner are the fencing number.
	FenceCounter uint64 `json:"fenceCounter"`
	FenceOwner   string `json:"fenceOwner"`
	Map          string `json:"map,omitempty"`
	Step         uint64 `json:"step,omitempty"`
	// Content is the map in JSON, for stage only.
	Content json.RawMessage `json:"content,omitempty"`
}

// MapState is an engine's expert map state.
type MapState struct {
	Step       uint64 `json:"step"`
	Active     string `json:"active"`
	Staged     string `json:"staged"`
	ActiveFrom uint64 `json:"activeFrom"`
	HoldStep   uint64 `json:"holdStep"`
}

// MapClient gives expert map orders to a model engine. It implements
// expertmap.Engine.
type MapClient struct{ client *Client }

// NewMapClient returns the map side of an engine.
func NewMapClient(c *Client) *MapClient { return &MapClient{client: c} }

// State implements expertmap.Engine.
func (e *MapClient) State(ctx context.Context) (expertmap.EngineState, error) {
	var s MapState
	if err := e.call(ctx, http.MethodGet, "/map/state", nil, &s); err != nil {
		return expertmap.EngineState{}, err
	}
	return expertmap.EngineState{
		Step:       s.Step,
		Active:     expertmap.ID(s.Active),
		Staged:     expertmap.ID(s.Staged),
		ActiveFrom: s.ActiveFrom,
		HoldStep:   s.HoldStep,
	}, nil
}

// Counts returns the tokens by layer and expert since the last call.
func (e *MapClient) Counts(ctx context.Context) ([]float32, error) {
	var counts []float32
	err := e.call(ctx, http.MethodGet, "/map/counts", nil, &counts)
	return counts, err
}

// ActiveContent returns the content of the map in use, empty before the first
// switch.
func (e *MapClient) ActiveContent(ctx context.Context) (json.RawMessage, error) {
	var content json.RawMessage
	err := e.call(ctx, http.MethodGet, "/map/active", nil, &content)
	return content, err
}

// Stage implements expertmap.Engine.
func (e *MapClient) Stage(ctx context.Context, b expertmap.Ballot, m expertmap.ID, content []byte) error {
	return e.order(ctx, b, MapOrder{Kind: "stage", Map: string(m), Content: content})
}

// Hold implements expertmap.Engine.
func (e *MapClient) Hold(ctx context.Context, b expertmap.Ballot, step uint64) error {
	return e.order(ctx, b, MapOrder{Kind: "hold", Step: step})
}

// Activate implements expertmap.Engine.
func (e *MapClient) Activate(ctx context.Context, b expertmap.Ballot, m expertmap.ID, step uint64) error {
	return e.order(ctx, b, MapOrder{Kind: "activate", Map: string(m), Step: step})
}

// Release implements expertmap.Engine.
func (e *MapClient) Release(ctx context.Context, b expertmap.Ballot) error {
	return e.order(ctx, b, MapOrder{Kind: "release"})
}

func (e *MapClient) order(ctx context.Context, b expertmap.Ballot, o MapOrder) error {
	o.FenceCounter, o.FenceOwner = b.Counter, b.Owner
	body, err := json.Marshal(o)
	if err != nil {
		return oops.In("endpoint").Wrap(err)
	}
	return e.call(ctx, http.MethodPost, "/map/order", body, nil)
}

// call uses a connection of its own for orders, since net/http may repeat a
// request on a kept one.
func (e *MapClient) call(ctx context.Context, method, target string, body []byte, result any) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+e.client.address.String()+target, bytes.NewReader(body))
	if err != nil {
		return oops.In("endpoint").Wrap(err)
	}
	resp, err := e.client.single.Do(req)
	if err != nil {
		return oops.In("endpoint").Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return &ProbeError{Status: resp.StatusCode}
	}
	if result == nil {
		return nil
	}
	return oops.In("endpoint").Wrap(json.NewDecoder(resp.Body).Decode(result))
}
