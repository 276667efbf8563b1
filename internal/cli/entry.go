package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/cicadareel/cicadareel/internal/process/entry"
	"github.com/cicadareel/cicadareel/internal/process/settings"
)

func entryCommand() *cli.Command {
	return &cli.Command{
		Name:  "entry",
		Usage: "run an entry, which accepts requests from callers",
		Flags: []cli.Flag{settingsOption()},
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := loadSettings(c, settings.RoleEntry)
			if err != nil {
				return err
			}
			hangups, stop := hangupSignals()
			defer stop()
			return entry.Run(ctx, s, hangups, func() (*settings.Settings, error) {
				return loadSettings(c, settings.RoleEntry)
			})
		},
	}
}

// hangupSignals returns a channel that receives a value for each SIGHUP, which
// reloads the settings, and a function that stops it.
func hangupSignals() (<-chan struct{}, func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	hangups := make(chan struct{})
	go func() {
		for range signals {
			hangups <- struct{}{}
		}
	}()
	return hangups, func() { signal.Stop(signals) }
}
