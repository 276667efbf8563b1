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
	// contextBefore and explainAfter bound the events of other kinds that are
	// shown around a request: what an entry believed while it decided.
	contextBefore = 5 * time.Second
	contextAfter  = time.Second
	// maxLogLineBytes bounds one line of a log, in bytes.
	maxLogLineBytes = 1 << 20
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "tell the story of one request from the logs of several processes",
		ArgsUsage: "REQUEST-ID LOG-FILE...",
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() < 2 {
				return &UsageError{Problem: "give a request id and at least one log file"}
			}
			var lines []logLine
			for _, path := range c.Args().Slice()[1:] {
				read, err := readLog(path)
				if err != nil {
					return err
				}
				lines = append(lines, read...)
			}
			story := requestTimeline(lines, c.Args().First())
			if len(story) == 0 {
				return &UsageError{Problem: "no line of these logs names the request " + c.Args().First()}
			}
			for _, l := range story {
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
	// Endpoints are those that a request was sent to, separated by commas.
	Endpoints string `json:"endpoints"`
	// fields holds everything else, in order of names.
	fields []string
}

// String returns the line for people.
func (l logLine) String() string {
	return fmt.Sprintf("%s  %-20s %d %s  %s", l.Time.Format("15:04:05.000"), l.Instance, l.Event, l.Text, strings.Join(l.fields, " "))
}

// headerFields are the fields that String prints by themselves.
var headerFields = []string{"time", "instance", "event", "msg", "level", "request"}

func readLog(path string) ([]logLine, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, oops.In("cli").With("path", path).Wrap(err)
	}
	defer func() { _ = f.Close() }()
	return parseLog(f)
}

// parseLog reads JSON lines, which may have something before them; other lines
// are passed over.
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

// requestTimeline returns the lines about a request, and those from its entry and about
// its endpoints around it, in order of time.
func requestTimeline(lines []logLine, request string) []logLine {
	var own []logLine
	for _, l := range lines {
		if l.Request == request {
			own = append(own, l)
		}
	}
	if len(own) == 0 {
		return nil
	}
	slices.SortStableFunc(own, byTime)
	from, to := own[0].Time.Add(-contextBefore), own[len(own)-1].Time.Add(contextAfter)
	story := own
	for _, l := range lines {
		if l.Request != "" || l.Time.Before(from) || l.Time.After(to) {
			continue
		}
		if isRelated(l, own) {
			story = append(story, l)
		}
	}
	slices.SortStableFunc(story, byTime)
	return story
}

func byTime(a, b logLine) int { return a.Time.Compare(b.Time) }

// isRelated reports whether a line is from a process that handled the request, or
// about an endpoint that it was sent to.
func isRelated(l logLine, own []logLine) bool {
	for _, o := range own {
		if l.Instance == o.Instance && l.Endpoint == "" {
			return true
		}
		if l.Endpoint != "" && strings.Contains(o.Endpoints, l.Endpoint) {
			return true
		}
	}
	return false
}
