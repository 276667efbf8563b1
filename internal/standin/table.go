package standin

import (
	"context"
	"encoding/json"
	"errors"
	"github.com/cicadareel/cicadareel/internal/table"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/cicadareel/cicadareel/internal/connection/store"
)

// ErrOutage is returned while a stand-in simulates an outage.
var ErrOutage = errors.New("simulated outage")

// PlatformFaults are the platform faults that a test switches on.
type PlatformFaults struct {
	// Outage refuses every call.
	Outage bool `json:"outage"`
	// Delay slows every call down.
	Delay time.Duration `json:"delay"`
	// LoseResponses makes writes take effect while their answers are lost.
	LoseResponses bool `json:"loseAnswers"`
}

// Platform is an in-memory table service with objects and an instance list.
type Platform struct {
	mu        sync.Mutex
	rows      map[string]table.Row
	objects   map[string][]byte
	instances []store.Instance
	lists     int
	faults    PlatformFaults
	reads     int
	writes    int
}

// NewPlatform returns an empty platform.
func NewPlatform() *Platform {
	return &Platform{rows: map[string]table.Row{}, objects: map[string][]byte{}}
}

// SetFaults switches faults on and off.
func (t *Platform) SetFaults(f PlatformFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// Counts returns the numbers of reads and write transactions so far.
func (t *Platform) Counts() (reads, writes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reads, t.writes
}

// enter applies outage and delay.
func (t *Platform) enter(ctx context.Context) (PlatformFaults, error) {
	t.mu.Lock()
	f := t.faults
	t.mu.Unlock()
	if f.Delay > 0 {
		select {
		case <-time.After(f.Delay):
		case <-ctx.Done():
			return f, ctx.Err()
		}
	}
	if f.Outage {
		return f, ErrOutage
	}
	return f, nil
}

// Get implements table.Table.
func (t *Platform) Get(ctx context.Context, key string) (table.Row, error) {
	if _, err := t.enter(ctx); err != nil {
		return table.Row{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	row, ok := t.rows[key]
	if !ok {
		return table.Row{Key: key, Value: json.RawMessage("null")}, nil
	}
	return row, nil
}

// Scan implements table.Table.
func (t *Platform) Scan(ctx context.Context, prefix string) ([]table.Row, error) {
	if _, err := t.enter(ctx); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	rows := []table.Row{}
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows, nil
}

// Commit implements table.Table.
func (t *Platform) Commit(ctx context.Context, writes []table.Write) ([]table.WriteResult, error) {
	f, err := t.enter(ctx)
	if err != nil {
		return nil, err
	}
	results := t.apply(writes)
	if f.LoseResponses {
		return nil, ErrOutage
	}
	return results, nil
}

func (t *Platform) apply(writes []table.Write) []table.WriteResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.writes++
	results := make([]table.WriteResult, 0, len(writes))
	for _, w := range writes {
		row := t.rows[w.Key]
		applied := row.Revision == w.Expect
		if applied {
			row = table.Row{Key: w.Key, Value: w.Value, Revision: w.Expect + 1}
			t.rows[w.Key] = row
		}
		results = append(results, table.WriteResult{Applied: applied, Row: row})
	}
	return results
}

// Put implements store.Objects.
func (t *Platform) Put(ctx context.Context, name string, content []byte) error {
	if _, err := t.enter(ctx); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.objects[name] = content
	return nil
}

// Fetch implements store.Objects.
func (t *Platform) Fetch(ctx context.Context, name string) ([]byte, error) {
	if _, err := t.enter(ctx); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	content, ok := t.objects[name]
	if !ok {
		return nil, &store.StatusError{Status: 404}
	}
	return content, nil
}

// List implements store.Instances.
func (t *Platform) List(ctx context.Context) ([]store.Instance, error) {
	if _, err := t.enter(ctx); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.instances, nil
}

// SetInstances replaces the instance list.
func (t *Platform) SetInstances(list []store.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.instances = list
	t.lists++
}

// listVersion counts the changes of the instance list.
func (t *Platform) listVersion() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lists
}
