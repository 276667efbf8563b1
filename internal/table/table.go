// Package table defines the rows of the platform's transactional table,
// independently of the protocol that carries them.
package table

import (
	"context"
	"encoding/json"
)

// Revision is a state of a store.
type Revision struct {
	// Era counts how often the store came back from a copy of its content; 0 if the
	// store does not say. The numbers of the lost states are issued again then.
	Era uint64 `json:"era,omitempty"`
	// Number grows with each change within an era; 0 is the state before all changes.
	Number uint64 `json:"revision"`
}

// After reports whether the revision is later than another one.
func (r Revision) After(other Revision) bool {
	if r.Era != other.Era {
		return r.Era > other.Era
	}
	return r.Number > other.Number
}

// Row is one row of the table.
type Row struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value"`
	// Revision is that of the row's last change; its number is 0 if the row is absent.
	Revision
}

// Write is a conditional write: it replaces one row if its revision equals Expect.
type Write struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value"`
	// Expect is the revision that the row must have; 0 means absent.
	Expect uint64 `json:"expect"`
}

// WriteResult is the outcome of one conditional write.
type WriteResult struct {
	Applied bool `json:"applied"`
	// Row is the row after the transaction.
	Row Row `json:"row"`
}

// Table is the platform's transactional table.
type Table interface {
	Get(ctx context.Context, key string) (Row, error)
	Scan(ctx context.Context, prefix string) ([]Row, error)
	// Commit applies each write whose condition holds, all in one transaction.
	Commit(ctx context.Context, writes []Write) ([]WriteResult, error)
}
