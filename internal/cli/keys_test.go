package cli

import (
	"context"
	"net"
	"net/netip"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/cicadareel/cicadareel/internal/connection/peer"
	"github.com/cicadareel/cicadareel/internal/connection/wire"
	"github.com/cicadareel/cicadareel/internal/identity"
)

// peerServer replies to every exchange of views.
type peerServer struct{ wire.UnimplementedPeerServer }

func (peerServer) Exchange(context.Context, *wire.ViewSummary) (*wire.ViewUpdate, error) {
	return &wire.ViewUpdate{}, nil
}

// newIdentity creates a certificate signed by the authority in dir and loads it.
func newIdentity(dir, name string) *identity.Identity {
	GinkgoHelper()
	Expect(Main([]string{"cicadareel", "keys", "certificate", "--out", dir, name})).To(BeZero())
	i, err := identity.NewIdentity(identity.Files{
		CAFile:   filepath.Join(dir, "ca.pem"),
		CertFile: filepath.Join(dir, name+".pem"),
		KeyFile:  filepath.Join(dir, name+".key"),
	})
	Expect(err).NotTo(HaveOccurred())
	return i
}

// newAuthority creates a certificate authority and returns its directory.
func newAuthority() string {
	GinkgoHelper()
	dir := GinkgoT().TempDir()
	Expect(Main([]string{"cicadareel", "keys", "authority", "--out", dir})).To(BeZero())
	return dir
}

var _ = Describe("credentials between processes", func() {
	var address netip.AddrPort
	var dir string

	BeforeEach(func() {
		dir = newAuthority()
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address = netip.MustParseAddrPort(l.Addr().String())
		server := peer.NewGRPCServer(newIdentity(dir, "server").ServerCredentials())
		wire.RegisterPeerServer(server, peerServer{})
		go func() { _ = server.Serve(l) }()
		DeferCleanup(server.Stop)
	})

	exchange := func(d *peer.Dialer) error {
		conn, err := d.Dial(address)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		_, err = wire.NewPeerClient(conn).Exchange(context.Background(), &wire.ViewSummary{})
		return err
	}

	It("accept a process with a certificate of the authority", func() {
		Expect(exchange(peer.NewDialer(newIdentity(dir, "entry")))).To(Succeed())
	})

	It("reject a process without a certificate or with one of another authority", func() {
		var d net.Dialer
		plain := peer.NewDialerWith(insecure.NewCredentials, func(ctx context.Context, address string) (net.Conn, error) {
			return d.DialContext(ctx, "tcp", address)
		})
		Expect(exchange(plain)).NotTo(Succeed())
		Expect(exchange(peer.NewDialer(newIdentity(newAuthority(), "stranger")))).NotTo(Succeed())
	})

	It("are not overwritten by new ones of the same name", func() {
		Expect(Main([]string{"cicadareel", "keys", "certificate", "--out", dir, "server"})).NotTo(BeZero())
	})
})
