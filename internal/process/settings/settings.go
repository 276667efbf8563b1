// Package settings reads and checks a process's settings file.
package settings

import (
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

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
	// MetricsAddress serves metrics beside OperatorAddress; optional, entries
	// only.
	MetricsAddress netip.AddrPort `toml:"metricsAddress"`
	// Endpoint names the endpoint beside this process; sidecars only.
	Endpoint string `toml:"endpoint"`
	// EndpointAddress is where that endpoint listens; sidecars only.
	EndpointAddress netip.AddrPort `toml:"endpointAddress"`
	// Seeds are peers to ask while the instance list is not available.
	Seeds []netip.AddrPort `toml:"seeds"`
	// LogLevel is a level name of logrus.
	LogLevel string   `toml:"logLevel"`
	Platform Platform `toml:"platform"`
	// Deployment is set on a platform whose store holds the operators' intent
	// and on which endpoints announce themselves; entries only.
	Deployment Deployment `toml:"deployment"`
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

// Deployment describes such a platform and what it demands of all processes
// together.
type Deployment struct {
	// StoreAddress is the platform's store; the other fields need it.
	StoreAddress netip.AddrPort `toml:"storeAddress"`
	// RetryRatio and RetrySlack bound the requests that reach endpoints again in
	// any RetryWindowMs: a share of all requests, and a number besides.
	RetryRatio    float64 `toml:"retryRatio"`
	RetrySlack    float64 `toml:"retrySlack"`
	RetryWindowMs int64   `toml:"retryWindowMs"`
	// ColdFactor and ColdTolerance bound the requests a second to a cold
	// endpoint: a multiple of what it bears, and a number besides.
	ColdFactor    float64 `toml:"coldFactor"`
	ColdTolerance float64 `toml:"coldTolerance"`
	// GraceMs is the time from the request to stop to the end by force.
	GraceMs int64 `toml:"graceMs"`
	// StallMs is how long work waits on an endpoint that is gone.
	StallMs int64 `toml:"stallMs"`
	// MemoryBytes is the memory limit of this process; 0 if there is none.
	MemoryBytes int64 `toml:"memoryBytes"`
}

// RetryWindow is the span over which retries are bounded.
func (d Deployment) RetryWindow() time.Duration {
	return time.Duration(d.RetryWindowMs) * time.Millisecond
}

// Grace is the time from the request to stop to the end by force.
func (d Deployment) Grace() time.Duration { return time.Duration(d.GraceMs) * time.Millisecond }

// Stall is how long work waits on an endpoint that is gone.
func (d Deployment) Stall() time.Duration { return time.Duration(d.StallMs) * time.Millisecond }

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
	if !s.Deployment.StoreAddress.IsValid() {
		s.keys = c.parseKeys(s.OperatorKeys)
	}
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
