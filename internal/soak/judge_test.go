package soak

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/cicadareel/cicadareel/internal/standin"
)

// rollbackSlack is how much later than a version was seen a request must be sent
// to count as handled by an older one.
const rollbackSlack = 250 * time.Millisecond

// readRuns reads what endpoints ran, by request.
func readRuns(path string) (map[string][]standin.RunLogLine, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	runs := map[string][]standin.RunLogLine{}
	for lines := bufio.NewScanner(file); lines.Scan(); {
		var r standin.RunLogLine
		if json.Unmarshal(lines.Bytes(), &r) == nil {
			runs[r.ID] = append(runs[r.ID], r)
		}
	}
	return runs, nil
}

// judge returns the promises that an answer breaks.
func (a answer) judge(runs []standin.RunLogLine) []string {
	var broken []string
	claim := func(holds bool, promise string) {
		if !holds {
			broken = append(broken, fmt.Sprintf("%s %s at entry-%d/%d, status %d, whole %v, ran %d times: %s",
				a.kind, a.id, a.entry, a.incarnation, a.status, a.whole, len(runs), promise))
		}
	}
	claim(len(runs) <= 2, "runs no more often than the route allows")
	claim(a.kind != "book" || len(runs) <= 1, "what may run once does")
	claim(!promisesNotRun(a.status) || len(runs) == 0, "what is said not to have run has not")
	if a.status != http.StatusOK {
		return broken
	}
	claim(strings.HasSuffix(a.proof, "."+a.id), "an answer has its endpoint's proof")
	if a.whole {
		claim(a.right(), "an answer that looks whole is")
	} else {
		claim(strings.HasPrefix(a.expected(), a.body), "an answer that breaks off is right so far")
	}
	return broken
}

func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// judgeVersions returns the processes that went back to an older configuration.
func judgeVersions(answers []answer) []string {
	var broken []string
	type process struct{ entry, incarnation int }
	type sight struct {
		version int
		at      time.Time
	}
	seen := map[process][]sight{}
	slices.SortFunc(answers, func(a, b answer) int { return a.ended.Compare(b.ended) })
	for _, a := range answers {
		var version int
		if _, err := fmt.Sscanf(a.kind, "mark-%d", &version); err != nil || a.status != http.StatusOK {
			continue
		}
		p := process{a.entry, a.incarnation}
		for _, s := range seen[p] {
			if s.version > version && a.sent.After(s.at.Add(rollbackSlack)) {
				broken = append(broken, fmt.Sprintf("entry-%d/%d went back to version %d after %d", a.entry, a.incarnation, version, s.version))
			}
		}
		seen[p] = append(seen[p], sight{version, a.ended})
	}
	return broken
}

// judge returns every broken promise of the whole run.
func (d *deployment) judge(answers []answer) []string {
	runs, err := readRuns(d.runsFile())
	if err != nil {
		return []string{err.Error()}
	}
	var broken []string
	for _, a := range answers {
		broken = append(broken, a.judge(runs[a.id])...)
	}
	broken = append(broken, judgeVersions(slices.Clone(answers))...)
	var violations []string
	_ = json.Unmarshal(d.send(http.MethodGet, "http://"+d.nodes[0].address+"/violations", nil), &violations)
	for _, v := range violations {
		broken = append(broken, "two expert maps in one step: "+v)
	}
	for _, e := range d.entries {
		if e.endedItself() {
			broken = append(broken, e.name+" ended by itself")
		}
	}
	return broken
}

// lateRuns returns runs at endpoints that a predicate names, begun in a time.
func (d *deployment) lateRuns(from time.Time, at func(*endpointNode) bool) []string {
	runs, err := readRuns(d.runsFile())
	if err != nil {
		return []string{err.Error()}
	}
	barred := map[string]bool{}
	for _, n := range d.nodes {
		barred[n.name] = at(n)
	}
	var late []string
	for id, all := range runs {
		for _, r := range all {
			if barred[r.Endpoint] && r.At.After(from) {
				late = append(late, fmt.Sprintf("%s ran at %s %v too late", id, r.Endpoint, r.At.Sub(from)))
			}
		}
	}
	return late
}
