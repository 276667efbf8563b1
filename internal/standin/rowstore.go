package standin

import (
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeRow is a row of the users' platform on its wire.
type storeRow struct {
	Table         string `json:"table"`
	Part          string `json:"part"`
	Key           string `json:"key"`
	Value         []byte `json:"value,omitempty"`
	SchemaVersion uint64 `json:"schema_version"`
	Deleted       bool   `json:"deleted,omitempty"`
}

// StoreFaults says how a RowStore misbehaves.
type StoreFaults struct {
	// Status refuses every call with it, if it is not 0.
	Status int
	// Silent leaves every call unanswered and undone.
	Silent bool
	// Delay slows every answer.
	Delay time.Duration
	// LoseWrites carries transactions out and does not answer them.
	LoseWrites bool
}

// RowStore stands in for the store of the users' platform: rows with revisions,
// feeds and conditional transactions.
type RowStore struct {
	mu       sync.Mutex
	rows     map[string]storeRow
	history  []storeRow
	revision uint64
	// kept is the revision from which on history is kept.
	kept    uint64
	trouble StoreFaults
	calls   int
	changed chan struct{}
}

// NewRowStore returns an empty store.
func NewRowStore() *RowStore {
	return &RowStore{rows: map[string]storeRow{}, changed: make(chan struct{})}
}

// SetFaults sets how the store misbehaves from now on; waiting feeds end.
func (s *RowStore) SetFaults(t StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trouble = t
	s.signal()
}

// DropHistory drops the history of changes.
func (s *RowStore) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.kept = nil, s.revision
	s.revision++
	s.signal()
}

// Calls returns the number of calls so far.
func (s *RowStore) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes a row as an operator or an endpoint does; troubles do not apply.
func (s *RowStore) Put(table, key string, value any) {
	content, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.PutRaw(table, key, content)
}

// PutRaw writes any bytes.
func (s *RowStore) PutRaw(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(storeRow{Table: table, Key: key, Value: value})
	s.signal()
}

// Remove drops a row.
func (s *RowStore) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(storeRow{Table: table, Key: key, Deleted: true})
	s.signal()
}

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

func (s *RowStore) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Handler serves the platform's calls about rows.
func (s *RowStore) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/rows-get", s.guard(s.get))
	mux.HandleFunc("GET /-/rows-feed", s.guard(s.feed))
	mux.HandleFunc("POST /-/rows-tx", s.guard(s.transact))
	return mux
}

func (s *RowStore) guard(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		t := s.trouble
		s.calls++
		s.mu.Unlock()
		switch {
		case t.Silent:
			<-r.Context().Done()
		case t.Status != 0:
			w.WriteHeader(t.Status)
		default:
			time.Sleep(t.Delay)
			next(w, r)
		}
	}
}

func (s *RowStore) answer(w http.ResponseWriter, status int, rows []storeRow, revision uint64) {
	if rows == nil {
		rows = []storeRow{}
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(struct {
		Rows          []storeRow `json:"rows"`
		HasMore       bool       `json:"has_more"`
		SchemaVersion uint64     `json:"schema_version"`
		NowMs         int64      `json:"now_ms"`
	}{rows, false, revision, time.Now().UnixMilli()})
}

func (s *RowStore) get(w http.ResponseWriter, r *http.Request) {
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
	s.answer(w, http.StatusOK, found, revision)
}

func (s *RowStore) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, _ := strconv.ParseUint(q.Get("since_revision"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		changed, trouble := s.changed, s.trouble
		lost := since < s.kept
		found := s.since(q, since)
		revision := s.revision
		s.mu.Unlock()
		switch {
		case trouble.Status != 0:
			w.WriteHeader(trouble.Status)
			return
		case trouble.Silent:
			<-r.Context().Done()
			return
		case lost:
			w.WriteHeader(http.StatusGone)
			return
		case len(found) > 0:
			s.answer(w, http.StatusOK, found, revision)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-deadline:
			s.answer(w, http.StatusOK, nil, revision)
			return
		}
	}
}

func (s *RowStore) since(q url.Values, since uint64) []storeRow {
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

func (s *RowStore) transact(w http.ResponseWriter, r *http.Request) {
	var in struct {
		ExpectedRevision []storeRow `json:"expected_revision"`
		Puts             []storeRow `json:"puts"`
		Remove           []storeRow `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	var conflicts []storeRow
	for _, e := range in.ExpectedRevision {
		now := s.rows[strings.Join([]string{e.Table, e.Part, e.Key}, "\x00")]
		if now.SchemaVersion != e.SchemaVersion {
			conflicts = append(conflicts, now)
		}
	}
	if len(conflicts) == 0 {
		s.revision++
		for _, row := range in.Puts {
			s.write(row)
		}
		for _, row := range in.Remove {
			row.Deleted = true
			s.write(row)
		}
		s.signal()
	}
	revision, lose := s.revision, s.trouble.LoseWrites
	s.mu.Unlock()
	switch {
	case lose:
		<-r.Context().Done()
	case len(conflicts) > 0:
		s.answer(w, http.StatusPreconditionFailed, conflicts, revision)
	default:
		s.answer(w, http.StatusOK, nil, revision)
	}
}
