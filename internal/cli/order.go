package cli

import (
	"context"
	"crypto/rand"
	"errors"
	"time"

	"github.com/urfave/cli/v3"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/cicadareel/cicadareel/internal/connection/peer"
	"github.com/cicadareel/cicadareel/internal/connection/wire"
	"github.com/cicadareel/cicadareel/pkg/order"
)

func orderCommand() *cli.Command {
	flags := func() []cli.Flag { return []cli.Flag{settingsOption(), jsonOption()} }
	return &cli.Command{
		Name:  "order",
		Usage: "drain, take out or return an endpoint or failure domain",
		Commands: []*cli.Command{
			{Name: "drain", Usage: "admit no new requests, finish those that run or are queued", ArgsUsage: "TARGET", Flags: flags(), Action: orderAction(order.Drain)},
			{Name: "take-out", Usage: "admit no new requests, refuse those that are queued", ArgsUsage: "TARGET", Flags: flags(), Action: orderAction(order.TakeOut)},
			{Name: "return", Usage: "release the holds in force on a target", ArgsUsage: "TARGET", Flags: flags(), Action: orderAction(order.Return)},
			{Name: "list", Usage: "list the holds in force", Flags: flags(), Action: listOrders},
		},
	}
}

// orderResult says where an order is in force and whether it is recorded.
type orderResult struct {
	ID          string   `json:"id"`
	Kind        string   `json:"kind"`
	Target      string   `json:"target"`
	Releases    []string `json:"releases,omitempty"`
	InForce     []string `json:"inForce"`
	Unreachable []string `json:"unreachable"`
	Recorded    bool     `json:"recorded"`
}

// orderAction returns the action of the command that gives orders of a kind.
func orderAction(kind order.Kind) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		target, err := singleArgument(c, "endpoint or failure domain")
		if err != nil {
			return err
		}
		k, err := newClient(c)
		if err != nil {
			return err
		}
		o := order.Order{ID: rand.Text(), Target: target, Kind: kind, Created: time.Now()}
		if kind == order.Return {
			if o.Releases, err = k.holdIDsOn(ctx, target); err != nil {
				return err
			}
		}
		return k.issueOrder(ctx, c, o)
	}
}

// issueOrder signs an order, sends it to all processes and then records it in the
// platform's table. Processes come first so that a table that does not respond
// delays none of them. If no process is reachable, the order takes effect through
// the table alone.
func (k *client) issueOrder(ctx context.Context, c *cli.Command, o order.Order) error {
	key, err := k.privateKey()
	if err != nil {
		return err
	}
	o.Sign(k.settings.OperatorName, key)
	reply, err := k.broadcast(ctx, &wire.OrderRequest{Orders: []*wire.Hold{peer.OrderToWire(o)}})
	if refused := refusalError(err); refused != nil {
		return refused
	}
	recorded := k.intent.RecordOrders(ctx, []order.Order{o}) == nil
	if err != nil {
		return &NotConfirmedError{Recorded: recorded, Cause: err}
	}
	return printOrderResult(c, orderResult{
		ID:          o.ID,
		Kind:        string(o.Kind),
		Target:      o.Target,
		Releases:    o.Releases,
		InForce:     reply.GetInForce(),
		Unreachable: append([]string{}, reply.GetUnreachable()...),
		Recorded:    recorded,
	})
}

// refusalError returns a *UsageError if a process was reached and rejected the
// order as invalid, else nil.
func refusalError(err error) error {
	var unreachable *UnreachableError
	if errors.As(err, &unreachable) && status.Code(unreachable.Cause) == codes.InvalidArgument {
		return &UsageError{Problem: status.Convert(unreachable.Cause).Message()}
	}
	return nil
}

// NotConfirmedError reports an order that no process confirmed.
type NotConfirmedError struct {
	// Recorded says whether the platform's table has the order. Every process
	// that can reach the table adopts it from there within seconds.
	Recorded bool
	Cause    error
}

func (e *NotConfirmedError) Error() string {
	if e.Recorded {
		return "order recorded, but no process confirmed it: " + e.Cause.Error()
	}
	return "order neither recorded nor confirmed: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *NotConfirmedError) Unwrap() error { return e.Cause }

// printOrderResult prints the result. The error is a *NotInForceError if a process
// is unreachable.
func printOrderResult(c *cli.Command, r orderResult) error {
	total := len(r.InForce) + len(r.Unreachable)
	if c.Bool("json") {
		if err := printJSON(c.Root().Writer, r); err != nil {
			return err
		}
	} else {
		state := "recorded"
		if !r.Recorded {
			state = "not yet recorded: the platform's table did not answer"
		}
		printLine(c.Root().Writer, "%s %s: in force at %d of %d processes, %s", r.Kind, r.Target, len(r.InForce), total, state)
	}
	if len(r.Unreachable) > 0 {
		return &NotInForceError{InForce: len(r.InForce), Total: total, Missing: r.Unreachable}
	}
	return nil
}

// holdsInForce returns the holds that no return releases.
func holdsInForce(reply *wire.StatusReply) []order.Order {
	released := map[string]bool{}
	for _, h := range reply.GetOrders() {
		for _, id := range h.GetReleases() {
			released[id] = true
		}
	}
	holds := []order.Order{}
	for _, h := range reply.GetOrders() {
		if o := peer.OrderFromWire(h); o.Kind != order.Return && !released[o.ID] {
			holds = append(holds, o)
		}
	}
	return holds
}

// holdIDsOn returns the IDs of the holds in force on the target that one process
// knows.
func (k *client) holdIDsOn(ctx context.Context, target string) ([]string, error) {
	reply, err := callAnyPeer(ctx, k, func(ctx context.Context, p wire.PeerClient) (*wire.StatusReply, error) {
		return p.Status(ctx, &wire.StatusRequest{})
	})
	if err != nil {
		return nil, err
	}
	ids := []string{}
	for _, o := range holdsInForce(reply) {
		if o.Target == target {
			ids = append(ids, o.ID)
		}
	}
	if len(ids) == 0 {
		return nil, &UsageError{Problem: "no hold is in force on " + target}
	}
	return ids, nil
}

func listOrders(ctx context.Context, c *cli.Command) error {
	k, err := newClient(c)
	if err != nil {
		return err
	}
	reply, err := k.clusterStatus(ctx)
	if err != nil {
		return err
	}
	holds := holdsInForce(reply)
	if c.Bool("json") {
		return printJSON(c.Root().Writer, holds)
	}
	for _, o := range holds {
		printLine(c.Root().Writer, "%s  %-8s %-16s by %s, %s ago", o.ID, o.Kind, o.Target, o.Author, time.Since(o.Created).Round(time.Second))
	}
	return nil
}
