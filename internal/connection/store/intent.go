package store

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"

	"github.com/samber/oops"

	"github.com/cicadareel/cicadareel/internal/table"
	"github.com/cicadareel/cicadareel/pkg/bundle"
	"github.com/cicadareel/cicadareel/pkg/order"
)

const (
	// currentBundleKey is the row that points to the current bundle.
	currentBundleKey = "current"
	// ordersRevisionKey is the row that changes with each recorded order.
	ordersRevisionKey = "orders"
	// maxRecordAttempts bounds the attempts to record orders while other writers
	// change that row.
	maxRecordAttempts = 16
	// orderPrefix precedes the id of an order in its row's key.
	orderPrefix = "order/"
)

// ConflictError reports that a bundle does not follow the current one, because
// another operator applied a bundle first or its version is not the next one.
type ConflictError struct {
	// Version is the version of the current bundle.
	Version uint64
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("bundle version %d is current: base the new bundle on it and give it the next version", e.Version)
}

// IntentStore reads and writes the operators' intent, which is the current
// bundle and the orders, in the platform's table and object store.
type IntentStore struct {
	table   table.Table
	objects ObjectStore
}

// NewIntentStore returns an IntentStore that uses the given services.
func NewIntentStore(t table.Table, o ObjectStore) *IntentStore {
	return &IntentStore{table: t, objects: o}
}

// Pointer reads the row that points to the current bundle, and the row's
// revision. The bundle has no content yet; it is nil if none was ever applied.
func (i *IntentStore) Pointer(ctx context.Context) (*bundle.Signed, uint64, error) {
	row, err := i.table.Get(ctx, currentBundleKey)
	if err != nil || row.Number == 0 {
		return nil, 0, err
	}
	s := &bundle.Signed{}
	if err := json.Unmarshal(row.Value, s); err != nil {
		return nil, 0, oops.In("platform").With("key", currentBundleKey).Wrap(err)
	}
	return s, row.Number, nil
}

// FetchContent adds the content to a bundle that Pointer returned. It fetches the
// manifest and the parts that held, a map from digest to part, does not contain.
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

// uploadContent uploads the parts that the current bundle does not contain,
// then the manifest.
func (i *IntentStore) uploadContent(ctx context.Context, current, s *bundle.Signed) error {
	stored := map[string]bool{}
	if current != nil {
		manifest, err := i.objects.Fetch(ctx, objectName(current.Digest))
		if err != nil {
			return err
		}
		digests, _ := bundle.ParseManifest(manifest)
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

// ApplyBundle makes the signed bundle the current one if its version is exactly
// one above the current version. If the write is not confirmed, the row is read
// back, since only the response may have been lost.
func (i *IntentStore) ApplyBundle(ctx context.Context, s *bundle.Signed) error {
	current, revision, err := i.Pointer(ctx)
	if err != nil {
		return err
	}
	version := uint64(0)
	if current != nil {
		version = current.Version
	}
	if current != nil && current.Digest == s.Digest && version == s.Version {
		return nil
	}
	if s.Version != version+1 {
		return &ConflictError{Version: version}
	}
	if err := i.uploadContent(ctx, current, s); err != nil {
		return err
	}
	value, err := json.Marshal(s)
	if err != nil {
		return oops.In("platform").Wrap(err)
	}
	results, err := i.table.Commit(ctx, []table.Write{{Key: currentBundleKey, Value: value, Expect: revision}})
	if err == nil && results[0].Applied {
		return nil
	}
	return i.confirmApplied(ctx, s)
}

// RestoreBundle makes a bundle the current one again if the table has an older one or
// none, because it came back from a copy.
func (i *IntentStore) RestoreBundle(ctx context.Context, s *bundle.Signed) error {
	current, revision, err := i.Pointer(ctx)
	if err != nil || current != nil && current.Version >= s.Version {
		return err
	}
	if err := i.uploadContent(ctx, current, s); err != nil {
		return err
	}
	value, err := json.Marshal(s)
	if err != nil {
		return oops.In("platform").Wrap(err)
	}
	_, err = i.table.Commit(ctx, []table.Write{{Key: currentBundleKey, Value: value, Expect: revision}})
	return err
}

// confirmApplied reads the pointer back after a write that was not confirmed. It
// returns nil if the bundle is the current one.
func (i *IntentStore) confirmApplied(ctx context.Context, s *bundle.Signed) error {
	current, _, err := i.Pointer(ctx)
	if err != nil {
		return err
	}
	if current != nil && current.Version == s.Version && current.Digest == s.Digest {
		return nil
	}
	version := uint64(0)
	if current != nil {
		version = current.Version
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

// OrdersRevision identifies a state of the recorded orders.
type OrdersRevision struct {
	// Number grows with each recorded order. A table that comes back from a copy
	// issues numbers again.
	Number uint64
	// Nonce is random and differs between writes with the same number.
	Nonce string
}

// OrdersRevision returns the revision of the recorded orders. Readers scan the orders
// only if it changed.
func (i *IntentStore) OrdersRevision(ctx context.Context) (OrdersRevision, error) {
	row, err := i.table.Get(ctx, ordersRevisionKey)
	return OrdersRevision{Number: row.Number, Nonce: string(row.Value)}, err
}

// RecordOrders writes the orders that are not recorded yet and raises the orders
// revision. If another writer raises it at the same time, the orders are written
// and the revision is raised in the next attempt. Orders never change, so a row
// that exists already needs no write.
func (i *IntentStore) RecordOrders(ctx context.Context, orders []order.Order) error {
	writes := make([]table.Write, 0, len(orders)+1)
	for _, o := range orders {
		value, err := json.Marshal(o)
		if err != nil {
			return oops.In("platform").Wrap(err)
		}
		writes = append(writes, table.Write{Key: orderPrefix + o.ID, Value: value})
	}
	for range maxRecordAttempts {
		revision, err := i.OrdersRevision(ctx)
		if err != nil {
			return err
		}
		nonce, err := json.Marshal(rand.Text())
		if err != nil {
			return oops.In("platform").Wrap(err)
		}
		raised := table.Write{Key: ordersRevisionKey, Value: nonce, Expect: revision.Number}
		results, err := i.table.Commit(ctx, append(writes, raised))
		if err != nil {
			return err
		}
		if results[len(results)-1].Applied {
			return nil
		}
	}
	return &UnavailableError{Call: "record", Cause: &ContendedError{}}
}

// ContendedError reports that a conditional write failed in every attempt.
type ContendedError struct{}

func (*ContendedError) Error() string { return "other writers changed the orders row in every attempt" }
