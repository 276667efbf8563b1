package entry

import (
	"fmt"
	"testing"

	"github.com/cicadareel/cicadareel/internal/request/gate"
	"github.com/cicadareel/cicadareel/internal/request/response"
)

// endedRun returns a run whose unread response has the size in bytes.
func endedRun(id string, size int) *run {
	r := &run{attempt: gate.Attempt{RequestID: id}, response: response.NewBuffer(true), kept: true}
	r.response.Write(make([]byte, size))
	r.response.End()
	return r
}

func TestEndedRunsAreBounded(t *testing.T) {
	for name, size := range map[string]int{"by bytes": 128 << 10, "by number": 1} {
		t.Run(name, func(t *testing.T) {
			s := newRuns()
			for i := range 3000 {
				r := endedRun(fmt.Sprint(i), size)
				s.add(r)
				s.markEnded(r, 1)
			}
			if len(s.byID) > maxKeptRuns || len(s.byID)*size > maxKeptBytes {
				t.Fatalf("%d runs of %d bytes are kept", len(s.byID), size)
			}
			if s.get("2999") == nil || s.get("0") != nil {
				t.Fatal("the newest run was dropped or the oldest was kept")
			}
			s.dropExpired(1 + maxKeptEpochs + 1)
			if len(s.byID) != 0 || s.endedBytes != 0 {
				t.Fatalf("%d runs and %d bytes are left after maxKeptEpochs", len(s.byID), s.endedBytes)
			}
		})
	}
}
