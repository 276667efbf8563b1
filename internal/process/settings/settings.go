// Package settings reads and checks a process's settings file.
package settings

import (
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"net/netip"
	"os"
	"strings"

	"github.com/samber/oops"

	"github.com/cicadareel/cicadareel/internal/identity"
	"github.com/cicadareel/cicadareel/internal/stricttoml"
	"github.com/cicadareel/cicadareel/pkg/bundle"
)

// Role is the kind of process that the settings are for.
type Role string

// Roles.
const (
	RoleEntry   Role = "entry"
	RoleSidecar Role = "sidecar"
	// RoleOperator is the operators' client.
	RoleOperator Role = "operator"
)

// Settings holds the checked settings of one process.
type Settings struct {
	// Role is entry, sidecar or operator.
	Role Role `toml:"role"`
	// Instance is the unique name of this process.
	Instance string `toml:"instance"`
	// FailureDomain is the failure domain that this process runs in.
	FailureDomain string `toml:"failureDomain"`
	// CallerAddress serves callers; entries only.
	CallerAddress netip.AddrPort `toml:"callerAddress"`
	// PeerAddress serves other cicadareel processes.
	PeerAddress netip.AddrPort `toml:"peerAddress"`
	// OperatorAddress serves health checks and metrics.
	OperatorAddress netip.AddrPort `toml:"operatorAddress"`
	// Endpoint names the endpoint beside this process; sidecars only.
	Endpoint string `toml:"endpoint"`
	// EndpointAddress is where that endpoint listens; sidecars only.
	EndpointAddress netip.AddrPort `toml:"endpointAddress"`
	// Seeds are peers to ask while the instance list is not available.
	Seeds []netip.AddrPort `toml:"seeds"`
	// LogLevel is a level name of logrus.
	LogLevel string   `toml:"logLevel"`
	Platform Platform `toml:"platform"`
	// OperatorKeys are trusted public keys as "name:base64".
	OperatorKeys []string       `toml:"operatorKeys"`
	TLS          identity.Files `toml:"tls"`
	// OperatorName names the key that the operators' client signs with.
	OperatorName string `toml:"operatorName"`
	// OperatorKeyFile holds that private key.
	OperatorKeyFile string `toml:"operatorKeyFile"`

	keys bundle.KeySet
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	TableAddress        netip.AddrPort `toml:"tableAddress"`
	ObjectAddress       netip.AddrPort `toml:"objectAddress"`
	InstanceListAddress netip.AddrPort `toml:"instanceListAddress"`
}

// InvalidError lists every problem found in a settings file.
type InvalidError struct{ Problems []string }

func (e *InvalidError) Error() string {
	return fmt.Sprintf("settings have %d problem(s):\n  %s", len(e.Problems), strings.Join(e.Problems, "\n  "))
}

func newInvalidError(problems []stricttoml.Problem) *InvalidError {
	e := &InvalidError{}
	for _, p := range problems {
		e.Problems = append(e.Problems, fmt.Sprintf("line %d: %s: %s", p.Line, p.Key, p.Text))
	}
	return e
}

// Keys returns the trusted operator keys.
func (s *Settings) Keys() bundle.KeySet { return s.keys }

// Load reads and checks the file. All problems are reported at once.
func Load(path string) (*Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, oops.In("settings").With("path", path).Wrap(err)
	}
	return Parse(content)
}

// Parse reads and checks settings from TOML text.
func Parse(content []byte) (*Settings, error) {
	s := &Settings{LogLevel: "info"}
	if problems := stricttoml.Decode(content, s); len(problems) > 0 {
		return nil, newInvalidError(problems)
	}
	c := checker{}
	s.keys = c.parseKeys(s.OperatorKeys)
	c.check(s)
	if len(c.problems) > 0 {
		return nil, &InvalidError{Problems: c.problems}
	}
	return s, nil
}

// ParseKey reads one "name:base64" public key.
func ParseKey(text string) (string, ed25519.PublicKey, bool) {
	name, encoded, found := strings.Cut(text, ":")
	raw, err := base64.StdEncoding.DecodeString(encoded)
	if !found || name == "" || err != nil || len(raw) != ed25519.PublicKeySize {
		return "", nil, false
	}
	return name, raw, true
}
