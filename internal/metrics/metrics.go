// Package metrics provides the OpenTelemetry instruments of a process and
// serves them in Prometheus format.
package metrics

import (
	"context"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/samber/oops"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"github.com/cicadareel/cicadareel/internal/outcome"
)

// Metrics holds the instruments of a process. The attribute set of each reason
// is created in advance, so that counting does not allocate.
type Metrics struct {
	registry *prometheus.Registry
	meter    metric.Meter

	answered         metric.Int64Counter
	refusals         metric.Int64Counter
	retries          metric.Int64Counter
	rejected         metric.Int64Counter
	reasonOptions    map[outcome.Reason]metric.AddOption
	malformedOption  metric.AddOption
	forgedOption     metric.AddOption
	requestSeconds   metric.Float64Histogram
	firstByteSeconds metric.Float64Histogram
}

// latencyBucketBounds are the bucket boundaries of the latency histograms in
// seconds: fine around the objectives for the first token, coarse up to the
// longest timeouts.
var latencyBucketBounds = []float64{0.01, 0.03, 0.1, 0.2, 0.3, 0.4, 0.6, 1, 2, 4, 8, 16}

// NewMetrics creates and registers the instruments of one process.
func NewMetrics() (*Metrics, error) {
	m := &Metrics{registry: prometheus.NewRegistry(), reasonOptions: map[outcome.Reason]metric.AddOption{}}
	exporter, err := otelprom.New(otelprom.WithRegisterer(m.registry))
	if err != nil {
		return nil, oops.In("metrics").Wrap(err)
	}
	m.meter = sdk.NewMeterProvider(sdk.WithReader(exporter)).Meter("cicadareel")
	m.answered = m.counter("cicadareel_requests_answered", "Requests answered whole.")
	m.refusals = m.counter("cicadareel_refusals", "Refusals by reason.")
	m.retries = m.counter("cicadareel_retries", "Further attempts by the reason for them.")
	m.rejected = m.counter("cicadareel_rejected_messages", "Messages rejected as malformed or forged.")
	m.requestSeconds = m.histogram("cicadareel_request_seconds", "Time to the end of whole answers.")
	m.firstByteSeconds = m.histogram("cicadareel_first_byte_seconds", "Time to the first byte of whole answers.")
	for _, r := range outcome.Reasons() {
		m.reasonOptions[r] = metric.WithAttributeSet(attribute.NewSet(attribute.String("reason", string(r))))
	}
	m.malformedOption = metric.WithAttributeSet(attribute.NewSet(attribute.String("kind", "malformed")))
	m.forgedOption = metric.WithAttributeSet(attribute.NewSet(attribute.String("kind", "forged")))
	return m, nil
}

// counter creates a counter. It returns a no-op counter if the name is invalid,
// which only a programming error can cause.
func (m *Metrics) counter(name, help string) metric.Int64Counter {
	c, _ := m.meter.Int64Counter(name, metric.WithDescription(help))
	return c
}

// histogram creates a latency histogram, in seconds.
func (m *Metrics) histogram(name, help string) metric.Float64Histogram {
	h, _ := m.meter.Float64Histogram(name, metric.WithDescription(help), metric.WithExplicitBucketBoundaries(latencyBucketBounds...))
	return h
}

// RegisterGauge registers a gauge whose value is read at each collection.
func (m *Metrics) RegisterGauge(name, help string, read func() int64) {
	_, _ = m.meter.Int64ObservableGauge(name, metric.WithDescription(help),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(read())
			return nil
		}))
}

// RecordAnswered counts a request whose whole response was delivered, and records
// the times to the end of the response and to its first byte.
func (m *Metrics) RecordAnswered(took, firstByte time.Duration) {
	m.answered.Add(context.Background(), 1)
	m.requestSeconds.Record(context.Background(), took.Seconds())
	m.firstByteSeconds.Record(context.Background(), firstByte.Seconds())
}

// CountRefusal counts a refused request by reason.
func (m *Metrics) CountRefusal(r outcome.Reason) {
	m.refusals.Add(context.Background(), 1, m.reasonOptions[r])
}

// CountRetry counts a further attempt by the reason for it.
func (m *Metrics) CountRetry(r outcome.Reason) {
	m.retries.Add(context.Background(), 1, m.reasonOptions[r])
}

// CountMalformed counts a malformed message from a peer.
func (m *Metrics) CountMalformed() { m.rejected.Add(context.Background(), 1, m.malformedOption) }

// CountForged counts an order or bundle whose signature did not verify.
func (m *Metrics) CountForged() { m.rejected.Add(context.Background(), 1, m.forgedOption) }

// Handler serves the metrics in Prometheus format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
