package cli

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/cicadareel/cicadareel/internal/process/settings"
	"github.com/cicadareel/cicadareel/internal/process/sidecar"
)

func sidecarCommand() *cli.Command {
	return &cli.Command{
		Name:  "sidecar",
		Usage: "run the sidecar of one endpoint, which limits its load",
		Flags: []cli.Flag{settingsOption()},
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := loadSettings(c, settings.RoleSidecar)
			if err != nil {
				return err
			}
			return sidecar.Run(ctx, s)
		},
	}
}
