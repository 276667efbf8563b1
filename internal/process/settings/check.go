package settings

import (
	"fmt"
	"net/netip"

	"github.com/sirupsen/logrus"

	"github.com/cicadareel/cicadareel/internal/identity"
	"github.com/cicadareel/cicadareel/pkg/bundle"
)

// checker collects the problems of one settings file.
type checker struct{ problems []string }

// minGraceMs leaves time for the balancer in front to notice the failing
// readiness check and for running requests to end.
const minGraceMs = 4000

// minHeldBytes is the least number of bytes that an entry may hold for callers.
const minHeldBytes = 1 << 20

// maxSocketBytes bounds the buffers of sockets.
const maxSocketBytes = 16 << 20

func (c *checker) require(ok bool, key, text string, args ...any) {
	if !ok {
		c.problems = append(c.problems, key+": "+fmt.Sprintf(text, args...))
	}
}

func (c *checker) requireAddress(a netip.AddrPort, key string) {
	c.require(a.IsValid(), key, "must be an IP address and port such as \"127.0.0.1:8080\"")
}

func (c *checker) parseKeys(texts []string) bundle.KeySet {
	keys := bundle.KeySet{}
	for i, text := range texts {
		name, key, ok := ParseKey(text)
		c.require(ok, fmt.Sprintf("operatorKeys[%d]", i), "must be \"name:base64 of an Ed25519 public key\"")
		keys[name] = key
	}
	c.require(len(texts) > 0, "operatorKeys", "must list at least one key")
	return keys
}

func (c *checker) check(s *Settings) {
	c.require(s.Role == RoleEntry || s.Role == RoleSidecar || s.Role == RoleOperator, "role", "must be \"entry\", \"sidecar\" or \"operator\"")
	if s.Deployment == (Deployment{}) {
		c.requireAddress(s.Platform.TableAddress, "platform.tableAddress")
		c.requireAddress(s.Platform.ObjectAddress, "platform.objectAddress")
		c.requireAddress(s.Platform.InstanceListAddress, "platform.instanceListAddress")
	} else {
		c.checkDeployment(s)
	}
	_, err := logrus.ParseLevel(s.LogLevel)
	c.require(err == nil, "logLevel", "must be one of trace, debug, info, warning, error")
	c.checkRole(s)
	c.checkTLS(&s.TLS)
}

func (c *checker) checkRole(s *Settings) {
	if s.Role == RoleOperator {
		c.require(len(s.Seeds) > 0, "seeds", "must list at least one process")
		return
	}
	c.require(s.Instance != "", "instance", "must not be empty")
	c.require(s.FailureDomain != "", "failureDomain", "must not be empty")
	c.requireAddress(s.PeerAddress, "peerAddress")
	c.requireAddress(s.OperatorAddress, "operatorAddress")
	switch s.Role {
	case RoleEntry:
		c.requireAddress(s.CallerAddress, "callerAddress")
		c.require(s.Endpoint == "", "endpoint", "is for sidecars only")
	case RoleSidecar:
		c.require(s.Endpoint != "", "endpoint", "must not be empty")
		c.requireAddress(s.EndpointAddress, "endpointAddress")
		c.require(!s.CallerAddress.IsValid(), "callerAddress", "is for entries only")
	}
}

func (c *checker) checkDeployment(s *Settings) {
	d := s.Deployment
	c.require(s.Role == RoleEntry, "deployment", "is for entries only")
	c.require(len(s.OperatorKeys) == 0, "operatorKeys", "must not be set together with deployment, whose store is trusted")
	c.requireAddress(d.StoreAddress, "deployment.storeAddress")
	c.require(d.RetryRatio >= 0, "deployment.retryRatio", "must not be negative")
	c.require(d.RetrySlack >= 0, "deployment.retrySlack", "must not be negative")
	c.require(d.RetryWindowMs > 0, "deployment.retryWindowMs", "must be a positive number of milliseconds")
	c.require(d.ColdFactor > 0, "deployment.coldFactor", "must be positive")
	c.require(d.ColdTolerance >= 0, "deployment.coldTolerance", "must not be negative")
	c.require(d.GraceMs >= minGraceMs, "deployment.graceMs", "must be at least %d milliseconds", minGraceMs)
	c.require(d.StallMs >= 0, "deployment.stallMs", "must not be negative")
	c.require(d.LinkMbps >= 0, "deployment.linkMbps", "must not be negative")
	c.require(d.MemoryBytes >= 0, "deployment.memoryBytes", "must not be negative")
	c.require(d.HeldBytes == 0 || d.HeldBytes >= minHeldBytes, "deployment.heldBytes", "must be 0 or at least %d", minHeldBytes)
	c.require(d.MaxConnections >= 0, "deployment.maxConnections", "must not be negative")
	c.require(d.SocketBytes >= 0 && d.SocketBytes <= maxSocketBytes, "deployment.socketBytes", "must be 0 to %d", maxSocketBytes)
}

func (c *checker) checkTLS(t *identity.Files) {
	files := t.CAFile != "" && t.CertFile != "" && t.KeyFile != ""
	none := t.CAFile == "" && t.CertFile == "" && t.KeyFile == ""
	c.require(t.Insecure || files, "tls", "set caFile, certFile and keyFile, or insecure = true")
	c.require(!t.Insecure || none, "tls.insecure", "must not be set together with files")
}
