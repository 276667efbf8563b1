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

// auditCommand checks the endpoints' own records and exits 1 if it finds a violation.
func auditCommand() *cli.Command {
	return &cli.Command{
		Name:  "audit",
		Usage: "check the endpoints' records for repeated runs, exceeded cold limits and late requests",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "endpoint", Required: true, Usage: "`ADDRESS` of an endpoint"},
			&cli.IntFlag{Name: "cold-limit", Value: 2, Usage: "maximum number of concurrent requests while cold"},
			&cli.TimestampFlag{Name: "idle-since", Usage: "no request may have started after this `TIME`",
				Config: cli.TimestampConfig{Layouts: []string{time.RFC3339Nano}}},
		},
		Action: audit,
	}
}

// audit prints each violation in the records of all endpoints.
func audit(ctx context.Context, c *cli.Command) error {
	violations := 0
	for _, address := range c.StringSlice("endpoint") {
		record, err := fetchRecord(ctx, address)
		if err != nil {
			return err
		}
		violations += countViolations(c, address, record)
	}
	if violations > 0 {
		return cli.Exit(fmt.Sprintf("%d findings", violations), 1)
	}
	return nil
}

// fetchRecord requests the record of an endpoint.
func fetchRecord(ctx context.Context, address string) (*standin.Record, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/record", http.NoBody)
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

// countViolations prints the violations in a record and returns their number.
func countViolations(c *cli.Command, address string, r *standin.Record) int {
	violations := 0
	for id, n := range r.Runs {
		if n > 1 {
			fmt.Printf("%s ran request %s %d times\n", address, id, n)
			violations++
		}
	}
	if r.PeakCold > c.Int("cold-limit") {
		fmt.Printf("%s had %d concurrent requests while cold\n", address, r.PeakCold)
		violations++
	}
	if since := c.Timestamp("idle-since"); !since.IsZero() && r.LastStart.After(since) {
		fmt.Printf("%s started a request %v after the time of --idle-since\n", address, r.LastStart.Sub(since))
		violations++
	}
	return violations
}
