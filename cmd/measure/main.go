// Command measure prints the measurements that docs/CAPACITY.md and
// docs/MEASURES.md report, and draws plots of bench runs.
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
		Usage:    "measure costs and compare policies",
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
		Usage: "compare the expert map planner with two baselines: step-time skew and bytes moved",
		Flags: []cli.Flag{&cli.Uint64Flag{Name: "seed", Value: 1}},
		Action: func(_ context.Context, c *cli.Command) error {
			measure.CompareExpertMaps(c.Uint64("seed"))
			return nil
		},
	}
}

func capacityCommand() *cli.Command {
	return &cli.Command{
		Name:  "capacity",
		Usage: "measure the costs of components at several sizes and fit a line to each",
		Flags: []cli.Flag{&cli.Uint64Flag{Name: "seed", Value: 1}},
		Action: func(_ context.Context, c *cli.Command) error {
			for _, s := range measure.PickCosts() {
				s.Print()
			}
			for _, s := range measure.GateCosts() {
				s.Print()
			}
			for _, s := range measure.BundleCosts() {
				s.Print()
			}
			measure.PropagationHops().Print()
			for _, n := range []int{17, 400, 1320} {
				measure.PrintViewAges(n, c.Uint64("seed"))
			}
			measure.PrintViewExchangeCost()
			for _, s := range measure.IdleLinkCosts() {
				s.Print()
			}
			return nil
		},
	}
}
