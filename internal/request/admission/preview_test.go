package admission

import (
	"testing"
	"testing/synctest"
)

// TestPreviewChangesNoDecision checks that a preview says what is decided next, and that the
// decisions with previews between them are those without.
func TestPreviewChangesNoDecision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		plan := Plan{Limits: map[string]Limit{"a": {InFlight: 5, Demand: 50, NewFraction: 0.3}}}
		load := Load{Accounts: map[string]Demand{"a": {New: 1}}}
		asked, alone := NewController(nil, nil), NewController(nil, nil)
		for _, c := range []*Controller{asked, alone} {
			l := c.group("g").limiter
			l.Apply(plan, load)
			// The credit begins at random, and the share with what the entry measures.
			l.shares["a"].newCredit, l.shares["a"].inFlight, l.total = 0, 5, 5
		}
		for i := range 20 {
			r := Request{Account: "a", Cost: 1, Returned: i%5 == 4}
			for range 3 {
				asked.Preview("g", r)
			}
			preview, _, _ := asked.Preview("g", r)
			got, _ := asked.Admit("g", r)
			want, _ := alone.Admit("g", r)
			if got != want || preview != got {
				t.Errorf("request %d: decision %+v, announced as %+v, without previews %+v", i, got, preview, want)
			}
		}
	})
}
