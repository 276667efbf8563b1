package main

import (
	"context"
	"fmt"
	"os"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/cicadareel/cicadareel/internal/standin"
)

// loadCommand sends load to a deployment and checks the responses.
func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send requests, check every response and print a table; exit 1 if one is wrong or none is whole",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "entry", Required: true, Usage: "base `URL` of an entry"},
			&cli.StringSliceFlag{Name: "token", Required: true, Usage: "a caller's `TOKEN`"},
			&cli.StringSliceFlag{Name: "job", Required: true, Usage: "`PATH,TOKENS`, or PATH,keyed for a plain service"},
			&cli.IntFlag{Name: "rate", Value: 50},
			&cli.DurationFlag{Name: "length", Value: 10 * time.Second},
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.StringFlag{Name: "marks", Usage: "`FILE` to which the tally is written as lines"},
		},
		Action: runLoad,
	}
}

// runLoad reads the flags, sends the load and prints the tally.
func runLoad(ctx context.Context, c *cli.Command) error {
	config := standin.LoadConfig{
		Entries:      c.StringSlice("entry"),
		BearerTokens: c.StringSlice("token"),
		Rate:         c.Int("rate"),
		Duration:     c.Duration("length"),
		Seed:         c.Uint64("seed"),
	}
	jobs := c.StringSlice("job")
	for i := 0; i+1 < len(jobs); i += 2 {
		kind := standin.RequestKind{Path: jobs[i], Keyed: jobs[i+1] == "keyed"}
		if !kind.Keyed {
			tokens, err := strconv.Atoi(jobs[i+1])
			if err != nil {
				return err
			}
			kind.Tokens = tokens
		}
		config.Kinds = append(config.Kinds, kind)
	}
	t := standin.RunLoad(ctx, config)
	printTally(t)
	if t.Wrong > 0 || t.Whole == 0 {
		os.Exit(1)
	}
	return nil
}

// printTally prints a tally as a table.
func printTally(t *standin.Tally) {
	fmt.Printf("%-16s %8s %8s %8s %8s %8s %8s\n", "", "sent", "whole", "not run", "unknown", "cut", "wrong")
	fmt.Printf("%-16s %8d %8d %8d %8d %8d %8d\n", "requests", t.Sent, t.Whole, t.NotRun, t.Unknown, t.Aborted, t.Wrong)
	fmt.Printf("%-16s p50 %v, p99 %v\n", "whole responses", t.Quantile(0.5).Round(100*time.Microsecond), t.Quantile(0.99).Round(100*time.Microsecond))
	fmt.Printf("%-16s %s\n", "failure domains", counts(t.ByFailureDomain))
	if len(t.Reasons) > 0 {
		fmt.Printf("%-16s %s\n", "error reasons", counts(t.Reasons))
	}
}

// counts formats counts by name, sorted by name.
func counts(m map[string]int) string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	parts := []string{}
	for _, name := range names {
		parts = append(parts, fmt.Sprintf("%s %d", name, m[name]))
	}
	return strings.Join(parts, ", ")
}
