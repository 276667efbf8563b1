// Command measure prints the measurements behind docs/CAPACITY.md and
// docs/MEASURES.md.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/cicadareel/cicadareel/internal/measure"
)

func main() {
	root := &cli.Command{
		Name:     "measure",
		Usage:    "measurements for the capacity page",
		Commands: []*cli.Command{capacityCommand(), processCommand(), expertMapsCommand(), pathCommand(), reportCommand()},
	}
	if err := root.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

func expertMapsCommand() *cli.Command {
	return &cli.Command{
		Name:  "expert-maps",
		Usage: "step-time skew and bytes moved, ours and naive",
		Flags: []cli.Flag{&cli.Uint64Flag{Name: "seed", Value: 1}},
		Action: func(_ context.Context, c *cli.Command) error {
			measure.ExpertMaps(c.Uint64("seed"))
			return nil
		},
	}
}

func capacityCommand() *cli.Command {
	return &cli.Command{
		Name:  "capacity",
		Usage: "costs of the parts at several sizes, fitted",
		Flags: []cli.Flag{&cli.Uint64Flag{Name: "seed", Value: 1}},
		Action: func(_ context.Context, c *cli.Command) error {
			for _, s := range measure.Choices() {
				s.Print()
			}
			for _, s := range measure.Gates() {
				s.Print()
			}
			for _, s := range measure.Bundles() {
				s.Print()
			}
			measure.Hops().Print()
			for _, n := range []int{17, 400, 1320} {
				measure.Ages(n, c.Uint64("seed"))
			}
			measure.Exchanges()
			for _, s := range measure.Links() {
				s.Print()
			}
			return nil
		},
	}
}
