// Package report draws one play of the users' bench as a page of plots.
package report

import (
	"bufio"
	"encoding/json"
	"os"
	"strings"

	"github.com/samber/oops"

	"github.com/cicadareel/cicadareel/internal/events"
)

// Play is what is drawn of a play.
type Play struct {
	// Worth is the part of the credit owed that was earned, by the second in which
	// requests were sent.
	Worth []Point
	// FirstByte and Took are the milliseconds to the first byte and to the end of
	// each answer, by the second in which it ended.
	FirstByte, Took []Point
	// Before and After are the skews of the ranks' loads that the holder of the lease
	// saw before each change of an expert map and expected after it.
	Before, After []Point
}

// Point is a value at a second of the play.
type Point struct{ Second, Value float64 }

// benchReport is the part of the bench's own report that is drawn.
type benchReport struct {
	// Windows name the second at which they begin.
	Windows []struct {
		Name  json.Number `json:"name"`
		Worth float64     `json:"worth"`
	} `json:"windows"`
}

// logLine is the part of an entry's log line that is drawn.
type logLine struct {
	Event      int     `json:"event"`
	FirstByte  float64 `json:"firstByteMs"`
	Took       float64 `json:"tookMs"`
	SkewBefore float64 `json:"skewBefore"`
	SkewAfter  float64 `json:"skewAfter"`
}

// ReadPlay reads the report of a play and what its processes wrote: lines of the
// second, the name of the process and its own line.
func ReadPlay(reportFile, logFile string) (*Play, error) {
	p := &Play{}
	content, err := os.ReadFile(reportFile)
	if err != nil {
		return nil, oops.In("report").With("file", reportFile).Wrap(err)
	}
	var r benchReport
	if err := json.Unmarshal(content, &r); err != nil {
		return nil, oops.In("report").With("file", reportFile).Wrap(err)
	}
	for _, w := range r.Windows {
		second, err := w.Name.Float64()
		if err != nil {
			return nil, oops.In("report").With("window", w.Name).Wrap(err)
		}
		p.Worth = append(p.Worth, Point{second, w.Worth})
	}
	return p, p.readLog(logFile)
}

func (p *Play) readLog(file string) error {
	f, err := os.Open(file)
	if err != nil {
		return oops.In("report").With("file", file).Wrap(err)
	}
	defer func() { _ = f.Close() }()
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		p.take(lines.Text())
	}
	return oops.In("report").With("file", file).Wrap(lines.Err())
}

// take reads one line. Lines that are no process's are text of the bench.
func (p *Play) take(text string) {
	start, line, found := strings.Cut(text, "{")
	fields := strings.Fields(start)
	if !found || len(fields) != 2 {
		return
	}
	second := json.Number(fields[0])
	at, err := second.Float64()
	var l logLine
	if err != nil || json.Unmarshal([]byte("{"+line), &l) != nil {
		return
	}
	switch events.Event(l.Event) {
	case events.RequestAnswered:
		p.FirstByte = append(p.FirstByte, Point{at, l.FirstByte})
		p.Took = append(p.Took, Point{at, l.Took})
	case events.MapActivated:
		p.Before = append(p.Before, Point{at, l.SkewBefore})
		p.After = append(p.After, Point{at, l.SkewAfter})
	}
}
