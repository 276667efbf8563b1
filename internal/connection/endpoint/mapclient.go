package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/samber/oops"

	"github.com/cicadareel/cicadareel/internal/version/expertmap"
)

// MapCommand is a command of an expert map switch, as model engines accept it.
type MapCommand struct {
	// Kind is stage, hold, activate or release.
	Kind string `json:"kind"`
	// FenceCounter and FenceOwner are the ballot. An engine with fencing rejects
	// commands with a lower one.
	FenceCounter uint64 `json:"fenceCounter"`
	FenceOwner   string `json:"fenceOwner"`
	// Map is the id of the map, for stage and activate.
	Map string `json:"map,omitempty"`
	// Step is the step before which a hold waits, or the first step with an
	// activated map.
	Step uint64 `json:"step,omitempty"`
	// Content is the map in JSON, for stage only.
	Content json.RawMessage `json:"content,omitempty"`
}

// MapState is the state of a model engine's expert maps.
type MapState struct {
	// Step is the next step to run.
	Step uint64 `json:"step"`
	// Active and Staged are the ids of the map in use and of one that is loaded.
	Active string `json:"active"`
	Staged string `json:"staged"`
	// ActiveFrom is the first step with the active map.
	ActiveFrom uint64 `json:"activeFrom"`
	// HoldStep is the step before which the engine waits; 0 if none.
	HoldStep uint64 `json:"holdStep"`
}

// MapClient sends expert map commands to a model engine. It implements
// expertmap.Engine.
type MapClient struct{ client *Client }

// NewMapClient returns a map client that sends its calls through c.
func NewMapClient(c *Client) *MapClient { return &MapClient{client: c} }

// State implements expertmap.Engine.
func (c *MapClient) State(ctx context.Context) (expertmap.EngineState, error) {
	var s MapState
	if err := c.call(ctx, http.MethodGet, "/map/state", nil, &s); err != nil {
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

// Counts returns the number of tokens per layer and expert since the last call.
func (c *MapClient) Counts(ctx context.Context) ([]float32, error) {
	var counts []float32
	err := c.call(ctx, http.MethodGet, "/map/counts", nil, &counts)
	return counts, err
}

// ActiveContent returns the content of the active map, empty before the first
// switch.
func (c *MapClient) ActiveContent(ctx context.Context) (json.RawMessage, error) {
	var content json.RawMessage
	err := c.call(ctx, http.MethodGet, "/map/active", nil, &content)
	return content, err
}

// Stage implements expertmap.Engine.
func (c *MapClient) Stage(ctx context.Context, b expertmap.Ballot, m expertmap.ID, content []byte) error {
	return c.sendCommand(ctx, b, MapCommand{Kind: "stage", Map: string(m), Content: content})
}

// Hold implements expertmap.Engine.
func (c *MapClient) Hold(ctx context.Context, b expertmap.Ballot, step uint64) error {
	return c.sendCommand(ctx, b, MapCommand{Kind: "hold", Step: step})
}

// Activate implements expertmap.Engine.
func (c *MapClient) Activate(ctx context.Context, b expertmap.Ballot, m expertmap.ID, step uint64) error {
	return c.sendCommand(ctx, b, MapCommand{Kind: "activate", Map: string(m), Step: step})
}

// Release implements expertmap.Engine.
func (c *MapClient) Release(ctx context.Context, b expertmap.Ballot) error {
	return c.sendCommand(ctx, b, MapCommand{Kind: "release"})
}

// sendCommand sends a command under the ballot.
func (c *MapClient) sendCommand(ctx context.Context, b expertmap.Ballot, o MapCommand) error {
	o.FenceCounter, o.FenceOwner = b.Counter, b.Owner
	body, err := json.Marshal(o)
	if err != nil {
		return oops.In("endpoint").Wrap(err)
	}
	return c.call(ctx, http.MethodPost, "/map/order", body, nil)
}

// call opens a connection for each request, since net/http may repeat a request
// on a kept-alive one. A nil result ignores the response body.
func (c *MapClient) call(ctx context.Context, method, target string, body []byte, result any) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.client.address.String()+target, bytes.NewReader(body))
	if err != nil {
		return oops.In("endpoint").Wrap(err)
	}
	resp, err := c.client.unpooled.Do(req)
	if err != nil {
		return oops.In("endpoint").Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return &StatusError{Status: resp.StatusCode}
	}
	if result == nil {
		return nil
	}
	return oops.In("endpoint").Wrap(json.NewDecoder(resp.Body).Decode(result))
}
