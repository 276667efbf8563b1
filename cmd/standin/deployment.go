package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/cicadareel/cicadareel/internal/standin"
)

// rowStoreCommand runs a stand-in for the store of the users' platform. PUT and
// DELETE on /rows/TABLE/KEY write rows as operators do. A key may contain slashes.
func rowStoreCommand() *cli.Command {
	return &cli.Command{
		Name:  "rowstore",
		Usage: "row store of the users' platform; POST /trouble sets its faults, POST /forget drops its history, POST /copy copies it, POST /restore restores the copy, POST /rewrite writes again what was lost",
		Flags: []cli.Flag{addressFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			s := standin.NewRowStore()
			mux := http.NewServeMux()
			mux.Handle("/", s.Handler())
			mux.HandleFunc("PUT /rows/{table}/{key...}", func(w http.ResponseWriter, r *http.Request) {
				value, err := io.ReadAll(r.Body)
				if err != nil {
					http.Error(w, err.Error(), http.StatusBadRequest)
					return
				}
				s.PutRaw(r.PathValue("table"), r.PathValue("key"), value)
			})
			mux.HandleFunc("DELETE /rows/{table}/{key...}", func(_ http.ResponseWriter, r *http.Request) {
				s.Remove(r.PathValue("table"), r.PathValue("key"))
			})
			mux.HandleFunc("POST /trouble", jsonHandler(s.SetFaults))
			mux.HandleFunc("POST /forget", func(http.ResponseWriter, *http.Request) { s.DropHistory() })
			var backup atomic.Pointer[standin.StoreCopy]
			mux.HandleFunc("POST /copy", func(http.ResponseWriter, *http.Request) {
				c := s.Copy()
				backup.Store(&c)
			})
			mux.HandleFunc("POST /restore", func(w http.ResponseWriter, _ *http.Request) {
				if c := backup.Load(); c != nil {
					s.Restore(*c)
					return
				}
				http.Error(w, "no copy", http.StatusConflict)
			})
			mux.HandleFunc("POST /rewrite", func(http.ResponseWriter, *http.Request) { s.Rewrite() })
			return serve(ctx, c.String("address"), mux)
		},
	}
}

// workerCommand runs a stand-in for an endpoint of the users' platform.
func workerCommand() *cli.Command {
	return &cli.Command{
		Name:  "worker",
		Usage: "endpoint of the users' platform; GET /runs lists the requests that ran",
		Flags: []cli.Flag{
			addressFlag(),
			&cli.StringFlag{Name: "name", Required: true},
			&cli.DurationFlag{Name: "work", Value: 20 * time.Millisecond},
			&cli.IntFlag{Name: "events", Usage: "events of a stream; 0 for plain responses"},
			&cli.IntFlag{Name: "response-bytes", Usage: "least length of a plain response"},
			recordFlag(),
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			worker := &standin.Worker{Name: c.String("name"), StepTime: c.Duration("work"), Events: c.Int("events"), MinResponseBytes: c.Int("response-bytes")}
			if err := recordRuns(worker, c.String("record")); err != nil {
				return err
			}
			return serve(ctx, c.String("address"), withRunsAPI(worker, worker))
		},
	}
}

// ranksCommand runs a group of ranks. They share a process, because they run in
// lock-step.
func ranksCommand() *cli.Command {
	return &cli.Command{
		Name:  "ranks",
		Usage: "ranks in lock-step, named NAME-0 and so on; GET /violations lists the steps with two expert maps",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "address", Required: true, Usage: "`ADDRESS` of a rank"},
			&cli.StringFlag{Name: "name", Required: true},
			&cli.IntFlag{Name: "layers", Value: 3},
			&cli.IntFlag{Name: "experts", Value: 24},
			&cli.IntFlag{Name: "places", Value: 8},
			&cli.IntFlag{Name: "events", Value: 20},
			&cli.IntFlag{Name: "id-step", Value: 1, Usage: "difference between the ids of two events"},
			recordFlag(),
		},
		Action: runRanks,
	}
}

// shiftInterval is the time between two shifts of popularity to other experts.
const shiftInterval = 2 * time.Second

