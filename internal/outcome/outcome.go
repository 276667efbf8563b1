// Package outcome defines the three outcomes of a request and the closed set
// of reasons for refusing one.
package outcome

// Outcome is what became of a request or of one attempt at it: Answered,
// NotRun or Unknown.
type Outcome interface{ isOutcome() }

// Answered says that the whole answer was delivered once.
type Answered struct{}

// NotRun says that the request certainly did not run; repeating it is safe.
type NotRun struct{ Reason Reason }

// Unknown says that the request may have run.
type Unknown struct{ Reason Reason }

func (Answered) isOutcome() {}
func (NotRun) isOutcome()   {}
func (Unknown) isOutcome()  {}

// Reason tells why a request was refused. The set is closed; each reason has
// its own counter.
type Reason string

// Reasons for refusing a request.
const (
	Unauthorized        Reason = "unauthorized"
	NoRoute             Reason = "noRoute"
	Malformed           Reason = "malformed"
	TooLarge            Reason = "tooLarge"
	NoBundle            Reason = "noBundle"
	Overloaded          Reason = "overloaded"
	NoEndpoint          Reason = "noEndpoint"
	Held                Reason = "held"
	Leaving             Reason = "leaving"
	StaleView           Reason = "staleView"
	QueueFull           Reason = "queueFull"
	DeadlineTooShort    Reason = "deadlineTooShort"
	WrongIncarnation    Reason = "wrongIncarnation"
	EndpointReplaced    Reason = "endpointReplaced"
	OldEpoch            Reason = "oldEpoch"
	Sealed              Reason = "sealed"
	AlreadyAdmitted     Reason = "alreadyAdmitted"
	NotReady            Reason = "notReady"
	ClaimStoreDown      Reason = "claimStoreDown"
	KeyReused           Reason = "keyReused"
	AnswerNotKept       Reason = "answerNotKept"
	RetryBudgetSpent    Reason = "retryBudgetSpent"
	EndpointUnreachable Reason = "endpointUnreachable"
	EndpointBroke       Reason = "endpointBroke"
	ConnectionLost      Reason = "connectionLost"
	SealUnanswered      Reason = "sealUnanswered"
	Canceled            Reason = "canceled"
	ShuttingDown        Reason = "shuttingDown"
	Shed                Reason = "shed"
	EndpointFailed      Reason = "endpointFailed"
	EventsOutOfOrder    Reason = "eventsOutOfOrder"
)

// Reasons lists every reason, for registering counters.
func Reasons() []Reason {
	return []Reason{
		Unauthorized, NoRoute, Malformed, TooLarge, NoBundle, Overloaded, NoEndpoint, Held, Leaving,
		StaleView, QueueFull, DeadlineTooShort, WrongIncarnation, EndpointReplaced, OldEpoch, Sealed,
		AlreadyAdmitted, NotReady, ClaimStoreDown, KeyReused, AnswerNotKept,
		RetryBudgetSpent, EndpointUnreachable, EndpointBroke, ConnectionLost,
		SealUnanswered, Canceled, ShuttingDown, Shed, EndpointFailed,
		EventsOutOfOrder,
	}
}
