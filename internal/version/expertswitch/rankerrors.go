package expertswitch

import (
	"fmt"
	"slices"
	"strings"
)

// RankErrors reports the errors of several ranks, by kind.
type RankErrors struct{ Kinds []RankErrorKind }

// RankErrorKind is the number of ranks whose errors have the same type, and one
// of the errors.
type RankErrorKind struct {
	Count   int
	Example error
}

func (e *RankErrors) Error() string {
	kinds := make([]string, len(e.Kinds))
	for i, k := range e.Kinds {
		kinds[i] = fmt.Sprintf("%d ranks: %v", k.Count, k.Example)
	}
	return strings.Join(kinds, "; ")
}

// Unwrap returns one error of each kind.
func (e *RankErrors) Unwrap() []error {
	var examples []error
	for _, k := range e.Kinds {
		examples = append(examples, k.Example)
	}
	return examples
}

// joinRankErrors returns nil if no rank has an error.
func joinRankErrors(errs []error) error {
	joined := &RankErrors{}
	for _, err := range errs {
		if err == nil {
			continue
		}
		same := func(k RankErrorKind) bool { return fmt.Sprintf("%T", k.Example) == fmt.Sprintf("%T", err) }
		if i := slices.IndexFunc(joined.Kinds, same); i >= 0 {
			joined.Kinds[i].Count++
			continue
		}
		joined.Kinds = append(joined.Kinds, RankErrorKind{Count: 1, Example: err})
	}
	if len(joined.Kinds) == 0 {
		return nil
	}
	return joined
}
