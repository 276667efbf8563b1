package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/cicadareel/cicadareel/internal/measure"
)

func pathCommand() *cli.Command {
	return &cli.Command{
		Name:      "path",
		Usage:     "measure latency and request rate of one URL with closed-loop callers",
		ArgsUsage: "URL",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "host", Usage: "`NAME` for the Host header instead of the URL's host"},
			&cli.StringSliceFlag{Name: "header", Usage: "`NAME:VALUE` sent with each request", Value: []string{"Authorization:Bearer bench"}},
			&cli.IntFlag{Name: "callers", Value: 1},
			&cli.DurationFlag{Name: "length", Value: 5 * time.Second},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			header := http.Header{}
			for _, h := range c.StringSlice("header") {
				name, value, _ := strings.Cut(h, ":")
				header.Add(name, value)
			}
			r := measure.RunClosedLoop(measure.ClosedLoopConfig{
				URL: c.Args().First(), Host: c.String("host"), Header: header,
				Callers: c.Int("callers"), Duration: c.Duration("length"),
			})
			fmt.Printf("requests %d failed %d p50 %v p99 %v per-second %.0f\n", r.Requests, r.Failed, r.P50, r.P99, r.PerSecond)
			return nil
		},
	}
}
