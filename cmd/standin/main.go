// Command standin runs stand-ins for the systems around cicadareel, a load generator
// and audits, for tests and demos.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/cicadareel/cicadareel/internal/standin"
)

// headerTimeout bounds the time to read the header of a request.
const headerTimeout = 5 * time.Second

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &cli.Command{
		Name:  "standin",
		Usage: "stand-ins for tests and demos",
		Commands: []*cli.Command{platformCommand(), engineCommand(), serviceCommand(), relayCommand(), loadCommand(), portsCommand(), callCommand(), auditCommand(),
			rowStoreCommand(), workerCommand(), ranksCommand(), callersCommand()},
	}
	if err := root.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

// addressFlag is the flag for the address to listen on.
func addressFlag() cli.Flag {
	return &cli.StringFlag{Name: "address", Usage: "`ADDRESS` to listen on", Required: true}
}

// endpointFlags are the flags of an engine or a plain service.
func endpointFlags() []cli.Flag {
	return []cli.Flag{
		addressFlag(),
		&cli.StringFlag{Name: "name", Required: true},
		&cli.StringFlag{Name: "domain", Required: true},
		&cli.IntFlag{Name: "tokens", Value: 20},
		&cli.DurationFlag{Name: "step", Value: 10 * time.Millisecond},
		&cli.IntFlag{Name: "cold-requests", Value: 4},
		&cli.IntFlag{Name: "cold-factor", Value: 3},
	}
}

// endpointConfig reads the flags of endpointFlags.
func endpointConfig(c *cli.Command) standin.EndpointConfig {
	return standin.EndpointConfig{
		Name:          c.String("name"),
		FailureDomain: c.String("domain"),
		Tokens:        c.Int("tokens"),
		StepTime:      c.Duration("step"),
		ColdRequests:  c.Int("cold-requests"),
		ColdFactor:    c.Int("cold-factor"),
	}
}

// serve runs an HTTP server until ctx ends. It then waits for open requests.
func serve(ctx context.Context, address string, h http.Handler) error {
	s := &http.Server{Addr: address, Handler: h, ReadHeaderTimeout: headerTimeout}
	failed := make(chan error, 1)
	go func() { failed <- s.ListenAndServe() }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		return s.Shutdown(context.WithoutCancel(ctx))
	}
}

// platformCommand runs a stand-in for the platform.
func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "table service, object store and instance list",
		Flags: []cli.Flag{addressFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			return serve(ctx, c.String("address"), standin.NewPlatform().Handler())
		},
	}
}

// engineCommand runs a stand-in model engine.
func engineCommand() *cli.Command {
	return &cli.Command{
		Name:  "engine",
		Usage: "model engine",
		Flags: append(endpointFlags(),
			&cli.IntFlag{Name: "experts", Usage: "experts of each layer; 0 for an engine without expert maps"},
			&cli.DurationFlag{Name: "load-lag", Usage: "maximum age of a load report"},
			&cli.IntFlag{Name: "layers", Value: 2},
			&cli.BoolFlag{Name: "fenced", Usage: "reject commands from a lower ballot than the last one"}),
		Action: func(ctx context.Context, c *cli.Command) error {
			config := endpointConfig(c)
			config.MaxLoadReportAge = c.Duration("load-lag")
			e := standin.NewEngine(config)
			if c.Int("experts") > 0 {
				e.Rank = standin.NewExpertMapRank(c.Int("layers"), c.Int("experts"), c.Bool("fenced"))
			}
			return serve(ctx, c.String("address"), e.Handler())
		},
	}
}

// serviceCommand runs a stand-in plain service.
func serviceCommand() *cli.Command {
	return &cli.Command{
		Name:  "service",
		Usage: "plain service",
		Flags: endpointFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			return serve(ctx, c.String("address"), standin.NewService(endpointConfig(c)).Handler())
		},
	}
}

// relayCommand runs a TCP relay, with a second listener for the calls that set its
// faults.
func relayCommand() *cli.Command {
	return &cli.Command{
		Name:  "relay",
		Usage: "TCP relay; POST /cut, /silence, /delay?by=DURATION on the control address",
		Flags: []cli.Flag{
			addressFlag(),
			&cli.StringFlag{Name: "to", Required: true},
			&cli.StringFlag{Name: "control", Required: true},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			r, err := standin.NewRelay(c.String("address"), c.String("to"))
			if err != nil {
				return err
			}
			defer r.Close()
			return serve(ctx, c.String("control"), relayControlHandler(r))
		},
	}
}

// relayControlHandler serves the calls that set the faults of a relay.
func relayControlHandler(r *standin.Relay) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /cut", func(http.ResponseWriter, *http.Request) { r.Disconnect() })
	mux.HandleFunc("POST /silence", func(http.ResponseWriter, *http.Request) { r.Blackhole() })
	mux.HandleFunc("POST /delay", func(w http.ResponseWriter, q *http.Request) {
		d, err := time.ParseDuration(q.FormValue("by"))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		r.SetDelay(d)
	})
	return mux
}
