package soak

import (
	"bufio"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/cicadareel/cicadareel/internal/standin"
)

// rollbackSlack is the time for which an entry may use an older configuration version
// after one of its responses showed a newer one. If a request that is sent later is
// handled by an older version, it counts as a rollback.
const rollbackSlack = 250 * time.Millisecond

// readRuns reads the runs at all endpoints, by the id of the request.
func readRuns(path string) (map[string][]standin.RunLogLine, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	runs := map[string][]standin.RunLogLine{}
	for lines := bufio.NewScanner(file); lines.Scan(); {
		var line standin.RunLogLine
		if json.Unmarshal(lines.Bytes(), &line) == nil {
			runs[line.ID] = append(runs[line.ID], line)
		}
	}
	return runs, nil
}

// violations returns the guarantees that the response violates, given the runs of its
// request.
func (r response) violations(runs []standin.RunLogLine) []string {
	var failures []string
	check := func(holds bool, guarantee string) {
		if !holds {
			failures = append(failures, fmt.Sprintf("%s %s at entry-%d/%d, status %d, complete %v, ran %d times, violates: %s",
				r.kind, r.id, r.entry, r.incarnation, r.status, r.complete, len(runs), guarantee))
		}
	}
	check(len(runs) <= 2, "a request runs at most as often as its route allows")
	check(r.kind != "book" || len(runs) <= 1, "a booking runs at most once")
	check(!meansNotRun(r.status) || len(runs) == 0, "a request reported as not run did not run")
	if r.status != http.StatusOK {
		return failures
	}
	check(strings.HasSuffix(r.signature, "."+r.id), "a response has its endpoint's signature for the request")
	if r.complete {
		check(r.correct(), "a complete response is correct")
	} else {
		check(strings.HasPrefix(r.expected(), r.body), "an incomplete response is a prefix of the correct one")
	}
	return failures
}

// meansNotRun reports whether the status tells clients that the request did not run.
func meansNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// configRollbacks returns a failure for each response that shows that an entry's process
// went back to an older configuration version.
func configRollbacks(responses []response) []string {
	var failures []string
	type process struct{ entry, incarnation int }
	type sighting struct {
		version int
		at      time.Time
	}
	seen := map[process][]sighting{}
	slices.SortFunc(responses, func(a, b response) int { return a.ended.Compare(b.ended) })
	for _, r := range responses {
		var version int
		if _, err := fmt.Sscanf(r.kind, "mark-%d", &version); err != nil || r.status != http.StatusOK {
			continue
		}
		p := process{r.entry, r.incarnation}
		for _, s := range seen[p] {
			if s.version > version && r.sent.After(s.at.Add(rollbackSlack)) {
				failures = append(failures, fmt.Sprintf("entry-%d/%d went back to version %d after %d", r.entry, r.incarnation, version, s.version))
			}
		}
		seen[p] = append(seen[p], sighting{version, r.ended})
	}
	return failures
}

// violations returns all violations of the run: by responses, by ranks that used two
// expert maps in one step, and by entries whose process exited unexpectedly.
func (d *deployment) violations(responses []response) []string {
	runs, err := readRuns(d.runsFile())
	if err != nil {
		return []string{err.Error()}
	}
	var failures []string
	for _, r := range responses {
		failures = append(failures, r.violations(runs[r.id])...)
	}
	failures = append(failures, crowdRuns(slices.Collect(maps.Keys(runs)))...)
	failures = append(failures, configRollbacks(slices.Clone(responses))...)
	var mapViolations []string
	_ = json.Unmarshal(d.send(http.MethodGet, "http://"+d.nodes[0].address+"/violations", nil), &mapViolations)
	for _, v := range mapViolations {
		failures = append(failures, "two expert maps in one step: "+v)
	}
	for _, e := range d.entries {
		if e.exitedUnexpectedly() {
			failures = append(failures, e.name+" exited unexpectedly")
		}
	}
	return failures
}

// runsAfter returns a failure for each run that began after the given time at an endpoint
// that the predicate selects.
func (d *deployment) runsAfter(from time.Time, selects func(*endpointNode) bool) []string {
	runs, err := readRuns(d.runsFile())
	if err != nil {
		return []string{err.Error()}
	}
	selected := map[string]bool{}
	for _, n := range d.nodes {
		selected[n.name] = selects(n)
	}
	var late []string
	for id, all := range runs {
		for _, l := range all {
			if selected[l.Endpoint] && l.At.After(from) {
				late = append(late, fmt.Sprintf("%s ran at %s, %v too late", id, l.Endpoint, l.At.Sub(from)))
			}
		}
	}
	return late
}
