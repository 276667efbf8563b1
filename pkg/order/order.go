// Package order defines the signed orders of operators. A hold keeps new
// requests off an endpoint or failure domain; a return releases holds.
package order

import (
	"crypto/ed25519"
	"fmt"
	"strings"
	"time"

	"github.com/cicadareel/cicadareel/pkg/bundle"
)

// Kind says what an order does.
type Kind string

// Kinds of order. Drain and TakeOut are holds.
const (
	// Drain admits no new requests and finishes those that run or are queued.
	Drain Kind = "drain"
	// TakeOut admits no new requests and refuses those that are queued.
	TakeOut Kind = "takeOut"
	// Return releases the holds listed in Order.Releases.
	Return Kind = "return"
)

// Order is one order of an operator. It does not change once it is signed.
type Order struct {
	// ID is unique among orders and contains no slash.
	ID string `json:"id"`
	// Target names an endpoint or a failure domain.
	Target string `json:"target"`
	Kind   Kind   `json:"kind"`
	// Author is the name of the operator key that made the signature.
	Author  string    `json:"author"`
	Created time.Time `json:"created"`
	// Releases lists the ids of the holds that a Return releases.
	Releases  []string `json:"releases,omitempty"`
	Signature []byte   `json:"signature"`
}

// InvalidError reports a malformed order.
type InvalidError struct{ Problem string }

func (e *InvalidError) Error() string { return "order: " + e.Problem }

// Sign sets the author and the signature.
func (o *Order) Sign(author string, key ed25519.PrivateKey) {
	o.Author = author
	o.Signature = ed25519.Sign(key, o.message())
}

// message returns the bytes that the signature covers.
func (o *Order) message() []byte {
	return fmt.Appendf(nil, "cicadareel order\n%q\n%q\n%q\n%q\n%d\n%q\n",
		o.ID, o.Target, o.Kind, o.Author, o.Created.UnixMilli(), o.Releases)
}

// Verify checks that the order is well formed and signed with a trusted key.
func (o *Order) Verify(keys bundle.KeySet) error {
	switch o.Kind {
	case Drain, TakeOut, Return:
	default:
		return &InvalidError{Problem: fmt.Sprintf("unknown kind %q", o.Kind)}
	}
	if o.ID == "" || o.Target == "" || strings.Contains(o.ID, "/") {
		return &InvalidError{Problem: "id and target must be set and the id must not contain a slash"}
	}
	key, ok := keys[o.Author]
	if !ok || !ed25519.Verify(key, o.message(), o.Signature) {
		return &bundle.UntrustedError{Author: o.Author}
	}
	return nil
}
