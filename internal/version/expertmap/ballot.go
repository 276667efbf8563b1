// Package expertmap moves all ranks of a group from one expert map to the next
// such that every step runs with the same map on all ranks. A switch needs the
// consent of every rank, without which a group in lock-step cannot run anyway.
// Therefore neither a lease nor a store is involved.
package expertmap

import "strings"

// Ballot orders competing coordinators. A rank applies only commands of the
// highest ballot that it has seen.
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

// ID is the digest of a map's content, so that two coordinators never use one
// ID for different maps.
type ID string

// Command is sent by a coordinator to a rank: Query, Stage, Hold, Activate or
// Release.
type Command interface{ isCommand() }

// Query asks for the rank's state and for a promise to refuse lower ballots.
type Query struct{}

// Stage makes the rank load the experts that a map needs while steps go on.
type Stage struct {
	Map     ID
	Content []byte
}

// Hold makes the rank stop before a step.
type Hold struct{ Step uint64 }

// Activate makes a held rank continue and use a map from Step on.
type Activate struct {
	Map  ID
	Step uint64
}

// Release makes a held rank continue with its active map.
type Release struct{}

func (Query) isCommand()    {}
func (Stage) isCommand()    {}
func (Hold) isCommand()     {}
func (Activate) isCommand() {}
func (Release) isCommand()  {}

// Envelope carries a command with the sender's ballot and the incarnation of
// the sidecar that it addresses. Incarnation may be empty for a Query.
type Envelope struct {
	Ballot      Ballot
	Incarnation string
	Command     Command
}

// Reply is a rank's reply to an envelope.
type Reply struct {
	// Applied is false if the ballot, the incarnation or the rank's state did not
	// permit the command.
	Applied     bool
	Incarnation string
	// Promised is the highest ballot seen.
	Promised Ballot
	State    EngineState
}
