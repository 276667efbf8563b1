// Package cli implements the command line of cicadareel.
package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/cicadareel/cicadareel/internal/connection/store"
	"github.com/cicadareel/cicadareel/internal/process/settings"
	"github.com/cicadareel/cicadareel/pkg/bundle"
	"github.com/cicadareel/cicadareel/pkg/order"
	"github.com/cicadareel/cicadareel/platform"
)

// Exit codes; 0 is success.
const (
	exitFailed      = 1
	exitInvalid     = 2
	exitNotInForce  = 3
	exitConflict    = 4
	exitUnreachable = 5
)

const settingsFlag = "settings"

// Main runs the command line and returns the exit code.
func Main(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &cli.Command{
		Name:  "cicadareel",
		Usage: "load balancer for expert-parallel model groups",
		Commands: []*cli.Command{
			entryCommand(), sidecarCommand(), configCommand(), bundleCommand(),
			orderCommand(), statusCommand(), keysCommand(), explainCommand(), whereCommand(), versionCommand(),
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	if err := root.Run(ctx, args); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "cicadareel:", err)
		return exitCode(err)
	}
	return 0
}

// exitCode maps an error to the exit code of the process.
func exitCode(err error) int {
	var invalidBundle *bundle.InvalidError
	var invalidSettings *settings.InvalidError
	var invalidOrder *order.InvalidError
	var usage *UsageError
	var notInForce *NotInForceError
	var conflict *store.ConflictError
	var unavailable *store.UnavailableError
	var unreachable *UnreachableError
	switch {
	case errors.As(err, &invalidBundle), errors.As(err, &invalidSettings), errors.As(err, &invalidOrder), errors.As(err, &usage):
		return exitInvalid
	case errors.As(err, &notInForce):
		return exitNotInForce
	case errors.As(err, &unavailable), errors.As(err, &unreachable):
		return exitUnreachable
	case errors.As(err, &conflict):
		return exitConflict
	}
	return exitFailed
}

// UsageError reports a command that cannot run as given: a wrong argument, or
// settings, files or system state that do not fit it.
type UsageError struct{ Problem string }

func (e *UsageError) Error() string { return e.Problem }

func settingsOption() cli.Flag {
	return &cli.StringFlag{Name: settingsFlag, Usage: "settings `FILE`", Required: true, Sources: cli.EnvVars(platform.SettingsVariable)}
}

func jsonOption() cli.Flag { return &cli.BoolFlag{Name: "json", Usage: "print JSON"} }

// loadSettings loads the settings file and checks that it is for the role.
func loadSettings(c *cli.Command, role settings.Role) (*settings.Settings, error) {
	s, err := settings.Load(c.String(settingsFlag))
	if err != nil {
		return nil, err
	}
	if s.Role != role {
		return nil, &UsageError{Problem: fmt.Sprintf("the settings are for the role %q, but the command needs the role %q", s.Role, role)}
	}
	return s, nil
}

// singleArgument returns the only positional argument. The name describes it in
// the error.
func singleArgument(c *cli.Command, name string) (string, error) {
	if c.Args().Len() != 1 {
		return "", &UsageError{Problem: "expected exactly one argument: " + name}
	}
	return c.Args().First(), nil
}

func printJSON(w io.Writer, value any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(value)
}

func printLine(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format+"\n", args...)
}
