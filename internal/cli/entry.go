package cli

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/cicadareel/cicadareel/internal/process/entry"
	"github.com/cicadareel/cicadareel/internal/process/settings"
)

func entryCommand() *cli.Command {
	return &cli.Command{
		Name:  "entry",
		Usage: "serve callers",
		Flags: []cli.Flag{settingsOption()},
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := loadSettings(c, settings.RoleEntry)
			if err != nil {
				return err
			}
			return entry.Run(ctx, s)
		},
	}
}
