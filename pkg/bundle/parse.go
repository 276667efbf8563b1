package bundle

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"

	"github.com/cicadareel/cicadareel/internal/stricttoml"
)

// Problem is one error in a bundle.
type Problem = stricttoml.Problem

// InvalidError reports every problem of an invalid bundle.
type InvalidError struct{ Problems []Problem }

func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems)+1)
	lines = append(lines, fmt.Sprintf("bundle has %d problem(s):", len(e.Problems)))
	for _, p := range e.Problems {
		lines = append(lines, fmt.Sprintf("  line %d: %s: %s", p.Line, p.Key, p.Text))
	}
	return strings.Join(lines, "\n")
}

// Parse decodes and validates a TOML bundle. The error is an *InvalidError with
// every problem found.
func Parse(content []byte) (*Bundle, error) {
	b := &Bundle{}
	if problems := stricttoml.Decode(content, b); len(problems) > 0 {
		return nil, &InvalidError{Problems: problems}
	}
	if problems := findProblems(b, nil); len(problems) > 0 {
		return nil, &InvalidError{Problems: findProblems(b, keyLines(content))}
	}
	b.buildIndex()
	return b, nil
}

// findProblems validates the bundle. lines maps key paths to line numbers; it
// may be nil.
func findProblems(b *Bundle, lines map[string]int) []Problem {
	c := newChecker(lines)
	c.check(b)
	return c.problems
}

// keyLines maps each key path, with array indices as in "groups[2].name", to
// its line in the content. If the content is not valid TOML, it returns the keys
// before the error.
func keyLines(content []byte) map[string]int {
	lines := map[string]int{}
	counts := map[string]int{}
	prefix := ""
	counter := lineCounter{content: content, line: 1}
	p := unstable.Parser{}
	p.Reset(content)
	for p.NextExpression() {
		e := p.Expression()
		key, line := expressionKey(e, &counter)
		switch e.Kind {
		case unstable.ArrayTable:
			prefix = fmt.Sprintf("%s[%d]", key, counts[key])
			counts[key]++
			lines[prefix] = line
		case unstable.Table:
			prefix = key
			lines[prefix] = line
		case unstable.KeyValue:
			lines[joinKey(prefix, key)] = line
		}
	}
	return lines
}

// lineCounter converts ascending byte offsets to line numbers in one pass over
// the content.
type lineCounter struct {
	content []byte
	offset  int
	line    int
}

func (c *lineCounter) lineAt(offset int) int {
	if offset > c.offset {
		c.line += bytes.Count(c.content[c.offset:offset], []byte{'\n'})
		c.offset = offset
	}
	return c.line
}

// expressionKey returns the dotted key of an expression and its line.
func expressionKey(e *unstable.Node, counter *lineCounter) (string, int) {
	parts := []string{}
	line := 0
	it := e.Key()
	for it.Next() {
		n := it.Node()
		if line == 0 {
			line = counter.lineAt(int(n.Raw.Offset))
		}
		parts = append(parts, string(n.Data))
	}
	return strings.Join(parts, "."), line
}

func joinKey(prefix, key string) string {
	if prefix == "" {
		return key
	}
	return prefix + "." + key
}
