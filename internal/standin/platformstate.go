package standin

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/cicadareel/cicadareel/internal/connection/store"
	"github.com/cicadareel/cicadareel/internal/table"
)

// ErrOutage is returned during a simulated outage.
var ErrOutage = errors.New("simulated outage")

// PlatformFaults are the faults of a Platform that a test can set.
type PlatformFaults struct {
	// Outage fails every call.
	Outage bool `json:"outage"`
	// Delay delays every call.
	Delay time.Duration `json:"delay"`
	// LoseResponses commits writes to the table but returns ErrOutage.
	LoseResponses bool `json:"loseAnswers"`
}

// Platform is an in-memory table service, object store and instance list.
type Platform struct {
	mu          sync.Mutex
	rows        map[string]table.Row
	objects     map[string][]byte
	instances   []store.Instance
	listChanges int
	faults      PlatformFaults
	reads       int
	writes      int
}

// NewPlatform returns an empty platform.
func NewPlatform() *Platform {
	return &Platform{rows: map[string]table.Row{}, objects: map[string][]byte{}}
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// TableCopy is a copy of a Platform's table.
type TableCopy struct{ rows map[string]table.Row }

// Without returns the copy without a row.
func (c TableCopy) Without(key string) TableCopy {
	rows := maps.Clone(c.rows)
	delete(rows, key)
	return TableCopy{rows: rows}
}

// CopyTable returns a copy of the present table.
func (p *Platform) CopyTable() TableCopy {
	p.mu.Lock()
	defer p.mu.Unlock()
	return TableCopy{rows: maps.Clone(p.rows)}
}

// RestoreTable replaces the table by a copy. Revisions after those of the copy are issued
// again.
func (p *Platform) RestoreTable(c TableCopy) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rows = maps.Clone(c.rows)
}

// Counts returns the numbers of reads and commits of the table so far.
func (p *Platform) Counts() (reads, writes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads, p.writes
}

// applyFaults waits for the delay and fails during an outage.
func (p *Platform) applyFaults(ctx context.Context) (PlatformFaults, error) {
	p.mu.Lock()
	f := p.faults
	p.mu.Unlock()
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
func (p *Platform) Get(ctx context.Context, key string) (table.Row, error) {
	if _, err := p.applyFaults(ctx); err != nil {
		return table.Row{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads++
	row, ok := p.rows[key]
	if !ok {
		return table.Row{Key: key, Value: json.RawMessage("null")}, nil
	}
	return row, nil
}

// Scan implements table.Table.
func (p *Platform) Scan(ctx context.Context, prefix string) ([]table.Row, error) {
	if _, err := p.applyFaults(ctx); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads++
	rows := []table.Row{}
	for key, row := range p.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows, nil
}

// Commit implements table.Table.
func (p *Platform) Commit(ctx context.Context, writes []table.Write) ([]table.WriteResult, error) {
	f, err := p.applyFaults(ctx)
	if err != nil {
		return nil, err
	}
	results := p.write(writes)
	if f.LoseResponses {
		return nil, ErrOutage
	}
	return results, nil
}

// write applies each write whose expected revision is that of its row.
func (p *Platform) write(writes []table.Write) []table.WriteResult {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writes++
	results := make([]table.WriteResult, 0, len(writes))
	for _, w := range writes {
		row := p.rows[w.Key]
		applied := row.Number == w.Expect
		if applied {
			row = table.Row{Key: w.Key, Value: w.Value, Revision: table.Revision{Number: w.Expect + 1}}
			p.rows[w.Key] = row
		}
		results = append(results, table.WriteResult{Applied: applied, Row: row})
	}
	return results
}

// Put implements store.Objects.
func (p *Platform) Put(ctx context.Context, name string, content []byte) error {
	if _, err := p.applyFaults(ctx); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects[name] = content
	return nil
}

// Fetch implements store.Objects.
func (p *Platform) Fetch(ctx context.Context, name string) ([]byte, error) {
	if _, err := p.applyFaults(ctx); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	content, ok := p.objects[name]
	if !ok {
		return nil, &store.StatusError{Status: 404}
	}
	return content, nil
}

// List implements store.Instances.
func (p *Platform) List(ctx context.Context) ([]store.Instance, error) {
	if _, err := p.applyFaults(ctx); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.instances, nil
}

// SetInstances replaces the instance list.
func (p *Platform) SetInstances(list []store.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances = list
	p.listChanges++
}

// listVersion returns the number of changes of the instance list.
func (p *Platform) listVersion() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listChanges
}
