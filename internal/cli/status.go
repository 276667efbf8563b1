package cli

import (
	"context"
	"sort"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/cicadareel/cicadareel/internal/connection/wire"
)

// watchInterval is the time between two outputs of status --watch.
const watchInterval = time.Second

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show bundle version, holds and gates of all processes",
		Flags: []cli.Flag{settingsOption(), jsonOption(), &cli.BoolFlag{Name: "watch", Usage: "print again every second"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			k, err := newClient(c)
			if err != nil {
				return err
			}
			for {
				if err := printStatus(ctx, c, k); err != nil || !c.Bool("watch") {
					return err
				}
				select {
				case <-ctx.Done():
					return nil
				case <-time.After(watchInterval):
				}
			}
		},
	}
}

func printStatus(ctx context.Context, c *cli.Command, k *client) error {
	reply, err := k.clusterStatus(ctx)
	if err != nil {
		return err
	}
	sort.Slice(reply.Processes, func(i, j int) bool {
		return reply.Processes[i].GetInstance() < reply.Processes[j].GetInstance()
	})
	if c.Bool("json") {
		return printJSON(c.Root().Writer, reply)
	}
	printSummary(c, reply)
	for _, p := range reply.GetProcesses() {
		printProcess(c, p)
	}
	for _, o := range holdsInForce(reply) {
		printLine(c.Root().Writer, "hold  %-8s %-16s by %s, %s ago", o.Kind, o.Target, o.Author, time.Since(o.Created).Round(time.Second))
	}
	return nil
}

// printSummary prints the newest bundle version and the number of processes that
// have it.
func printSummary(c *cli.Command, reply *wire.StatusReply) {
	newest := uint64(0)
	platformReachable := 0
	for _, p := range reply.GetProcesses() {
		newest = max(newest, p.GetBundleVersion())
		if p.GetPlatformReachable() {
			platformReachable++
		}
	}
	r := countRollout(reply, newest)
	printLine(c.Root().Writer, "bundle version %d in force at %d of %d processes; lagging: %v; platform reachable from %d",
		newest, r.InForce, r.Total, r.Missing, platformReachable)
}

// printProcess prints the state of a process and, for a sidecar, its gate.
func printProcess(c *cli.Command, p *wire.ProcessStatus) {
	w := c.Root().Writer
	if !p.GetReachable() {
		printLine(w, "%-20s %-8s %-14s UNREACHABLE", p.GetInstance(), p.GetRole(), p.GetFailureDomain())
		return
	}
	state := "stale"
	if p.GetFresh() {
		state = "fresh"
	}
	g := p.GetGate()
	if g == nil {
		printLine(w, "%-20s %-8s %-14s v%d %s", p.GetInstance(), p.GetRole(), p.GetFailureDomain(), p.GetBundleVersion(), state)
		return
	}
	printLine(w, "%-20s %-8s %-14s v%d %s  %s: limit %d, in flight %d, queued %d, warm %v, open %v",
		p.GetInstance(), p.GetRole(), p.GetFailureDomain(), p.GetBundleVersion(), state, p.GetEndpoint(),
		g.GetLimit(), g.GetInFlight(), g.GetQueued(), g.GetWarm(), g.GetOpen())
}
