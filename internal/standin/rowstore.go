package standin

import (
	"bytes"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeRow is a row on the wire of the users' platform.
type storeRow struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// SchemaVersion is the revision of the row.
	SchemaVersion uint64 `json:"schema_version"`
	Deleted       bool   `json:"deleted,omitempty"`
}

// StoreFaults are the faults of a RowStore.
type StoreFaults struct {
	// Status is the status of the response to every call, without effect; 0 for none.
	Status int
	// Silent leaves every call without response and without effect.
	Silent bool
	// Delay delays every call.
	Delay time.Duration
	// LoseWrites commits transactions but sends no response.
	LoseWrites bool
	// LoseHistory responds with status 410 to every feed.
	LoseHistory bool
}

// RowStore stands in for the store of the users' platform. It has rows with revisions,
// feeds of changes, and conditional transactions.
type RowStore struct {
	mu       sync.Mutex
	rows     map[string]storeRow
	history  []storeRow
	revision uint64
	// historyStart is the lowest revision from which a feed can continue.
	historyStart uint64
	// lost has the rows from before the last restore.
	lost map[string]storeRow
	// era counts the restores, from 1 on.
	era     uint64
	faults  StoreFaults
	calls   int
	changed chan struct{}
}

// NewRowStore returns an empty store.
func NewRowStore() *RowStore {
	return &RowStore{rows: map[string]storeRow{}, era: 1, changed: make(chan struct{})}
}

// SetFaults replaces the faults. They also apply to feeds that are waiting.
func (s *RowStore) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wakeFeeds()
}

// DropHistory drops the history of changes, so that feeds from earlier revisions get
// status 410.
func (s *RowStore) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.historyStart = nil, s.revision
	s.revision++
	s.wakeFeeds()
}

// StoreCopy is a copy of the content of a RowStore.
type StoreCopy struct {
	rows                   map[string]storeRow
	history                []storeRow
	revision, historyStart uint64
}

// Copy returns a copy of the present content.
func (s *RowStore) Copy() StoreCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return StoreCopy{rows: maps.Clone(s.rows), history: slices.Clone(s.history), revision: s.revision, historyStart: s.historyStart}
}

// Restore replaces the content by a copy and begins the next era. Revisions after that of
// the copy are issued again.
func (s *RowStore) Restore(c StoreCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost = s.rows
	s.rows, s.history = maps.Clone(c.rows), slices.Clone(c.history)
	s.revision, s.historyStart = c.revision, c.historyStart
	s.era++
	s.wakeFeeds()
}

// Rewrite writes the rows of operators and endpoints again that the last restore lost,
// and removes those that it brought back.
func (s *RowStore) Rewrite() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, row := range s.lost {
		if now, ok := s.rows[id]; row.Table != leaseTable && (!ok || !bytes.Equal(now.Value, row.Value)) {
			s.revision++
			s.write(row)
		}
	}
	for id, row := range s.rows {
		if _, ok := s.lost[id]; row.Table != leaseTable && !ok {
			s.revision++
			s.write(storeRow{Table: row.Table, Part: row.Part, Key: row.Key, Deleted: true})
		}
	}
	s.wakeFeeds()
}

// leaseTable is the table that entries write.
const leaseTable = "leases"

// Calls returns the number of HTTP calls so far.
func (s *RowStore) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes a row with a JSON value as an operator or an endpoint does. Faults do not
// apply.
func (s *RowStore) Put(table, key string, value any) {
	content, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.PutRaw(table, key, content)
}

// PutRaw is like Put for a value of any bytes.
func (s *RowStore) PutRaw(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(storeRow{Table: table, Key: key, Value: value})
	s.wakeFeeds()
}

// Remove deletes a row. Faults do not apply.
func (s *RowStore) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(storeRow{Table: table, Key: key, Deleted: true})
	s.wakeFeeds()
}

// write stores or deletes a row at the current revision. The caller holds mu.
func (s *RowStore) write(r storeRow) {
	r.SchemaVersion = s.revision
	id := strings.Join([]string{r.Table, r.Part, r.Key}, "\x00")
	if r.Deleted {
		delete(s.rows, id)
	} else {
		s.rows[id] = r
	}
	s.history = append(s.history, r)
}

// wakeFeeds wakes the waiting feeds. The caller holds mu.
func (s *RowStore) wakeFeeds() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Handler serves the platform's calls about rows.
func (s *RowStore) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/rows-get", s.withFaults(s.handleGet))
	mux.HandleFunc("GET /-/rows-feed", s.withFaults(s.handleFeed))
	mux.HandleFunc("POST /-/rows-tx", s.withFaults(s.handleTransaction))
	return mux
}

