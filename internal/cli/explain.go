package cli

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/samber/oops"
	"github.com/urfave/cli/v3"
)

const (
	// contextBefore and contextAfter extend the time from the first event of a request
	// to its last. Related events in that time are shown too: they tell what the entry
	// knew when it decided.
	contextBefore = 5 * time.Second
	contextAfter  = time.Second
	// maxLogLineBytes limits the length of one log line.
	maxLogLineBytes = 1 << 20
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "print the events of one request from the logs of several processes",
		ArgsUsage: "REQUEST-ID LOG-FILE...",
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() < 2 {
				return &UsageError{Problem: "expected a request id and at least one log file"}
			}
			var lines []logLine
			for _, path := range c.Args().Slice()[1:] {
				read, err := readLog(path)
				if err != nil {
					return err
				}
				lines = append(lines, read...)
			}
			timeline := requestTimeline(lines, c.Args().First())
			if len(timeline) == 0 {
				return &UsageError{Problem: "no line of these logs names the request " + c.Args().First()}
			}
			for _, l := range timeline {
				printLine(c.Root().Writer, "%s", l)
			}
			return nil
		},
	}
}

// logLine is one line of a process's log.
type logLine struct {
	Time     time.Time `json:"time"`
	Instance string    `json:"instance"`
	Event    int       `json:"event"`
	Text     string    `json:"msg"`
	Request  string    `json:"request"`
	Endpoint string    `json:"endpoint"`
	// Endpoints lists the endpoints that the request was sent to, separated by
	// commas.
	Endpoints string `json:"endpoints"`
	// fields holds the fields that are not in headerFields as name=value, sorted.
	fields []string
}

// String formats the line for reading.
func (l logLine) String() string {
	return fmt.Sprintf("%s  %-20s %d %s  %s", l.Time.Format("15:04:05.000"), l.Instance, l.Event, l.Text, strings.Join(l.fields, " "))
}

// headerFields are the log fields that are not printed as name=value.
var headerFields = []string{"time", "instance", "event", "msg", "level", "request"}

func readLog(path string) ([]logLine, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, oops.In("cli").With("path", path).Wrap(err)
	}
	defer func() { _ = f.Close() }()
	return parseLog(f)
}

// parseLog reads JSON log lines. It ignores text that precedes the JSON object of a
// line, and skips lines without one.
func parseLog(r io.Reader) ([]logLine, error) {
	var lines []logLine
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLogLineBytes)
	for s.Scan() {
		_, text, found := strings.Cut(s.Text(), "{")
		if !found {
			continue
		}
		if l, ok := parseLogLine([]byte("{" + text)); ok {
			lines = append(lines, l)
		}
	}
	return lines, oops.In("cli").Wrap(s.Err())
}

// parseLogLine returns false if the text is not a JSON object with an event number.
func parseLogLine(text []byte) (logLine, bool) {
	var l logLine
	all := map[string]any{}
	if json.Unmarshal(text, &l) != nil || json.Unmarshal(text, &all) != nil || l.Event == 0 {
		return l, false
	}
	for name, value := range all {
		if !slices.Contains(headerFields, name) {
			l.fields = append(l.fields, fmt.Sprintf("%s=%v", name, value))
		}
	}
	slices.Sort(l.fields)
	return l, true
}

// requestTimeline returns the lines that name a request and the related lines
// around them, in order of time.
func requestTimeline(lines []logLine, request string) []logLine {
	var requestLines []logLine
	for _, l := range lines {
		if l.Request == request {
			requestLines = append(requestLines, l)
		}
	}
	if len(requestLines) == 0 {
		return nil
	}
	slices.SortStableFunc(requestLines, byTime)
	from, to := requestLines[0].Time.Add(-contextBefore), requestLines[len(requestLines)-1].Time.Add(contextAfter)
	timeline := requestLines
	for _, l := range lines {
		if l.Request != "" || l.Time.Before(from) || l.Time.After(to) {
			continue
		}
		if isRelated(l, requestLines) {
			timeline = append(timeline, l)
		}
	}
	slices.SortStableFunc(timeline, byTime)
	return timeline
}

func byTime(a, b logLine) int { return a.Time.Compare(b.Time) }

// isRelated reports whether a line is about an endpoint that the request was sent
// to, or names no endpoint and is from a process that handled the request.
func isRelated(l logLine, requestLines []logLine) bool {
	for _, r := range requestLines {
		if l.Instance == r.Instance && l.Endpoint == "" {
			return true
		}
		if l.Endpoint != "" && strings.Contains(r.Endpoints, l.Endpoint) {
			return true
		}
	}
	return false
}
