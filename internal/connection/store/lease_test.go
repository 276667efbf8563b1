package store_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cicadareel/cicadareel/internal/connection/store"
	"github.com/cicadareel/cicadareel/internal/events"
	"github.com/cicadareel/cicadareel/internal/table"
)

// leaseRow is a store with the row of one lease. Other changes raise its revision.
type leaseRow struct {
	row    table.Row
	latest table.Revision
	// cut names the holder whose calls fail. Its last write is in late.
	cut  string
	late table.Write
}

// leaseClient is the store as one holder reaches it.
type leaseClient struct {
	*leaseRow
	holder string
}

func (c leaseClient) GetLease(ctx context.Context, name string) (table.Row, error) {
	if c.cut == c.holder {
		return table.Row{}, &store.UnavailableError{Call: name, Cause: context.DeadlineExceeded}
	}
	return c.leaseRow.GetLease(ctx, name)
}

func (c leaseClient) PutLease(ctx context.Context, name string, w table.Write) (table.WriteResult, error) {
	if c.cut == c.holder {
		c.late = w
		return table.WriteResult{}, &store.UnavailableError{Call: name, Cause: context.DeadlineExceeded}
	}
	return c.leaseRow.PutLease(ctx, name, w)
}

func (s *leaseRow) GetLease(context.Context, string) (table.Row, error) { return s.row, nil }

func (s *leaseRow) PutLease(_ context.Context, _ string, w table.Write) (table.WriteResult, error) {
	if s.row.Number != w.Expect {
		return table.WriteResult{}, nil
	}
	s.latest.Number++
	s.row = table.Row{Value: w.Value, Revision: s.latest}
	return table.WriteResult{Applied: true, Row: s.row}, nil
}

// restore brings back a copy with the row at a revision.
func (s *leaseRow) restore(row table.Row, number uint64) {
	s.row, s.latest = row, table.Revision{Era: s.latest.Era + 1, Number: number}
}

// withLease runs a body with a store at revision 100 and a function that starts a holder.
func withLease(t *testing.T, body func(s *leaseRow, start func(holder string) *store.Lease)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		s := &leaseRow{latest: table.Revision{Era: 1, Number: 100}}
		var started []*store.Lease
		body(s, func(holder string) *store.Lease {
			l := store.NewLease(ctx, leaseClient{leaseRow: s, holder: holder}, "experts", holder, func() bool { return true }, events.NewLog("panic", holder))
			started = append(started, l)
			time.Sleep(5 * time.Second)
			return l
		})
		stop()
		for _, l := range started {
			l.Wait()
		}
	})
}

func expectHigher(t *testing.T, got, than uint64) {
	t.Helper()
	if got <= than {
		t.Errorf("fencing token %d is not higher than %d, which was issued before", got, than)
	}
}

func TestFencingTokensRiseWhenTheStoreLosesTheLease(t *testing.T) {
	withLease(t, func(s *leaseRow, start func(string) *store.Lease) {
		l := start("a")
		before := l.NextFencingToken()
		s.restore(table.Row{}, 50)
		time.Sleep(2 * time.Second)
		expectHigher(t, l.NextFencingToken(), before)
	})
}

func TestFencingTokensRiseWhenTheStoreGivesTheLeaseBackToAnEarlierHolder(t *testing.T) {
	withLease(t, func(s *leaseRow, start func(string) *store.Lease) {
		a := start("a")
		held, at := s.row, s.latest.Number
		a.MarkLost("test")
		s.row.Value = []byte(`{}`)
		b := start("b")
		highest := max(a.NextFencingToken(), b.NextFencingToken())
		if highest == 0 {
			t.Fatal("nobody holds the lease")
		}
		s.restore(held, at)
		time.Sleep(5 * time.Second)
		expectHigher(t, max(a.NextFencingToken(), b.NextFencingToken()), highest)
	})
}

func TestAcquisitionsInTwoErasDiffer(t *testing.T) {
	withLease(t, func(s *leaseRow, start func(string) *store.Lease) {
		l := start("a")
		first, _ := l.Held()
		s.restore(table.Row{}, first.Number-1)
		time.Sleep(2 * time.Second)
		if second, held := l.Held(); !held || first == second {
			t.Errorf("Held() = %v, %v after the restore, want another acquisition than %v", second, held, first)
		}
	})
}

// holders returns the leases that are held.
func holders(leases ...*store.Lease) []*store.Lease {
	var held []*store.Lease
	for _, l := range leases {
		if _, ok := l.Held(); ok {
			held = append(held, l)
		}
	}
	return held
}

// expectOneHolder checks that one process holds the lease and issues a token that is
// higher than those before.
func expectOneHolder(t *testing.T, than uint64, leases ...*store.Lease) {
	t.Helper()
	held := holders(leases...)
	if len(held) != 1 {
		t.Fatalf("%d processes hold the lease, want 1", len(held))
	}
	expectHigher(t, held[0].NextFencingToken(), than)
}

func TestFencingTokensRiseWhenTheCopyHasTheClaimOfAHolderThatWasCutOff(t *testing.T) {
	withLease(t, func(s *leaseRow, start func(string) *store.Lease) {
		a := start("a")
		copied, at := s.row, s.latest.Number
		s.cut = "a"
		b := start("b")
		highest := max(a.NextFencingToken(), b.NextFencingToken())
		s.restore(copied, at)
		s.cut = ""
		time.Sleep(5 * time.Second)
		expectOneHolder(t, highest, a, b)
	})
}

func TestFencingTokensRiseWhenAWriteOfBeforeTheRestoreSucceedsLate(t *testing.T) {
	withLease(t, func(s *leaseRow, start func(string) *store.Lease) {
		a := start("a")
		s.cut = "a"
		time.Sleep(time.Second)
		expected := s.late.Expect
		// In the new era, another holder's row has the number that the late write expects.
		s.restore(table.Row{}, expected-1)
		b := start("b")
		s.row.Number = expected
		highest := b.NextFencingToken()
		if result, _ := s.PutLease(t.Context(), "experts", s.late); !result.Applied {
			t.Fatal("the late write did not succeed")
		}
		s.cut = ""
		time.Sleep(5 * time.Second)
		expectOneHolder(t, highest, a, b)
	})
}

// tokenAt returns a fencing token of a lease that is acquired after a revision.
func tokenAt(t *testing.T, era, number uint64) uint64 {
	t.Helper()
	var token uint64
	withLease(t, func(s *leaseRow, start func(string) *store.Lease) {
		s.latest = table.Revision{Era: era, Number: number}
		token = start("a").NextFencingToken()
	})
	return token
}

func TestFencingTokensRiseOverErasAlsoAsFloatingPointNumbers(t *testing.T) {
	before := uint64(0)
	for _, era := range []uint64{0, 1, 2, 3, 64, 4095} {
		for _, number := range []uint64{7, 8, 1 << 31} {
			token := tokenAt(t, era, number)
			if float64(token) <= float64(before) {
				t.Errorf("token %d at revision %d of era %d is not higher than %d, also with 53 bits", token, number, era, before)
			}
			before = token
		}
	}
}

func TestNoFencingTokenIsIssuedThatCannotBeRepresented(t *testing.T) {
	if token := tokenAt(t, 4096, 7); token != 0 {
		t.Errorf("token in era 4096 = %d, which is lower than those before; want none", token)
	}
}
