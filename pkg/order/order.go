// Package order defines the operators' signed orders: holds on an endpoint or
// failure domain, and returns that release holds.
package order

import (
	"crypto/ed25519"
	"fmt"
	"strings"
	"time"

	"github.com/cicadareel/cicadareel/pkg/bundle"
)

// Kind tells what an order does.
type Kind string

// Kinds of order.
const (
	// Drain admits no new work and finishes what runs or waits.
	Drain Kind = "drain"
	// TakeOut admits no new work and refuses what waits.
	TakeOut Kind = "takeOut"
	// Return releases the holds that it names.
	Return Kind = "return"
)

// Order is one signed order. It never changes once signed.
type Order struct {
	// ID is unique.
	ID string `json:"id"`
	// Target names an endpoint or a failure domain.
	Target string `json:"target"`
	Kind   Kind   `json:"kind"`
	// Author names the operator key that signed.
	Author  string    `json:"author"`
	Created time.Time `json:"created"`
	// Releases lists the ids of the holds that a Return releases.
	Releases  []string `json:"releases,omitempty"`
	Signature []byte   `json:"signature"`
}

// InvalidError reports an order that is not well formed.
type InvalidError struct{ Problem string }

func (e *InvalidError) Error() string { return "order: " + e.Problem }

// Sign sets the author and signature.
func (o *Order) Sign(author string, key ed25519.PrivateKey) {
	o.Author = author
	o.Signature = ed25519.Sign(key, o.message())
}

func (o *Order) message() []byte {
	return fmt.Appendf(nil, "cicadareel order\n%q\n%q\n%q\n%q\n%d\n%q\n",
		o.ID, o.Target, o.Kind, o.Author, o.Created.UnixMilli(), o.Releases)
}

// Verify checks the form and the signature.
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
