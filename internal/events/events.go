// Package events defines the numbered log events and writes them as JSON lines.
// docs/EVENTS.md lists them.
package events

import (
	"io"
	"os"
	"time"

	"github.com/sirupsen/logrus"
)

// Event is the number of a log event. Numbers do not change and are not reused.
type Event int

// Log events.
const (
	ProcessStarted            Event = 100
	ProcessStopping           Event = 101
	ProcessStopped            Event = 102
	ServeFailed               Event = 103
	BundleAdopted             Event = 200
	BundleRefused             Event = 201
	OrderAdopted              Event = 202
	OrderRefused              Event = 203
	PlatformUnreachable       Event = 204
	PlatformReachable         Event = 205
	LinkUp                    Event = 300
	LinkDown                  Event = 301
	PeerMessageMalformed      Event = 302
	RowIgnored                Event = 206
	HistoryLost               Event = 207
	StoreCallFailed           Event = 208
	EndpointAdded             Event = 209
	EndpointRemoved           Event = 210
	ExpiredEndpointKept       Event = 211
	EndpointEjected           Event = 212
	FailureDomainHeld         Event = 213
	FailureDomainReleased     Event = 214
	PeersChanged              Event = 215
	FollowingStarted          Event = 216
	FollowingStopped          Event = 217
	PeerUnresponsive          Event = 218
	EndpointLimitChanged      Event = 219
	EndpointLimitInvalid      Event = 220
	StoreRestored             Event = 221
	EndpointPaused            Event = 222
	EndpointPauseInvalid      Event = 223
	BundleRestored            Event = 224
	SettingsReloaded          Event = 104
	SettingsRefused           Event = 105
	RequestOutcomeUnknown     Event = 400
	ResponseAborted           Event = 401
	RequestInvalid            Event = 402
	RequestRefused            Event = 403
	RequestRetried            Event = 404
	RequestAnswered           Event = 405
	EventsOutOfOrder          Event = 406
	AccountLimitsChanged      Event = 407
	AttemptBroken             Event = 408
	PromptPartSuspected       Event = 409
	PromptPartTried           Event = 410
	PromptPartCleared         Event = 411
	UrgencyDecides            Event = 412
	ClientCutOff              Event = 413
	ConnectionClosed          Event = 414
	GroupBroken               Event = 503
	GroupOpen                 Event = 504
	GroupRelieved             Event = 505
	GroupRestored             Event = 506
	EndpointNotReady          Event = 501
	EndpointReady             Event = 502
	MapActivated              Event = 600
	MapSwitchFailed           Event = 601
	MapLeaseAcquired          Event = 602
	MapLeaseLost              Event = 603
	MapSwitchRecovered        Event = 604
	SampledRankChanged        Event = 605
	MapLeaseTakeoverRequested Event = 606
)

