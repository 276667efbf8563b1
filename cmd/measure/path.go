package main

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/cicadareel/cicadareel/internal/measure"
)

func pathCommand() *cli.Command {
	return &cli.Command{
		Name:      "path",
		Usage:     "closed-loop latency and rate of one address",
		ArgsUsage: "URL",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "token", Value: "bench"},
			&cli.IntFlag{Name: "callers", Value: 1},
			&cli.DurationFlag{Name: "length", Value: 5 * time.Second},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			r := measure.Path(c.Args().First(), c.String("token"), c.Int("callers"), c.Duration("length"))
			fmt.Printf("requests %d failed %d p50 %v p99 %v per-second %.0f\n", r.Requests, r.Failed, r.P50, r.P99, r.PerSecond)
			return nil
		},
	}
}
