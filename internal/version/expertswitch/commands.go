// Package expertswitch changes the expert maps of groups whose ranks anybody
// may give orders to. Ranks run in lock-step: all must use one map in each
// step. Orders can be lost, or take effect seconds after they were given, so
// that every step of a switch is safe against late ones: each order carries a
// fencing token, and a token once raised at a rank keeps earlier orders out.
package expertswitch

import (
	"context"
	"fmt"
)

// Layout lists, for each layer and rank, the experts that the rank holds.
type Layout [][][]int32

// Arming says that a rank switches to a map version as a step begins.
type Arming struct {
	Version uint64
	Step    uint64
}

// Report is what a rank says of itself, some time ago.
type Report struct {
	// Group names the lock-step group, Epoch its formation.
	Group string
	Epoch uint64
	// Ready is false while the group cannot run.
	Ready bool
	// Step is the last step begun.
	Step uint64
	// Active is the version of the map in use, 0 for the initial one; Prepared
	// that of one whose experts are loaded, 0 if none.
	Active, Prepared uint64
	// Armed is nil if the rank is not to switch.
	Armed *Arming
	// Held is the step that the group does not begin; nil if there is none.
	Held *uint64
	// Slowness is the rank's time for its work as a multiple of the usual; 0 if not
	// reported.
	Slowness float64
}

// Counts are how often the requests of a rank chose each expert.
type Counts struct {
	Step  uint64
	Epoch uint64
	// PerExpert counts since the rank's start, layer after layer.
	PerExpert []float64
}

// LoadedExperts is what a rank holds at the moment of the answer.
type LoadedExperts struct {
	// Active is the version of the map in use, 0 for the initial one.
	Active uint64
	// Layers lists the rank's experts in that map, layer by layer.
	Layers [][]int32
	// Preparing is true if another map is being loaded or is loaded.
	Preparing bool
}

// Command is what a rank is told: Prepare, Hold, Arm, Disarm or Resume.
type Command interface{ isCommand() }

// Prepare makes a rank load the experts of a layout that are new to it.
type Prepare struct {
	Version uint64
	Layout  Layout
}

// Hold keeps the group from beginning a step until a Resume for it.
type Hold struct{ Step uint64 }

// Arm makes a rank switch to a prepared version as a step begins.
type Arm struct{ Arming Arming }

// Disarm undoes the arming of a version.
type Disarm struct{ Version uint64 }

// Resume ends a hold. Without a hold it only raises the fencing token.
type Resume struct{ Step uint64 }

func (Prepare) isCommand() {}
func (Hold) isCommand()    {}
func (Arm) isCommand()     {}
func (Disarm) isCommand()  {}
func (Resume) isCommand()  {}

// Fence says who gives an order.
type Fence struct {
	// Token is higher than that of every earlier holder of the lease.
	Token uint64
	// Epoch is the formation of the group that the order is meant for.
	Epoch uint64
}

// Rank gives orders to one rank. A nil error says that the order has taken
// effect, or has begun to for a Prepare. An *ObjectionError says that it has
// not and a *FencedError that a later holder is at work; after any other error
// it may take effect at any time.
type Rank interface {
	// Name names the endpoint.
	Name() string
	Report(ctx context.Context) (Report, error)
	Counts(ctx context.Context) (Counts, error)
	// Experts returns what the rank holds now.
	Experts(ctx context.Context) (LoadedExperts, error)
	Send(ctx context.Context, o Command, f Fence) error
}

// ConflictError reports an order that does not fit the rank's state.
type ConflictError struct{ Rank string }

func (e *ConflictError) Error() string { return "rank " + e.Rank + " objects to the order" }

// FencedError reports an order with a token lower than one already seen.
type FencedError struct{ Rank string }

func (e *FencedError) Error() string { return "rank " + e.Rank + " has seen a higher fencing token" }

// PhaseError reports a switch that did not come to its end.
type PhaseError struct {
	Phase string
	Cause error
}

func (e *PhaseError) Error() string {
	return fmt.Sprintf("switch failed in phase %s: %v", e.Phase, e.Cause)
}

// Unwrap returns the cause.
func (e *PhaseError) Unwrap() error { return e.Cause }

// GroupChangedError reports a group that formed anew or whose ranks disagree.
type GroupChangedError struct{ Group string }

func (e *GroupChangedError) Error() string { return "group " + e.Group + " changed" }
