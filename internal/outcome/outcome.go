// Package outcome defines the three outcomes of a request and the closed set
// of reasons for refusing one.
package outcome

// Outcome is the result of a request or of one attempt at it: Answered, NotRun
// or Unknown.
type Outcome interface{ isOutcome() }

// Answered says that the whole response was delivered once.
type Answered struct{}

// NotRun says that the request certainly did not run, so repeating it is safe.
type NotRun struct{ Reason Reason }

// Unknown says that the request may have run.
type Unknown struct{ Reason Reason }

func (Answered) isOutcome() {}
func (NotRun) isOutcome()   {}
func (Unknown) isOutcome()  {}

// Reason says why a request was refused. The set is closed; each reason has
// its own counter.
type Reason string

// Reasons for refusing a request or an attempt. They are on the wire, in logs
// and in metrics.
const (
	// Unauthorized: no valid token of a client account.
	Unauthorized Reason = "unauthorized"
	// NoRoute: no route matches the host and path.
	NoRoute Reason = "noRoute"
	// Malformed: the request or one of its header fields is invalid.
	Malformed Reason = "malformed"
	// TooLarge: the body exceeds the route's limit.
	TooLarge Reason = "tooLarge"
	// NoBundle: no configuration bundle is in force, or it lacks the endpoint.
	NoBundle Reason = "noBundle"
	// Overloaded: the entry handles as many requests as it may.
	Overloaded Reason = "overloaded"
	// NoEndpoint: no endpoint that the route leads to is eligible.
	NoEndpoint Reason = "noEndpoint"
	// Held: an operator's order forbids new work on the endpoint.
	Held Reason = "held"
	// Leaving: the sidecar is being removed and takes no new work.
	Leaving Reason = "leaving"
	// StaleView: the sidecar's copy of bundle and orders is too old to act on.
	StaleView Reason = "staleView"
	// QueueFull: the endpoint's queue has no room for the attempt.
	QueueFull Reason = "queueFull"
	// DeadlineTooShort: the deadline leaves too little time, or passed during the attempt.
	DeadlineTooShort Reason = "deadlineTooShort"
	// WrongIncarnation: the attempt was meant for an earlier sidecar process.
	WrongIncarnation Reason = "wrongIncarnation"
	// EndpointReplaced: another endpoint now has the address.
	EndpointReplaced Reason = "endpointReplaced"
	// OldEpoch: the attempt's admission epoch is too old to be admitted.
	OldEpoch Reason = "oldEpoch"
	// Sealed: the gate promised never to admit the attempt.
	Sealed Reason = "sealed"
	// AlreadyAdmitted: an attempt at the request was queued or admitted before.
	AlreadyAdmitted Reason = "alreadyAdmitted"
	// NotReady: the gate has no current load report of its endpoint.
	NotReady Reason = "notReady"
	// ClaimStoreDown: the claim on the idempotency key could not be decided.
	ClaimStoreDown Reason = "claimStoreDown"
	// KeyReused: the idempotency key belongs to a different request.
	KeyReused Reason = "keyReused"
	// AnswerNotKept: the wanted bytes of the response are no longer buffered.
	AnswerNotKept Reason = "answerNotKept"
	// RetryBudgetSpent: the entry's retry budget for the group is used up.
	RetryBudgetSpent Reason = "retryBudgetSpent"
	// EndpointUnreachable: the attempt did not reach the endpoint.
	EndpointUnreachable Reason = "endpointUnreachable"
	// EndpointBroke: the connection to the endpoint broke after the request was sent.
	EndpointBroke Reason = "endpointBroke"
	// ConnectionLost: the connection was lost and the response cannot be resumed.
	ConnectionLost Reason = "connectionLost"
	// SealUnanswered: the sidecar did not say what became of the attempt.
	SealUnanswered Reason = "sealUnanswered"
	// Canceled: the caller went away or the deadline passed.
	Canceled Reason = "canceled"
	// ShuttingDown: the process is stopping.
	ShuttingDown Reason = "shuttingDown"
	// Shed: the endpoint rejected the request without running it.
	Shed Reason = "shed"
	// EndpointFailed: the endpoint ran the request and failed.
	EndpointFailed Reason = "endpointFailed"
	// AccountLimited: the client account asks for more than its fair share of a group
	// that cannot serve all requests.
	AccountLimited Reason = "accountLimited"
	// LessUrgent: the endpoints of a group have room for more urgent requests only.
	LessUrgent Reason = "lessUrgent"
	// PromptQuarantined: a part of the prompt is suspected of crashing endpoints.
	PromptQuarantined Reason = "promptQuarantined"
	// MemoryFull: the entry has no room for the request's bytes.
	MemoryFull Reason = "memoryFull"
	// AccountMemoryFull: the client account holds as many bytes as it may.
	AccountMemoryFull Reason = "accountMemoryFull"
	// ClientStalled: the caller did not send its body in time.
	ClientStalled Reason = "clientStalled"
	// EventsOutOfOrder: an event's id is not higher than the one before.
	EventsOutOfOrder Reason = "eventsOutOfOrder"
)

// Reasons lists every reason, for registering counters.
func Reasons() []Reason {
	return []Reason{
		Unauthorized, NoRoute, Malformed, TooLarge, NoBundle, Overloaded, NoEndpoint, Held, Leaving,
		StaleView, QueueFull, DeadlineTooShort, WrongIncarnation, EndpointReplaced, OldEpoch, Sealed,
		AlreadyAdmitted, NotReady, ClaimStoreDown, KeyReused, AnswerNotKept,
		RetryBudgetSpent, EndpointUnreachable, EndpointBroke, ConnectionLost,
		SealUnanswered, Canceled, ShuttingDown, Shed, EndpointFailed,
		EventsOutOfOrder, AccountLimited, LessUrgent, PromptQuarantined,
		MemoryFull, AccountMemoryFull, ClientStalled,
	}
}
