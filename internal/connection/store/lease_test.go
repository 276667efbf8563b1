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
			l := store.NewLease(ctx, s, "experts", holder, func() bool { return true }, events.NewLog("panic", holder))
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
