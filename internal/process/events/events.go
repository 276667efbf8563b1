// Package events defines the numbered log events. docs/EVENTS.md is their
// catalogue.
package events

import "github.com/sirupsen/logrus"

// Event is the number of a log event. Numbers are never reused.
type Event int

// Log events.
const (
	ProcessStarted      Event = 100
	ProcessStopping     Event = 101
	ProcessStopped      Event = 102
	ServeFailed         Event = 103
	BundleAdopted       Event = 200
	BundleRefused       Event = 201
	OrderAdopted        Event = 202
	OrderRefused        Event = 203
	PlatformUnreachable Event = 204
	PlatformReachable   Event = 205
	LinkUp              Event = 300
	LinkDown            Event = 301
	PeerMisbehaved      Event = 302
	RequestUnknown      Event = 400
	RequestCut          Event = 401
	EndpointUnready     Event = 501
	EndpointReady       Event = 502
	MapActivated        Event = 600
	MapSwitchFailed     Event = 601
)

var texts = map[Event]string{
	ProcessStarted:      "process started",
	ProcessStopping:     "graceful shutdown begins",
	ProcessStopped:      "process stopped",
	ServeFailed:         "server failed",
	BundleAdopted:       "bundle adopted",
	BundleRefused:       "bundle refused",
	OrderAdopted:        "order adopted",
	OrderRefused:        "order refused",
	PlatformUnreachable: "platform unreachable",
	PlatformReachable:   "platform reachable again",
	LinkUp:              "link to sidecar up",
	LinkDown:            "link to sidecar down",
	PeerMisbehaved:      "malformed message from peer",
	RequestUnknown:      "request outcome unknown",
	RequestCut:          "answer to caller cut",
	EndpointUnready:     "endpoint load report missing",
	EndpointReady:       "endpoint load report received",
	MapActivated:        "expert map activated",
	MapSwitchFailed:     "expert map switch failed",
}

// Fields are the typed values that accompany an event.
type Fields = logrus.Fields

// Log writes numbered events.
type Log struct{ entry *logrus.Entry }

// NewLog returns a log for one process. The level must be valid.
func NewLog(level, instance string) *Log {
	l := logrus.New()
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		parsed = logrus.InfoLevel
	}
	l.SetLevel(parsed)
	l.SetFormatter(&logrus.JSONFormatter{})
	return &Log{entry: l.WithField("instance", instance)}
}

// Text returns the fixed text of an event.
func Text(e Event) string { return texts[e] }

// All returns every event with its text.
func All() map[Event]string { return texts }

func (l *Log) with(e Event, fields Fields) *logrus.Entry {
	return l.entry.WithField("event", int(e)).WithFields(fields)
}

// Debug writes an event of interest to developers.
func (l *Log) Debug(e Event, fields Fields) { l.with(e, fields).Debug(texts[e]) }

// Info writes an event of normal operation.
func (l *Log) Info(e Event, fields Fields) { l.with(e, fields).Info(texts[e]) }

// Warn writes an event that an operator may have to act on.
func (l *Log) Warn(e Event, fields Fields) { l.with(e, fields).Warn(texts[e]) }
