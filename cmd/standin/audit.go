package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/cicadareel/cicadareel/internal/standin"
)

// auditCommand reads the endpoints' own records and fails if a promise broke.
func auditCommand() *cli.Command {
	return &cli.Command{
		Name:  "audit",
		Usage: "check endpoints' records: single runs, cold limit, no work after a time",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "endpoint", Required: true, Usage: "`ADDRESS` of an endpoint"},
			&cli.IntFlag{Name: "cold-limit", Value: 2, Usage: "highest concurrency allowed while cold"},
			&cli.TimestampFlag{Name: "idle-since", Usage: "no request may have started after this `TIME`",
				Config: cli.TimestampConfig{Layouts: []string{time.RFC3339Nano}}},
		},
		Action: audit,
	}
}

func audit(ctx context.Context, c *cli.Command) error {
	broken := 0
	for _, at := range c.StringSlice("endpoint") {
		record, err := fetchRecord(ctx, at)
		if err != nil {
			return err
		}
		broken += judgeRecord(c, at, record)
	}
	if broken > 0 {
		return cli.Exit(fmt.Sprintf("%d findings", broken), 1)
	}
	return nil
}

func fetchRecord(ctx context.Context, at string) (*standin.Record, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+at+"/record", http.NoBody)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	record := &standin.Record{}
	return record, json.NewDecoder(resp.Body).Decode(record)
}

func judgeRecord(c *cli.Command, at string, r *standin.Record) int {
	broken := 0
	for id, n := range r.Runs {
		if n > 1 {
			fmt.Printf("%s ran request %s %d times\n", at, id, n)
			broken++
		}
	}
	if r.PeakCold > c.Int("cold-limit") {
		fmt.Printf("%s had %d requests while cold\n", at, r.PeakCold)
		broken++
	}
	if since := c.Timestamp("idle-since"); !since.IsZero() && r.LastStart.After(since) {
		fmt.Printf("%s started a request %v after the time\n", at, r.LastStart.Sub(since))
		broken++
	}
	return broken
}