// runRanks serves each rank of a group, with its faults and results, at its own
// address.
func runRanks(ctx context.Context, c *cli.Command) error {
	addresses := c.StringSlice("address")
	group := standin.NewRankGroup(c.String("name"), len(addresses), c.Int("layers"), c.Int("experts"), c.Int("places"), 1)
	go group.Run(ctx.Done())
	go func() {
		for ctx.Err() == nil {
			time.Sleep(shiftInterval)
			group.ShiftPopularity()
		}
	}()
	failed := make(chan error, len(addresses))
	for i, address := range addresses {
		worker := &standin.Worker{
			Name: fmt.Sprintf("%s-%d", c.String("name"), i), Events: c.Int("events"), StepTime: group.StepTime,
			EventIDs: standin.EventIDs(c.Int("events"), c.Int("id-step")),
		}
		if err := recordRuns(worker, c.String("record")); err != nil {
			return err
		}
		mux := http.NewServeMux()
		mux.HandleFunc("POST /trouble", jsonHandler(group.SetFaults))
		mux.HandleFunc("POST /reform", func(w http.ResponseWriter, _ *http.Request) {
			group.StartNewEpoch()
			_ = json.NewEncoder(w).Encode(group.Epoch())
		})
		mux.HandleFunc("GET /violations", func(w http.ResponseWriter, _ *http.Request) {
			_ = json.NewEncoder(w).Encode(group.Violations())
		})
		mux.HandleFunc("GET /map", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(group.MapVersion()) })
		mux.Handle("/", group.Handler(i, withRunsAPI(worker, worker)))
		go func() { failed <- serve(ctx, address, mux) }()
	}
	for range addresses {
		if err := <-failed; err != nil {
			return err
		}
	}
	return nil
}

// jsonHandler returns a handler that passes the JSON value of the body to set.
func jsonHandler[T any](set func(T)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var v T
		if err := json.NewDecoder(r.Body).Decode(&v); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		set(v)
	}
}

// recordFlag is the flag for the file of recordRuns.
func recordFlag() cli.Flag {
	return &cli.StringFlag{Name: "record", Usage: "`FILE` to which each run is appended as a line of JSON"}
}

// recordRuns makes the worker append each run to a file, which keeps the runs when the
// process is killed.
func recordRuns(worker *standin.Worker, path string) error {
	if path == "" {
		return nil
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	worker.OnRun = func(r standin.Run) {
		line, err := json.Marshal(standin.RunLogLine{ID: r.ID, Endpoint: worker.Name, At: r.At})
		if err == nil {
			_, _ = file.Write(append(line, '\n'))
		}
	}
	return nil
}

// withRunsAPI returns a handler that serves GET /runs and POST /faults for the worker and
// passes other requests to next.
func withRunsAPI(worker *standin.Worker, next http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) {
		ids := []string{}
		for _, run := range worker.Runs() {
			ids = append(ids, run.ID)
		}
		_ = json.NewEncoder(w).Encode(ids)
	})
	mux.HandleFunc("POST /faults", jsonHandler(func(f []standin.WorkerFault) { worker.SetNextFaults(f...) }))
	mux.Handle("/", next)
	return mux
}

// callersCommand sends requests and checks the responses against what the endpoints
// ran.
func callersCommand() *cli.Command {
	return &cli.Command{
		Name:  "callers",
		Usage: "callers of the users' platform: streams, lookups and bookings, and an audit at the end",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "entry", Required: true, Usage: "`ADDRESS` of an entry"},
			&cli.StringSliceFlag{Name: "endpoint", Required: true, Usage: "`ADDRESS` of an endpoint, for the audit"},
			&cli.StringSliceFlag{Name: "rank", Usage: "`ADDRESS` of a rank, for the audit"},
			&cli.StringFlag{Name: "host", Required: true},
			&cli.StringFlag{Name: "key", Required: true},
			&cli.IntFlag{Name: "events", Value: 20},
			&cli.IntFlag{Name: "rate", Value: 40, Usage: "requests per second"},
			&cli.DurationFlag{Name: "length", Value: 10 * time.Second},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			results := standin.RunCallers(ctx, standin.CallersConfig{
				Entries: c.StringSlice("entry"), Host: c.String("host"), Key: c.String("key"),
				Events: c.Int("events"), Rate: c.Int("rate"), Duration: c.Duration("length"),
			})
			findings, err := auditRuns(ctx, c, results)
			if err != nil {
				return err
			}
			fmt.Println(results.Summary())
			for _, f := range findings {
				fmt.Println("finding:", f)
			}
			if len(findings) > 0 {
				return cli.Exit(fmt.Sprintf("%d findings", len(findings)), 1)
			}
			return nil
		},
	}
}

// auditRuns compares the responses with the runs of all endpoints and checks that no
// step of the ranks had two expert maps.
func auditRuns(ctx context.Context, c *cli.Command, results *standin.CallerResults) ([]string, error) {
	runs := map[string]int{}
	for _, address := range append(c.StringSlice("endpoint"), c.StringSlice("rank")...) {
		var ids []string
		if err := fetch(ctx, address, "/runs", &ids); err != nil {
			return nil, err
		}
		for _, id := range ids {
			runs[id]++
		}
	}
	findings := results.Audit(runs)
	for _, address := range c.StringSlice("rank") {
		var violations []string
		if err := fetch(ctx, address, "/violations", &violations); err != nil {
			return nil, err
		}
		if len(violations) > 0 {
			findings = append(findings, "two expert maps in one step: "+strings.Join(violations, "; "))
			break
		}
	}
	return findings, nil
}

// fetch decodes the JSON response to a GET request.
func fetch(ctx context.Context, address, path string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, http.NoBody)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return json.NewDecoder(resp.Body).Decode(into)
}
