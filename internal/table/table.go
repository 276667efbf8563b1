// Package table defines the rows of the platform's transactional table,
// independently of the protocol that carries them.
package table

import (
	"context"
	"encoding/json"
)

// Row is one row of the table.
type Row struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value"`
	// Revision grows with each change of the row; 0 means that the row is absent.
	Revision uint64 `json:"revision"`
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