var texts = map[Event]string{
	ProcessStarted:            "process started",
	ProcessStopping:           "graceful shutdown started",
	ProcessStopped:            "process stopped",
	ServeFailed:               "server failed",
	BundleAdopted:             "bundle adopted",
	BundleRefused:             "bundle refused",
	OrderAdopted:              "order adopted",
	OrderRefused:              "order refused",
	PlatformUnreachable:       "platform unreachable",
	PlatformReachable:         "platform reachable again",
	LinkUp:                    "link to sidecar up",
	LinkDown:                  "link to sidecar down",
	PeerMessageMalformed:      "malformed message from peer",
	SettingsReloaded:          "settings reloaded",
	SettingsRefused:           "settings refused",
	RowIgnored:                "invalid row of the store ignored",
	HistoryLost:               "change history lost at the store, rereading all rows",
	StoreCallFailed:           "store call failed",
	EndpointAdded:             "endpoint added",
	EndpointRemoved:           "endpoint removed",
	ExpiredEndpointKept:       "expired endpoint kept",
	EndpointEjected:           "endpoint ejected",
	FailureDomainHeld:         "failure domain held",
	FailureDomainReleased:     "failure domain released",
	PeersChanged:              "number of live peers changed",
	FollowingStarted:          "started following the store",
	FollowingStopped:          "stopped following the store",
	PeerUnresponsive:          "peer does not respond",
	EndpointLimitChanged:      "endpoint named another limit on its requests",
	EndpointLimitInvalid:      "invalid limit of an endpoint ignored",
	StoreRestored:             "store came back from a copy",
	EndpointPaused:            "endpoint wants no requests for a while",
	EndpointPauseInvalid:      "invalid pause of an endpoint ignored",
	BundleRestored:            "table has an older bundle, writing the one in force again",
	RequestOutcomeUnknown:     "request outcome unknown",
	ResponseAborted:           "response to caller aborted",
	RequestInvalid:            "request invalid",
	RequestRefused:            "request refused",
	RequestRetried:            "request retried",
	RequestAnswered:           "request answered",
	AccountLimitsChanged:      "limits on client accounts changed",
	AttemptBroken:             "connection of an attempt broke",
	PromptPartSuspected:       "prompt part suspected of crashing endpoints",
	PromptPartTried:           "request with suspected prompt part sent as a trial",
	PromptPartCleared:         "prompt part no longer suspected",
	UrgencyDecides:            "urgency decides what is admitted",
	ClientCutOff:              "stalled client cut off",
	ConnectionClosed:          "connection of a caller closed for others",
	EventsOutOfOrder:          "endpoint sent events out of order",
	GroupBroken:               "group of ranks broken",
	GroupOpen:                 "group of ranks open",
	GroupRelieved:             "group of ranks gets fewer requests",
	GroupRestored:             "group of ranks gets its usual requests again",
	EndpointNotReady:          "endpoint load report missing",
	EndpointReady:             "endpoint load report received",
	MapActivated:              "expert map activated",
	MapSwitchFailed:           "expert map switch failed",
	MapLeaseAcquired:          "expert map lease acquired",
	MapLeaseLost:              "expert map lease lost",
	MapSwitchRecovered:        "recovered from unfinished expert map switch",
	SampledRankChanged:        "sampled rank changed",
	MapLeaseTakeoverRequested: "expert map lease takeover requested",
}

// Fields are the typed values that accompany an event.
type Fields = logrus.Fields

// Log writes numbered events. Writing never blocks: when the queue of lines is
// full, further lines are dropped and counted.
type Log struct {
	logger   *logrus.Logger
	instance string
	sink     *sink
}

// NewLog returns a log that writes to standard output for one process. An
// invalid level counts as info.
func NewLog(level, instance string) *Log { return NewLogTo(os.Stdout, level, instance) }

// NewLogTo is like NewLog but writes to w.
func NewLogTo(w io.Writer, level, instance string) *Log {
	l := logrus.New()
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		parsed = logrus.InfoLevel
	}
	out := newSink(w)
	l.SetOutput(out)
	l.SetLevel(parsed)
	l.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	return &Log{logger: l, instance: instance, sink: out}
}

// Dropped returns the number of lines that were dropped or failed to be written.
func (l *Log) Dropped() int64 { return l.sink.dropped.Load() }

// Close writes the queued lines. It gives up after closeTimeout.
func (l *Log) Close() { l.sink.close() }

// Text returns the fixed text of an event.
func Text(e Event) string { return texts[e] }

// All returns every event with its text.
func All() map[Event]string { return texts }

// commonFieldCount is the number of fields that write adds to every line.
const commonFieldCount = 2

// write logs an event if its level is enabled. It copies the fields once, because
// logrus' With methods copy them at each step, which costs more than all other
// work on a line.
func (l *Log) write(level logrus.Level, e Event, fields Fields) {
	if !l.logger.IsLevelEnabled(level) {
		return
	}
	data := make(Fields, len(fields)+commonFieldCount)
	for name, value := range fields {
		data[name] = value
	}
	data["event"], data["instance"] = int(e), l.instance
	line := &logrus.Entry{Logger: l.logger, Data: data}
	line.Log(level, texts[e])
}

// Debug writes an event that is of interest only to developers.
func (l *Log) Debug(e Event, fields Fields) { l.write(logrus.DebugLevel, e, fields) }

// Info writes an event of normal operation.
func (l *Log) Info(e Event, fields Fields) { l.write(logrus.InfoLevel, e, fields) }

// Warn writes an event that an operator may have to act on.
func (l *Log) Warn(e Event, fields Fields) { l.write(logrus.WarnLevel, e, fields) }
