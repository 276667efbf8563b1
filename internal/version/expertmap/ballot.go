// Package expertmap switches all ranks of a group from one expert map to the
// next, such that in each step all of them use the same. The switch is
// unanimous: lock-step makes every rank necessary anyway, so no lease and no
// store is needed.
package expertmap

import "strings"

// Ballot orders competing coordinators. A rank obeys only the highest that it
// has seen.
type Ballot struct {
	Counter uint64
	// Owner is the incarnation of the coordinator; it breaks ties.
	Owner string
}

// Less reports whether b is lower than other.
func (b Ballot) Less(other Ballot) bool {
	if b.Counter != other.Counter {
		return b.Counter < other.Counter
	}
	return strings.Compare(b.Owner, other.Owner) < 0
}

// ID names a map by the digest of its content, so that two coordinators never
// mean different maps by the same name.
type ID string

// Command is what a coordinator tells a rank: Query, Stage, Hold, Activate or
// Release.
type Command interface{ isCommand() }

// Query asks for the rank's state and a promise to obey no lower ballot.
type Query struct{}

// Stage makes the rank load the experts that a map needs; steps go on.
type Stage struct {
	Map     ID
	Content []byte
}

// Hold makes the rank stop before a step.
type Hold struct{ Step uint64 }

// Activate makes a held rank use a map from the step on and go on.
type Activate struct {
	Map  ID
	Step uint64
}

// Release makes a held rank go on with its present map.
type Release struct{}

func (Query) isCommand()    {}
func (Stage) isCommand()    {}
func (Hold) isCommand()     {}
func (Activate) isCommand() {}
func (Release) isCommand()  {}

// Envelope is an order with the ballot it is given under and the incarnation
// of the sidecar that it is meant for. A Query may leave Incarnation empty.
type Envelope struct {
	Ballot      Ballot
	Incarnation string
	Command     Command
}

// Reply is a rank's reply.
type Reply struct {
	// Applied is false if the ballot, the incarnation or the state forbade it.
	Applied     bool
	Incarnation string
	// Promised is the highest ballot seen.
	Promised Ballot
	State    EngineState
}
