package cli

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"github.com/samber/oops"
	"github.com/urfave/cli/v3"

	"github.com/cicadareel/cicadareel/internal/connection/wire"
	"github.com/cicadareel/cicadareel/pkg/bundle"
)

const (
	// signatureSuffix is appended to the path of a bundle file for its signature.
	signatureSuffix = ".signed.json"
	// inForceTimeout is how long apply waits until the bundle is in force.
	inForceTimeout = 10 * time.Second
	// inForcePollInterval is the time between two checks where it is in force.
	inForcePollInterval = 200 * time.Millisecond
	fileMode            = 0o644
)

func bundleCommand() *cli.Command {
	return &cli.Command{
		Name:  "bundle",
		Usage: "validate, sign and roll out bundles",
		Commands: []*cli.Command{
			{Name: "check", Usage: "report every error of a bundle", ArgsUsage: "FILE", Action: checkBundle},
			{Name: "sign", Usage: "sign a bundle", ArgsUsage: "FILE", Flags: []cli.Flag{settingsOption()}, Action: signBundle},
			{Name: "apply", Usage: "roll out a signed bundle", ArgsUsage: "FILE", Flags: []cli.Flag{settingsOption(), jsonOption()}, Action: applyBundle},
			{Name: "show", Usage: "print the current bundle", Flags: []cli.Flag{settingsOption()}, Action: showBundle},
		},
	}
}

// readBundle returns the path and the content of the bundle file in the argument.
func readBundle(c *cli.Command) (string, []byte, error) {
	path, err := singleArgument(c, "bundle file")
	if err != nil {
		return "", nil, err
	}
	content, err := os.ReadFile(path)
	return path, content, oops.In("cli").Wrap(err)
}

func checkBundle(_ context.Context, c *cli.Command) error {
	_, content, err := readBundle(c)
	if err != nil {
		return err
	}
	b, err := bundle.Parse(content)
	if err != nil {
		return err
	}
	printLine(c.Root().Writer, "ok: version %d, %d failure domains, %d endpoints, %d client accounts",
		b.Version, len(b.FailureDomains), len(b.Endpoints), len(b.ClientAccounts))
	return nil
}

func signBundle(_ context.Context, c *cli.Command) error {
	path, content, err := readBundle(c)
	if err != nil {
		return err
	}
	k, err := newClient(c)
	if err != nil {
		return err
	}
	key, err := k.privateKey()
	if err != nil {
		return err
	}
	s, err := bundle.Sign(content, k.settings.OperatorName, key)
	if err != nil {
		return err
	}
	text, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return oops.In("cli").Wrap(err)
	}
	return oops.In("cli").Wrap(os.WriteFile(path+signatureSuffix, text, fileMode))
}

func applyBundle(ctx context.Context, c *cli.Command) error {
	path, content, err := readBundle(c)
	if err != nil {
		return err
	}
	k, err := newClient(c)
	if err != nil {
		return err
	}
	s, err := readSigned(path, content)
	if err != nil {
		return err
	}
	if _, err := s.Open(k.settings.TrustedKeys()); err != nil {
		return err
	}
	if err := k.intent.ApplyBundle(ctx, s); err != nil {
		return err
	}
	return k.waitInForce(ctx, c, s.Version)
}

// readSigned reads the signature file of a bundle and adds the content.
func readSigned(path string, content []byte) (*bundle.Signed, error) {
	text, err := os.ReadFile(path + signatureSuffix)
	if err != nil {
		return nil, &UsageError{Problem: "sign the bundle first: " + err.Error()}
	}
	s := &bundle.Signed{}
	if err := json.Unmarshal(text, s); err != nil {
		return nil, oops.In("cli").Wrap(err)
	}
	s.SetContent(content)
	return s, nil
}

// rolloutStatus says which processes have a bundle version in force.
type rolloutStatus struct {
	Version uint64   `json:"version"`
	InForce int      `json:"inForce"`
	Total   int      `json:"total"`
	Missing []string `json:"missing"`
}

// waitInForce waits until the version is in force at every process, at most for
// inForceTimeout, and prints the result.
func (k *client) waitInForce(ctx context.Context, c *cli.Command, version uint64) error {
	deadline := time.Now().Add(inForceTimeout)
	for {
		reply, err := k.clusterStatus(ctx)
		if err != nil {
			return err
		}
		r := countRollout(reply, version)
		if len(r.Missing) == 0 || time.Now().After(deadline) {
			return printRollout(c, r)
		}
		time.Sleep(inForcePollInterval)
	}
}

// countRollout counts the processes that have at least the version.
func countRollout(reply *wire.StatusReply, version uint64) rolloutStatus {
	r := rolloutStatus{Version: version, Missing: []string{}}
	for _, p := range reply.GetProcesses() {
		r.Total++
		if p.GetBundleVersion() >= version {
			r.InForce++
			continue
		}
		r.Missing = append(r.Missing, p.GetInstance())
	}
	return r
}

// printRollout prints the status. The error is a *NotInForceError if the version
// is missing at any process.
func printRollout(c *cli.Command, r rolloutStatus) error {
	if c.Bool("json") {
		if err := printJSON(c.Root().Writer, r); err != nil {
			return err
		}
	} else {
		printLine(c.Root().Writer, "version %d accepted; in force at %d of %d processes", r.Version, r.InForce, r.Total)
	}
	if len(r.Missing) > 0 {
		return &NotInForceError{InForce: r.InForce, Total: r.Total, Missing: r.Missing}
	}
	return nil
}

func showBundle(ctx context.Context, c *cli.Command) error {
	k, err := newClient(c)
	if err != nil {
		return err
	}
	s, _, err := k.intent.Pointer(ctx)
	if err != nil {
		return err
	}
	if s == nil {
		return &UsageError{Problem: "no bundle has been accepted yet"}
	}
	if err := k.intent.FetchContent(ctx, s, nil); err != nil {
		return err
	}
	if _, err := s.Open(k.settings.TrustedKeys()); err != nil {
		return err
	}
	printLine(c.Root().Writer, "# version %d signed by %s\n%s", s.Version, s.Author, s.Content)
	return nil
}
