// Package expertswitch changes the expert maps of groups whose ranks accept
// commands from any process, without a sidecar. Ranks run in lock-step: all must
// use the same map in each step. Commands can be lost or take effect seconds after
// they were sent. Therefore each command carries a fencing token, and a rank that
// has seen a token refuses commands with a lower one.
package expertswitch

import (
	"context"
	"fmt"
)

// Layout lists the experts of each rank, by layer and rank.
type Layout [][][]int32

// expertBytes is the usual size of an expert's number in an encoded layout, and
// listBytes that of the brackets and the comma of one list.
const (
	expertBytes = 4
	listBytes   = 3
)

// wireBytes estimates the encoded size of the layout.
func (l Layout) wireBytes() int64 {
	size := int64(0)
	for _, layer := range l {
		for _, experts := range layer {
			size += listBytes + expertBytes*int64(len(experts))
		}
	}
	return size
}

// Arming is a scheduled switch to a map version at the beginning of a step.
type Arming struct {
	Version uint64
	Step    uint64
}

// Report is the state that a rank reported some time ago.
type Report struct {
	// Group names the lock-step group. Epoch increases each time that it forms.
	Group string
	Epoch uint64
	// Ready is false while the group cannot run.
	Ready bool
	// Step is the last step begun.
	Step uint64
	// Active is the version of the map in use, 0 for the initial one; Prepared
	// that of a map whose experts are loaded, 0 if none.
	Active, Prepared uint64
	// Armed is nil if no switch is scheduled.
	Armed *Arming
	// Held is the step before which the group is held; nil if there is no hold.
	Held *uint64
	// Slowness is the rank's time for its work as a multiple of the usual time; 0
	// if not reported.
	Slowness float64
}

// Counts says how often the router of a rank chose each expert.
type Counts struct {
	Step  uint64
	Epoch uint64
	// PerExpert has the counts since the rank's start, layer after layer.
	PerExpert []float64
}

// LoadedExperts has the experts that a rank holds when it responds.
type LoadedExperts struct {
	// Active is the version of the map in use, 0 for the initial one.
	Active uint64
	// Layers lists the rank's experts in that map, by layer.
	Layers [][]int32
	// Preparing is true if another map is being loaded or is loaded.
	Preparing bool
}

// Command is sent to a rank: Prepare, Hold, Arm, Disarm or Resume.
type Command interface{ isCommand() }

// Prepare makes a rank load the experts that a layout adds to it.
type Prepare struct {
	Version uint64
	Layout  Layout
}

// Hold keeps the group from beginning a step until a Resume for that step.
type Hold struct{ Step uint64 }

// Arm schedules the switch of a rank to a prepared version.
type Arm struct{ Arming Arming }

// Disarm cancels the scheduled switch to a version.
type Disarm struct{ Version uint64 }

// Resume ends a hold. Without a hold it only raises the fencing token.
type Resume struct{ Step uint64 }

func (Prepare) isCommand() {}
func (Hold) isCommand()    {}
func (Arm) isCommand()     {}
func (Disarm) isCommand()  {}
func (Resume) isCommand()  {}

// Fence identifies the sender of a command and the epoch that it addresses.
type Fence struct {
	// Token is higher than every token of an earlier holder of the lease.
	Token uint64
	// Epoch is the epoch of the group for which the command is valid.
	Epoch uint64
}

// Rank queries one rank and sends commands to it. A nil error of Send means that
// the command has taken effect, or for a Prepare that loading has begun. A
// *ConflictError means that it has not, and a *FencedError that a later holder of
// the lease is active. After any other error it may take effect at any time.
type Rank interface {
	// Name returns the name of the rank's endpoint.
	Name() string
	Report(ctx context.Context) (Report, error)
	Counts(ctx context.Context) (Counts, error)
	// Experts returns the experts that the rank holds now.
	Experts(ctx context.Context) (LoadedExperts, error)
	Send(ctx context.Context, c Command, f Fence) error
}

// ConflictError reports a command that the rank's state does not permit.
type ConflictError struct{ Rank string }

func (e *ConflictError) Error() string {
	return "the state of rank " + e.Rank + " does not permit the command"
}

// FencedError reports a command with a lower token than the rank has seen.
type FencedError struct{ Rank string }

func (e *FencedError) Error() string { return "rank " + e.Rank + " has seen a higher fencing token" }

// PhaseError reports the phase in which a switch or a recovery failed.
type PhaseError struct {
	Phase string
	Cause error
}

func (e *PhaseError) Error() string {
	return fmt.Sprintf("expert map switch or recovery failed in phase %s: %v", e.Phase, e.Cause)
}

// Unwrap returns the cause.
func (e *PhaseError) Unwrap() error { return e.Cause }

// GroupChangedError reports a group that has formed again, is not ready or whose
// ranks disagree.
type GroupChangedError struct{ Group string }

func (e *GroupChangedError) Error() string {
	return "group " + e.Group + " has formed again, is not ready, or its ranks disagree"
}
