package main

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/cicadareel/cicadareel/internal/report"
)

func reportCommand() *cli.Command {
	return &cli.Command{
		Name:  "report",
		Usage: "draw plots of one run of the users' bench on an HTML page",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "report", Usage: "`FILE` written by the bench's --report", Required: true},
			&cli.StringFlag{Name: "log", Usage: "`FILE` with the output of the same run with --log all", Required: true},
			&cli.StringFlag{Name: "title", Value: "bench run"},
			&cli.StringFlag{Name: "to", Usage: "`FILE` to write", Required: true},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			run, err := report.ReadRun(c.String("report"), c.String("log"))
			if err != nil {
				return err
			}
			out, err := os.Create(c.String("to"))
			if err != nil {
				return err
			}
			if err := run.Write(out, c.String("title")); err != nil {
				_ = out.Close()
				return err
			}
			return out.Close()
		},
	}
}
