// Package report draws plots of one run of the users' bench.
package report

import (
	"bufio"
	"encoding/json"
	"os"
	"strings"

	"github.com/samber/oops"

	"github.com/cicadareel/cicadareel/internal/events"
)

// Run has the values of one bench run that are plotted.
type Run struct {
	// EarnedShare is the share of the credit due that was earned, by the second in
	// which requests were sent.
	EarnedShare []Point
	// FirstByte and Total are the milliseconds to the first byte and to the end of
	// each response, by the second in which it ended.
	FirstByte, Total []Point
	// SkewBefore and SkewAfter are the highest rank load divided by the mean, before
	// each change of an expert map and as expected after it. The entry that holds the
	// lease logs both.
	SkewBefore, SkewAfter []Point
}

// Point is a value at a time, in seconds since the start of the run.
type Point struct{ Second, Value float64 }

// benchReport has the fields of the bench's report that are plotted.
type benchReport struct {
	// Windows are named by the second at which they begin.
	Windows []struct {
		Name  json.Number `json:"name"`
		Worth float64     `json:"worth"`
	} `json:"windows"`
}

// logLine has the fields of an entry's log line that are plotted.
type logLine struct {
	Event      int     `json:"event"`
	FirstByte  float64 `json:"firstByteMs"`
	Took       float64 `json:"tookMs"`
	SkewBefore float64 `json:"skewBefore"`
	SkewAfter  float64 `json:"skewAfter"`
}

// ReadRun reads the bench's report and its log. A log line consists of the second,
// the name of a process and the JSON object that the process logged.
func ReadRun(reportFile, logFile string) (*Run, error) {
	run := &Run{}
	content, err := os.ReadFile(reportFile)
	if err != nil {
		return nil, oops.In("report").With("file", reportFile).Wrap(err)
	}
	var report benchReport
	if err := json.Unmarshal(content, &report); err != nil {
		return nil, oops.In("report").With("file", reportFile).Wrap(err)
	}
	for _, w := range report.Windows {
		second, err := w.Name.Float64()
		if err != nil {
			return nil, oops.In("report").With("window", w.Name).Wrap(err)
		}
		run.EarnedShare = append(run.EarnedShare, Point{second, w.Worth})
	}
	return run, run.readLog(logFile)
}

func (r *Run) readLog(file string) error {
	f, err := os.Open(file)
	if err != nil {
		return oops.In("report").With("file", file).Wrap(err)
	}
	defer func() { _ = f.Close() }()
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		r.addLine(lines.Text())
	}
	return oops.In("report").With("file", file).Wrap(lines.Err())
}

// addLine adds the values of one log line. It skips lines of the bench itself.
func (r *Run) addLine(text string) {
	prefix, object, found := strings.Cut(text, "{")
	fields := strings.Fields(prefix)
	if !found || len(fields) != 2 {
		return
	}
	second := json.Number(fields[0])
	at, err := second.Float64()
	var l logLine
	if err != nil || json.Unmarshal([]byte("{"+object), &l) != nil {
		return
	}
	switch events.Event(l.Event) {
	case events.RequestAnswered:
		r.FirstByte = append(r.FirstByte, Point{at, l.FirstByte})
		r.Total = append(r.Total, Point{at, l.Took})
	case events.MapActivated:
		r.SkewBefore = append(r.SkewBefore, Point{at, l.SkewBefore})
		r.SkewAfter = append(r.SkewAfter, Point{at, l.SkewAfter})
	}
}
