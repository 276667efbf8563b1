package cli

import (
	"context"
	"runtime/debug"

	"github.com/urfave/cli/v3"
)

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version",
		Action: func(_ context.Context, c *cli.Command) error {
			info, _ := debug.ReadBuildInfo()
			printLine(c.Root().Writer, "cicadareel %s %s", info.Main.Version, info.GoVersion)
			return nil
		},
	}
}
