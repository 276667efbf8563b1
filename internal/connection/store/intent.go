package store

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/samber/oops"

	"github.com/cicadareel/cicadareel/internal/table"
	"github.com/cicadareel/cicadareel/pkg/bundle"
	"github.com/cicadareel/cicadareel/pkg/order"
)

const (
	// currentKey is the row that points to the bundle in force.
	currentKey = "current"
	// headKey is the row that changes with each recorded order.
	headKey = "orders"
	// headTries bounds the tries to change it against other writers.
	headTries = 16
	// orderPrefix precedes the id of an order in its row's key.
	orderPrefix = "order/"
)

// ConflictError reports that another operator changed the row first.
type ConflictError struct {
	// Version is the version now in force.
	Version uint64
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("version %d is in force; apply exactly the next one, based on it", e.Version)
}

// IntentStore reads and writes the operators' intent in the platform's services.
type IntentStore struct {
	table   table.Table
	objects ObjectStore
}

// NewIntentStore returns an Intent on the given services.
func NewIntentStore(t table.Table, o ObjectStore) *IntentStore {
	return &IntentStore{table: t, objects: o}
}

// Pointer reads the pointer to the bundle in force without its content; nil
// if there is none yet.
func (i *IntentStore) Pointer(ctx context.Context) (*bundle.Signed, uint64, error) {
	row, err := i.table.Get(ctx, currentKey)
	if err != nil || row.Revision == 0 {
		return nil, 0, err
	}
	s := &bundle.Signed{}
	if err := json.Unmarshal(row.Value, s); err != nil {
		return nil, 0, oops.In("platform").With("key", currentKey).Wrap(err)
	}
	return s, row.Revision, nil
}

// FetchContent fetches the manifest that the pointer names and the parts that held
// does not contain.
func (i *IntentStore) FetchContent(ctx context.Context, s *bundle.Signed, held map[string][]byte) error {
	manifest, err := i.objects.Fetch(ctx, objectName(s.Digest))
	if err != nil {
		return err
	}
	s.Manifest = manifest
	return s.Assemble(func(digest string) ([]byte, error) {
		if part, ok := held[digest]; ok {
			return part, nil
		}
		return i.objects.Fetch(ctx, objectName(digest))
	})
}

func objectName(digest string) string { return "bundle-" + digest }

// store puts the parts that the bundle in force lacks, then the manifest.
func (i *IntentStore) store(ctx context.Context, now, s *bundle.Signed) error {
	stored := map[string]bool{}
	if now != nil {
		manifest, err := i.objects.Fetch(ctx, objectName(now.Digest))
		if err != nil {
			return err
		}
		digests, _ := bundle.PartDigests(manifest)
		for _, d := range digests {
			stored[d] = true
		}
	}
	for digest, part := range s.Parts() {
		if stored[digest] {
			continue
		}
		if err := i.objects.Put(ctx, objectName(digest), part); err != nil {
			return err
		}
	}
	return i.objects.Put(ctx, objectName(s.Digest), s.Manifest)
}

// ApplyBundle makes the signed bundle the one in force, if its version is exactly
// one above. A lost answer is settled by reading the row back.
func (i *IntentStore) ApplyBundle(ctx context.Context, s *bundle.Signed) error {
	now, revision, err := i.Pointer(ctx)
	if err != nil {
		return err
	}
	version := uint64(0)
	if now != nil {
		version = now.Version
	}
	if now != nil && now.Digest == s.Digest && version == s.Version {
		return nil
	}
	if s.Version != version+1 {
		return &ConflictError{Version: version}
	}
	if err := i.store(ctx, now, s); err != nil {
		return err
	}
	value, err := json.Marshal(s)
	if err != nil {
		return oops.In("platform").Wrap(err)
	}
	results, err := i.table.Commit(ctx, []table.Write{{Key: currentKey, Value: value, Expect: revision}})
	if err == nil && results[0].Applied {
		return nil
	}
	return i.confirmAccepted(ctx, s)
}

func (i *IntentStore) confirmAccepted(ctx context.Context, s *bundle.Signed) error {
	now, _, err := i.Pointer(ctx)
	if err != nil {
		return err
	}
	if now != nil && now.Version == s.Version && now.Digest == s.Digest {
		return nil
	}
	version := uint64(0)
	if now != nil {
		version = now.Version
	}
	if version < s.Version {
		return &UnavailableError{Call: "accept", Cause: &ConflictError{Version: version}}
	}
	return &ConflictError{Version: version}
}

// Orders reads all recorded orders.
func (i *IntentStore) Orders(ctx context.Context) ([]order.Order, error) {
	rows, err := i.table.Scan(ctx, orderPrefix)
	if err != nil {
		return nil, err
	}
	orders := make([]order.Order, 0, len(rows))
	for _, row := range rows {
		var o order.Order
		if json.Unmarshal(row.Value, &o) == nil {
			orders = append(orders, o)
		}
	}
	return orders, nil
}

// OrdersRevision returns a number that grows with each recorded order, so that readers
// need the orders only when it changed.
func (i *IntentStore) OrdersRevision(ctx context.Context) (uint64, error) {
	row, err := i.table.Get(ctx, headKey)
	return row.Revision, err
}

// RecordOrders writes orders that are not recorded yet and then moves the head.
// Orders never change, so a row that exists already is as good as written.
func (i *IntentStore) RecordOrders(ctx context.Context, orders []order.Order) error {
	writes := make([]table.Write, 0, len(orders)+1)
	for _, o := range orders {
		value, err := json.Marshal(o)
		if err != nil {
			return oops.In("platform").Wrap(err)
		}
		writes = append(writes, table.Write{Key: orderPrefix + o.ID, Value: value})
	}
	for range headTries {
		head, err := i.OrdersRevision(ctx)
		if err != nil {
			return err
		}
		moved := table.Write{Key: headKey, Value: json.RawMessage("true"), Expect: head}
		results, err := i.table.Commit(ctx, append(writes, moved))
		if err != nil {
			return err
		}
		if results[len(results)-1].Applied {
			return nil
		}
	}
	return &UnavailableError{Call: "record", Cause: &ContendedError{}}
}

// ContendedError reports a row that other writers kept changing.
type ContendedError struct{}

func (*ContendedError) Error() string { return "other writers kept changing the row" }
