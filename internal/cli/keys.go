package cli

import (
	"context"
	"crypto/ecdsa"
	"crypto/ed25519"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/base64"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/samber/oops"
	"github.com/urfave/cli/v3"
)

const (
	keyFileMode         = 0o600
	authorityValidity   = 10 * 365 * 24 * time.Hour
	certificateValidity = 90 * 24 * time.Hour
	// clockSkew is how long before its creation a certificate becomes valid, for
	// machines whose clocks are behind.
	clockSkew = time.Hour
	// processName is the DNS name in every process certificate.
	processName = "cicadareel"
)

func keysCommand() *cli.Command {
	out := &cli.StringFlag{Name: "out", Usage: "`DIRECTORY` for the files", Value: "."}
	return &cli.Command{
		Name:  "keys",
		Usage: "create operator keys and certificates",
		Commands: []*cli.Command{
			{Name: "operator", Usage: "create an operator's signing key", ArgsUsage: "NAME", Flags: []cli.Flag{out}, Action: createOperatorKey},
			{Name: "authority", Usage: "create a certificate authority: ca.pem, ca.key", Flags: []cli.Flag{out}, Action: createAuthority},
			{Name: "certificate", Usage: "create a process certificate: NAME.pem, NAME.key", ArgsUsage: "NAME", Flags: []cli.Flag{out}, Action: createCertificate},
		},
	}
}

func createOperatorKey(_ context.Context, c *cli.Command) error {
	name, err := singleArgument(c, "operator name")
	if err != nil {
		return err
	}
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return oops.In("cli").Wrap(err)
	}
	path := filepath.Join(c.String("out"), name+".operator.key")
	if err := writeNewFile(path, []byte(base64.StdEncoding.EncodeToString(private.Seed())+"\n")); err != nil {
		return err
	}
	printLine(c.Root().Writer, "%s:%s", name, base64.StdEncoding.EncodeToString(public))
	return nil
}

func createAuthority(_ context.Context, c *cli.Command) error {
	template := newCertificateTemplate("cicadareel authority", authorityValidity)
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return oops.In("cli").Wrap(err)
	}
	return writeCertificate(filepath.Join(c.String("out"), "ca"), template, template, key, key)
}

func createCertificate(_ context.Context, c *cli.Command) error {
	name, err := singleArgument(c, "process name")
	if err != nil {
		return err
	}
	ca, err := readAuthority(c.String("out"))
	if err != nil {
		return err
	}
	template := newCertificateTemplate(name, certificateValidity)
	template.DNSNames = []string{processName}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return oops.In("cli").Wrap(err)
	}
	return writeCertificate(filepath.Join(c.String("out"), name), template, ca.cert, key, ca.key)
}

// authority is a certificate authority with its private key.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// readAuthority reads the certificate authority from ca.pem and ca.key.
func readAuthority(directory string) (*authority, error) {
	certDER, err := readPEM(filepath.Join(directory, "ca.pem"))
	if err != nil {
		return nil, err
	}
	keyDER, err := readPEM(filepath.Join(directory, "ca.key"))
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(certDER)
	if err != nil {
		return nil, oops.In("cli").Wrap(err)
	}
	key, err := x509.ParseECPrivateKey(keyDER)
	return &authority{cert: cert, key: key}, oops.In("cli").Wrap(err)
}

// readPEM returns the bytes of the first PEM block of a file.
func readPEM(path string) ([]byte, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, oops.In("cli").Wrap(err)
	}
	block, _ := pem.Decode(content)
	if block == nil {
		return nil, &UsageError{Problem: path + " contains no PEM block"}
	}
	return block.Bytes, nil
}

// newCertificateTemplate returns a template with a random serial number that is
// valid for the duration from now on.
func newCertificateTemplate(name string, validity time.Duration) *x509.Certificate {
	serial, _ := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-clockSkew),
		NotAfter:     time.Now().Add(validity),
	}
}

// writeCertificate signs a certificate for the key with the signer's key. It
// writes the certificate to base.pem and the private key to base.key.
func writeCertificate(base string, template, parent *x509.Certificate, key, signer *ecdsa.PrivateKey) error {
	cert, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		return oops.In("cli").Wrap(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return oops.In("cli").Wrap(err)
	}
	if err := writeNewFile(base+".key", pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER})); err != nil {
		return err
	}
	return writeNewFile(base+".pem", pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: cert}))
}

// writeNewFile writes a file that only its owner can read. It fails if the file
// exists, since an overwritten key cannot be recovered.
func writeNewFile(path string, content []byte) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, keyFileMode)
	if err != nil {
		return oops.In("cli").Wrap(err)
	}
	defer func() { _ = f.Close() }()
	_, err = f.Write(content)
	return oops.In("cli").Wrap(err)
}
