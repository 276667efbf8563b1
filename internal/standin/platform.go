package standin

import (
	"encoding/json"
	"errors"
	"fmt"
	"github.com/cicadareel/cicadareel/internal/table"
	"io"
	"net/http"
	"strconv"

	"github.com/cicadareel/cicadareel/internal/connection/store"
)

// Handler serves the table, objects, instance list and fault switches.
func (t *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /table/row", func(w http.ResponseWriter, r *http.Request) {
		row, err := t.Get(r.Context(), r.FormValue("key"))
		reply(w, row, err)
	})
	mux.HandleFunc("GET /table/rows", func(w http.ResponseWriter, r *http.Request) {
		rows, err := t.Scan(r.Context(), r.FormValue("prefix"))
		reply(w, rows, err)
	})
	mux.HandleFunc("POST /table/commit", func(w http.ResponseWriter, r *http.Request) {
		var writes []table.Write
		if !receive(w, r, &writes) {
			return
		}
		results, err := t.Commit(r.Context(), writes)
		reply(w, results, err)
	})
	mux.HandleFunc("PUT /objects/{name}", func(w http.ResponseWriter, r *http.Request) {
		content, err := io.ReadAll(r.Body)
		if err == nil {
			err = t.Put(r.Context(), r.PathValue("name"), content)
		}
		reply(w, nil, err)
	})
	mux.HandleFunc("GET /objects/{name}", func(w http.ResponseWriter, r *http.Request) {
		content, err := t.Fetch(r.Context(), r.PathValue("name"))
		if err != nil {
			reply(w, nil, err)
			return
		}
		_, _ = w.Write(content)
	})
	mux.HandleFunc("GET /instances", func(w http.ResponseWriter, r *http.Request) {
		list, err := t.List(r.Context())
		tag := fmt.Sprintf("%q", strconv.Itoa(t.listVersion()))
		w.Header().Set("ETag", tag)
		if err == nil && r.Header.Get("If-None-Match") == tag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		reply(w, list, err)
	})
	mux.HandleFunc("PUT /instances", func(w http.ResponseWriter, r *http.Request) {
		var list []store.Instance
		if receive(w, r, &list) {
			t.SetInstances(list)
		}
	})
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		var f PlatformFaults
		if receive(w, r, &f) {
			t.SetFaults(f)
		}
	})
	return mux
}

func reply(w http.ResponseWriter, value any, err error) {
	var status *store.StatusError
	switch {
	case errors.As(err, &status):
		w.WriteHeader(status.Status)
	case err != nil:
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		_ = json.NewEncoder(w).Encode(value)
	}
}

func receive(w http.ResponseWriter, r *http.Request, value any) bool {
	if err := json.NewDecoder(r.Body).Decode(value); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
