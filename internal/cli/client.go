package cli

import (
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/samber/oops"
	"github.com/urfave/cli/v3"
	"google.golang.org/grpc"

	"github.com/cicadareel/cicadareel/internal/connection/peer"
	"github.com/cicadareel/cicadareel/internal/connection/store"
	"github.com/cicadareel/cicadareel/internal/connection/wire"
	"github.com/cicadareel/cicadareel/internal/identity"
	"github.com/cicadareel/cicadareel/internal/process/settings"
)

// peerTimeout limits one call to a process.
const peerTimeout = 5 * time.Second

// UnreachableError reports that no seed process of the settings completed a call.
// Cause is the error of the last one.
type UnreachableError struct{ Cause error }

func (e *UnreachableError) Error() string { return "no process reachable: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// NotInForceError reports a bundle or order that is not yet in force at every
// process.
type NotInForceError struct {
	InForce, Total int
	Missing        []string
}

func (e *NotInForceError) Error() string {
	return fmt.Sprintf("in force at %d of %d processes; not at: %s", e.InForce, e.Total, strings.Join(e.Missing, ", "))
}

// client gives operator commands access to the processes and to the platform.
type client struct {
	settings *settings.Settings
	dialer   *peer.Dialer
	intent   *store.IntentStore
}

// newClient creates a client from settings for the operator role.
func newClient(c *cli.Command) (*client, error) {
	s, err := loadSettings(c, settings.RoleOperator)
	if err != nil {
		return nil, err
	}
	id, err := identity.NewIdentity(s.TLS)
	if err != nil {
		return nil, err
	}
	p := store.NewClient(s.Platform.TableAddress, s.Platform.ObjectAddress, s.Platform.InstanceListAddress)
	return &client{settings: s, dialer: peer.NewDialer(id), intent: store.NewIntentStore(p, p)}, nil
}

// privateKey reads the operator's signing key.
func (k *client) privateKey() (ed25519.PrivateKey, error) {
	content, err := os.ReadFile(k.settings.OperatorKeyFile)
	if err != nil {
		return nil, oops.In("cli").Wrap(err)
	}
	seed, err := base64.StdEncoding.DecodeString(strings.TrimSpace(string(content)))
	if err != nil || len(seed) != ed25519.SeedSize {
		return nil, &UsageError{Problem: "operatorKeyFile does not contain a key created by \"keys operator\""}
	}
	return ed25519.NewKeyFromSeed(seed), nil
}

// callAnyPeer calls the seed processes of the settings in order until one call
// succeeds.
func callAnyPeer[T any](ctx context.Context, k *client, f func(context.Context, wire.PeerClient) (T, error)) (T, error) {
	var zero T
	var lastErr error
	for _, address := range k.settings.Seeds {
		conn, err := k.dialer.Dial(address)
		if err != nil {
			lastErr = err
			continue
		}
		result, err := callPeer(ctx, conn, f)
		if err == nil {
			return result, nil
		}
		lastErr = err
	}
	return zero, &UnreachableError{Cause: lastErr}
}

// callPeer makes one call on the connection and closes it.
func callPeer[T any](ctx context.Context, conn *grpc.ClientConn, f func(context.Context, wire.PeerClient) (T, error)) (T, error) {
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return f(ctx, wire.NewPeerClient(conn))
}

// clusterStatus asks one process for the status of all processes.
func (k *client) clusterStatus(ctx context.Context) (*wire.StatusReply, error) {
	return callAnyPeer(ctx, k, func(ctx context.Context, p wire.PeerClient) (*wire.StatusReply, error) {
		return p.Status(ctx, &wire.StatusRequest{Everywhere: true})
	})
}

// broadcast sends orders to one process, which forwards them to all others.
func (k *client) broadcast(ctx context.Context, request *wire.OrderRequest) (*wire.OrderReply, error) {
	request.Spread = true
	return callAnyPeer(ctx, k, func(ctx context.Context, p wire.PeerClient) (*wire.OrderReply, error) {
		return p.Order(ctx, request)
	})
}
