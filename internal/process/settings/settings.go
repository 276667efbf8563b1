// Package settings reads and validates the settings file of a process.
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

// Role is the kind of process that the settings configure.
type Role string

// Roles.
const (
	RoleEntry   Role = "entry"
	RoleSidecar Role = "sidecar"
	// RoleOperator is the command-line client of the operators.
	RoleOperator Role = "operator"
)

// Settings holds the validated settings of one process.
type Settings struct {
	// Role is entry, sidecar or operator.
	Role Role `toml:"role"`
	// Instance is the unique name of this process.
	Instance string `toml:"instance"`
	// FailureDomain is where this process runs.
	FailureDomain string `toml:"failureDomain"`
	// CallerAddress is the listen address for callers; entries only.
	CallerAddress netip.AddrPort `toml:"callerAddress"`
	// PeerAddress is the listen address for other cicadareel processes.
	PeerAddress netip.AddrPort `toml:"peerAddress"`
	// OperatorAddress is the listen address for health checks and metrics.
	OperatorAddress netip.AddrPort `toml:"operatorAddress"`
	// MetricsAddress is a second listen address for health checks and metrics;
	// optional, entries only.
	MetricsAddress netip.AddrPort `toml:"metricsAddress"`
	// Endpoint names the endpoint that this process serves; sidecars only.
	Endpoint string `toml:"endpoint"`
	// EndpointAddress is the listen address of that endpoint; sidecars only.
	EndpointAddress netip.AddrPort `toml:"endpointAddress"`
	// Seeds are peers to contact while the instance list is not available.
	Seeds []netip.AddrPort `toml:"seeds"`
	// LogLevel is a logrus level name.
	LogLevel string   `toml:"logLevel"`
	Platform Platform `toml:"platform"`
	// Deployment is set on a platform where endpoints announce themselves in a
	// store that also holds the operators' configuration; entries only.
	Deployment Deployment `toml:"deployment"`
	// OperatorKeys are the trusted public keys as "name:base64".
	OperatorKeys []string       `toml:"operatorKeys"`
	TLS          identity.Files `toml:"tls"`
	// OperatorName names the key that the command-line client signs with.
	OperatorName string `toml:"operatorName"`
	// OperatorKeyFile is the path of that private key.
	OperatorKeyFile string `toml:"operatorKeyFile"`

	trustedKeys bundle.KeySet
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	TableAddress        netip.AddrPort `toml:"tableAddress"`
	ObjectAddress       netip.AddrPort `toml:"objectAddress"`
	InstanceListAddress netip.AddrPort `toml:"instanceListAddress"`
}

// Deployment describes a platform with a store, and the limits that it sets on
// all entries together.
type Deployment struct {
	// StoreAddress is the address of the platform's store; the other fields need
	// it.
	StoreAddress netip.AddrPort `toml:"storeAddress"`
	// RetryRatio and RetrySlack limit the retries that reach endpoints in any
	// RetryWindowMs: a share of all requests plus a fixed number.
	RetryRatio    float64 `toml:"retryRatio"`
	RetrySlack    float64 `toml:"retrySlack"`
	RetryWindowMs int64   `toml:"retryWindowMs"`
	// ColdFactor and ColdTolerance limit the requests per second to a cold
	// endpoint: a multiple of its configured rate plus a fixed number.
	ColdFactor    float64 `toml:"coldFactor"`
	ColdTolerance float64 `toml:"coldTolerance"`
	// FencedCommands is true if ranks refuse commands with a lower fencing token than
	// they have seen. Without that, expert maps are not changed.
	FencedCommands bool `toml:"fencedCommands"`
	// GraceMs is the time from the stop signal to the forced kill.
	GraceMs int64 `toml:"graceMs"`
	// StallMs is how long requests stall on an endpoint that is gone.
	StallMs int64 `toml:"stallMs"`
	// LinkMbps is the rate of this process's network link in megabits per second; 0 if
	// not known.
	LinkMbps float64 `toml:"linkMbps"`
	// MemoryBytes is the memory limit of this process; 0 means no limit.
	MemoryBytes int64 `toml:"memoryBytes"`
	// HeldBytes is the number of bytes of bodies and responses that this process may hold
	// for callers; 0 for a quarter of MemoryBytes.
	HeldBytes int64 `toml:"heldBytes"`
	// MaxConnections is the number of connections that callers may have open; 0 for as
	// many as memory and descriptors suffice for.
	MaxConnections int64 `toml:"maxConnections"`
	// SocketBytes is the size of the receive and send buffers of a connection with a
	// caller or endpoint; 0 for 32 KiB if there is a memory limit, and else for the
	// system's.
	SocketBytes int64 `toml:"socketBytes"`
}

