package standin

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/cicadareel/cicadareel/internal/connection/store"
	"github.com/cicadareel/cicadareel/internal/table"
)

// Handler serves the table, the objects, the instance list and PUT /faults.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /table/row", func(w http.ResponseWriter, r *http.Request) {
		row, err := p.Get(r.Context(), r.FormValue("key"))
		respond(w, row, err)
	})
	mux.HandleFunc("GET /table/rows", func(w http.ResponseWriter, r *http.Request) {
		rows, err := p.Scan(r.Context(), r.FormValue("prefix"))
		respond(w, rows, err)
	})
	mux.HandleFunc("POST /table/commit", func(w http.ResponseWriter, r *http.Request) {
		var writes []table.Write
		if !decodeBody(w, r, &writes) {
			return
		}
		results, err := p.Commit(r.Context(), writes)
		respond(w, results, err)
	})
	mux.HandleFunc("PUT /objects/{name}", func(w http.ResponseWriter, r *http.Request) {
		content, err := io.ReadAll(r.Body)
		if err == nil {
			err = p.Put(r.Context(), r.PathValue("name"), content)
		}
		respond(w, nil, err)
	})
	mux.HandleFunc("GET /objects/{name}", func(w http.ResponseWriter, r *http.Request) {
		content, err := p.Fetch(r.Context(), r.PathValue("name"))
		if err != nil {
			respond(w, nil, err)
			return
		}
		_, _ = w.Write(content)
	})
	mux.HandleFunc("GET /instances", func(w http.ResponseWriter, r *http.Request) {
		list, err := p.List(r.Context())
		tag := fmt.Sprintf("%q", strconv.Itoa(p.listVersion()))
		w.Header().Set("ETag", tag)
		if err == nil && r.Header.Get("If-None-Match") == tag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		respond(w, list, err)
	})
	mux.HandleFunc("PUT /instances", func(w http.ResponseWriter, r *http.Request) {
		var list []store.Instance
		if decodeBody(w, r, &list) {
			p.SetInstances(list)
		}
	})
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		var f PlatformFaults
		if decodeBody(w, r, &f) {
			p.SetFaults(f)
		}
	})
	return mux
}

// respond writes a value as JSON, or the status for an error: that of a StatusError,
// else 503.
func respond(w http.ResponseWriter, value any, err error) {
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

// decodeBody decodes the JSON body of a request. On failure it writes status 400 and
// returns false.
func decodeBody(w http.ResponseWriter, r *http.Request, value any) bool {
	if err := json.NewDecoder(r.Body).Decode(value); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
