package cli

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/cicadareel/cicadareel/internal/process/settings"
)

func configCommand() *cli.Command {
	return &cli.Command{
		Name:  "config",
		Usage: "work with settings files",
		Commands: []*cli.Command{{
			Name:      "check",
			Usage:     "validate a settings file without starting a process",
			ArgsUsage: "FILE",
			Action: func(_ context.Context, c *cli.Command) error {
				path, err := singleArgument(c, "settings file")
				if err != nil {
					return err
				}
				s, err := settings.Load(path)
				if err != nil {
					return err
				}
				printLine(c.Root().Writer, "ok: settings for role %s", s.Role)
				return nil
			},
		}},
	}
}
