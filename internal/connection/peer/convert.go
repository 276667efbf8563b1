// Package peer connects cicadareel processes with each other. They gossip the
// operators' intent and copies of the store's tables: each process exchanges them
// periodically with a few others. Orders also go to every process directly.
package peer

import (
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/cicadareel/cicadareel/internal/connection/wire"
	"github.com/cicadareel/cicadareel/pkg/bundle"
	"github.com/cicadareel/cicadareel/pkg/order"
)

// OrderToWire converts an order to its message. On the wire it is called Hold,
// whatever the order's kind.
func OrderToWire(o order.Order) *wire.Hold {
	return &wire.Hold{
		Id:            o.ID,
		Target:        o.Target,
		Kind:          string(o.Kind),
		Author:        o.Author,
		CreatedUnixMs: o.Created.UnixMilli(),
		Releases:      o.Releases,
		Signature:     o.Signature,
	}
}

// OrderFromWire converts a message to an order. Its signature is not verified
// yet.
func OrderFromWire(h *wire.Hold) order.Order {
	return order.Order{
		ID:        h.GetId(),
		Target:    h.GetTarget(),
		Kind:      order.Kind(h.GetKind()),
		Author:    h.GetAuthor(),
		Created:   time.UnixMilli(h.GetCreatedUnixMs()),
		Releases:  h.GetReleases(),
		Signature: h.GetSignature(),
	}
}

func ordersToWire(orders []order.Order) []*wire.Hold {
	holds := make([]*wire.Hold, 0, len(orders))
	for _, o := range orders {
		holds = append(holds, OrderToWire(o))
	}
	return holds
}

// BundleToWire converts a signed bundle to its message.
func BundleToWire(s *bundle.Signed) *wire.SignedBundle {
	return &wire.SignedBundle{
		Version:   s.Version,
		Digest:    s.Digest,
		Author:    s.Author,
		Signature: s.Signature,
		Manifest:  s.Manifest,
	}
}

// BundleFromWire converts a message to a signed bundle without its content. Its
// signature is not verified yet.
func BundleFromWire(m *wire.SignedBundle) *bundle.Signed {
	return &bundle.Signed{
		Version:   m.GetVersion(),
		Digest:    m.GetDigest(),
		Author:    m.GetAuthor(),
		Signature: m.GetSignature(),
		Manifest:  m.GetManifest(),
	}
}

// DurationToWire converts a duration to its message.
func DurationToWire(d time.Duration) *durationpb.Duration { return durationpb.New(d) }