const (
	// heldShare is the part of the memory limit that may be held for callers.
	heldShare = 4
	// connectionsShare is the part of the memory limit for connections of callers, each
	// of which takes connectionBytes.
	connectionsShare = 4
	connectionBytes  = 48 << 10
	// descriptorsShare is the part of the descriptors that callers' connections leave to
	// peers, the store and files. Of the others, half are for connections to endpoints.
	descriptorsShare = 4
	socketBytes      = 32 << 10
)

// HeldCapacity is the number of bytes that may be held for callers; 0 for any number.
func (d Deployment) HeldCapacity() int64 {
	if d.HeldBytes > 0 {
		return d.HeldBytes
	}
	return d.MemoryBytes / heldShare
}

// ConnectionLimit is the number of connections that callers may have open in a process
// with the number of descriptors; 0 for any number.
func (d Deployment) ConnectionLimit(descriptors int64) int {
	if d.MaxConnections > 0 {
		return int(d.MaxConnections)
	}
	limit := (descriptors - descriptors/descriptorsShare) / 2
	if d.MemoryBytes > 0 {
		limit = min(limit, d.MemoryBytes/connectionsShare/connectionBytes)
	}
	return int(limit)
}

// SocketBuffer is the size of a connection's receive and send buffers; 0 for the
// system's.
func (d Deployment) SocketBuffer() int {
	if d.SocketBytes == 0 && d.MemoryBytes > 0 {
		return socketBytes
	}
	return int(d.SocketBytes)
}

// bytesPerMegabit converts megabits per second to bytes per second.
const bytesPerMegabit = 1_000_000 / 8

// LinkRate is the rate of this process's network link in bytes per second; 0 if not
// known.
func (d Deployment) LinkRate() float64 { return d.LinkMbps * bytesPerMegabit }

// RetryWindow is the window over which retries are limited.
func (d Deployment) RetryWindow() time.Duration {
	return time.Duration(d.RetryWindowMs) * time.Millisecond
}

// Grace is the time from the stop signal to the forced kill.
func (d Deployment) Grace() time.Duration { return time.Duration(d.GraceMs) * time.Millisecond }

// Stall is how long requests stall on an endpoint that is gone.
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

// TrustedKeys returns the parsed OperatorKeys.
func (s *Settings) TrustedKeys() bundle.KeySet { return s.trustedKeys }

// Load reads and validates a settings file. It reports all problems at once.
func Load(path string) (*Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, oops.In("settings").With("path", path).Wrap(err)
	}
	return Parse(content)
}

// Parse decodes and validates settings in TOML.
func Parse(content []byte) (*Settings, error) {
	s := &Settings{LogLevel: "info"}
	if problems := stricttoml.Decode(content, s); len(problems) > 0 {
		return nil, newInvalidError(problems)
	}
	c := checker{}
	if !s.Deployment.StoreAddress.IsValid() {
		s.trustedKeys = c.parseKeys(s.OperatorKeys)
	}
	c.check(s)
	if len(c.problems) > 0 {
		return nil, &InvalidError{Problems: c.problems}
	}
	return s, nil
}

// ParseKey parses an Ed25519 public key written as "name:base64".
func ParseKey(text string) (string, ed25519.PublicKey, bool) {
	name, encoded, found := strings.Cut(text, ":")
	raw, err := base64.StdEncoding.DecodeString(encoded)
	if !found || name == "" || err != nil || len(raw) != ed25519.PublicKeySize {
		return "", nil, false
	}
	return name, raw, true
}