// withFaults counts the calls of a handler and applies the faults to them.
func (s *RowStore) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		f := s.faults
		s.calls++
		s.mu.Unlock()
		switch {
		case f.Silent:
			// The server notices that the caller is gone only once the body is read.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		case f.Status != 0:
			s.writeHead(w, f.Status)
		default:
			time.Sleep(f.Delay)
			next(w, r)
		}
	}
}

// writeHead writes the head of a response, which names the era.
func (s *RowStore) writeHead(w http.ResponseWriter, status int) {
	s.mu.Lock()
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	s.mu.Unlock()
	w.WriteHeader(status)
}

// respondRows writes a response with rows and the revision of the store.
func (s *RowStore) respondRows(w http.ResponseWriter, status int, rows []storeRow, revision uint64) {
	if rows == nil {
		rows = []storeRow{}
	}
	s.writeHead(w, status)
	_ = json.NewEncoder(w).Encode(struct {
		Rows          []storeRow `json:"rows"`
		HasMore       bool       `json:"has_more"`
		SchemaVersion uint64     `json:"schema_version"`
		NowMs         int64      `json:"now_ms"`
	}{rows, false, revision, time.Now().UnixMilli()})
}

// handleGet responds with the rows of a part of a table, from a key on.
func (s *RowStore) handleGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	var found []storeRow
	for _, row := range s.rows {
		if row.Table == q.Get("table") && row.Part == q.Get("part") && row.Key >= q.Get("from") {
			found = append(found, row)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	slices.SortFunc(found, func(a, b storeRow) int { return strings.Compare(a.Key, b.Key) })
	s.respondRows(w, http.StatusOK, found, revision)
}

// handleFeed responds with the changes of a table since a revision. If there are none, it
// waits for one until wait_ms have passed.
func (s *RowStore) handleFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, _ := strconv.ParseUint(q.Get("since_revision"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		changed, faults := s.changed, s.faults
		dropped := faults.LoseHistory || since < s.historyStart || since > s.revision
		found := s.changesSince(q, since)
		revision := s.revision
		s.mu.Unlock()
		switch {
		case faults.Status != 0:
			s.writeHead(w, faults.Status)
			return
		case faults.Silent:
			<-r.Context().Done()
			return
		case dropped:
			s.writeHead(w, http.StatusGone)
			return
		case len(found) > 0:
			s.respondRows(w, http.StatusOK, found, revision)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-deadline:
			s.respondRows(w, http.StatusOK, nil, revision)
			return
		}
	}
}

// changesSince returns the last change of each row of a table since a revision. The
// caller holds mu.
func (s *RowStore) changesSince(q url.Values, since uint64) []storeRow {
	latest := map[string]storeRow{}
	for _, row := range s.history {
		if row.Table == q.Get("table") && row.SchemaVersion > since {
			latest[row.Part+"\x00"+row.Key] = row
		}
	}
	var found []storeRow
	for _, row := range latest {
		found = append(found, row)
	}
	slices.SortFunc(found, func(a, b storeRow) int { return int(a.SchemaVersion) - int(b.SchemaVersion) })
	return found
}

// handleTransaction commits puts and removals if all rows have the expected revisions.
// Otherwise it responds with the rows that differ.
func (s *RowStore) handleTransaction(w http.ResponseWriter, r *http.Request) {
	var transaction struct {
		ExpectedRevision []storeRow `json:"expected_revision"`
		Puts             []storeRow `json:"puts"`
		Remove           []storeRow `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&transaction) != nil {
		s.writeHead(w, http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	var conflicts []storeRow
	for _, e := range transaction.ExpectedRevision {
		present := s.rows[strings.Join([]string{e.Table, e.Part, e.Key}, "\x00")]
		if present.SchemaVersion != e.SchemaVersion {
			conflicts = append(conflicts, present)
		}
	}
	if len(conflicts) == 0 {
		s.revision++
		for _, row := range transaction.Puts {
			s.write(row)
		}
		for _, row := range transaction.Remove {
			row.Deleted = true
			s.write(row)
		}
		s.wakeFeeds()
	}
	revision, lose := s.revision, s.faults.LoseWrites
	s.mu.Unlock()
	switch {
	case lose:
		<-r.Context().Done()
	case len(conflicts) > 0:
		s.respondRows(w, http.StatusPreconditionFailed, conflicts, revision)
	default:
		s.respondRows(w, http.StatusOK, nil, revision)
	}
}
