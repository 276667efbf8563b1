package bundle_test

import (
	"crypto/ed25519"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadareel/cicadareel/pkg/bundle"
)

func TestBundle(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "bundle")
}

func readExample(name string) []byte {
	GinkgoHelper()
	content, err := os.ReadFile(filepath.Join("..", "..", "examples", name))
	Expect(err).NotTo(HaveOccurred())
	return content
}

func problemsOf(content string) []bundle.Problem {
	GinkgoHelper()
	_, err := bundle.Parse([]byte(content))
	var invalid *bundle.InvalidError
	Expect(errors.As(err, &invalid)).To(BeTrue())
	return invalid.Problems
}

var _ = Describe("Parse", func() {
	DescribeTable("accepts the example bundles", func(name string) {
		b, err := bundle.Parse(readExample(name))
		Expect(err).NotTo(HaveOccurred())
		Expect(b.FailureDomains).To(HaveLen(3))
		Expect(b.Endpoints).To(HaveLen(15))
		Expect(b.ClientAccounts).To(HaveLen(10))
	}, Entry(nil, "kavango.toml"), Entry(nil, "lepola.toml"))

	It("reports every error with its line and key", func() {
		text := strings.Replace(string(readExample("kavango.toml")), "version = 1", "version = 0", 1)
		text = strings.Replace(text, `group = "bookings-desk"`, `group = "nowhere"`, 1)
		text = strings.Replace(text, `timeout = "5s"`, `timeout = "soon"`, 1)
		problems := problemsOf(text)
		keys := []string{}
		for _, p := range problems {
			Expect(p.Line).To(BeNumerically(">", 0), p.Key)
			keys = append(keys, p.Key)
		}
		Expect(keys).To(ConsistOf("version", "endpoints[12].group", "routes[1].timeout"))
	})

	It("reports unknown keys and invalid TOML with the line", func() {
		Expect(problemsOf("version = 1\nverion = 2\n")).To(ContainElement(HaveField("Line", 2)))
		Expect(problemsOf("version = \n")).To(ContainElement(HaveField("Line", 1)))
	})
})

var _ = Describe("Route", func() {
	It("is the one with the longest path that matches whole segments", func() {
		b, err := bundle.Parse(readExample("kavango.toml"))
		Expect(err).NotTo(HaveOccurred())
		Expect(b.Route("", "/v1/drafts/7").Path).To(Equal("/v1/drafts"))
		Expect(b.Route("", "/v1/draftsman")).To(BeNil())
	})
})

func partIndex(manifest []byte, digest string) int {
	digests, _ := bundle.ParseManifest(manifest)
	return slices.Index(digests, digest)
}

var _ = Describe("Signed", func() {
	public, private, _ := ed25519.GenerateKey(nil)
	keys := bundle.KeySet{"anna": public}
	var signed *bundle.Signed

	BeforeEach(func() {
		var err error
		signed, err = bundle.Sign(readExample("lepola.toml"), "anna", private)
		Expect(err).NotTo(HaveOccurred())
	})

	It("opens if a trusted key signed it", func() {
		_, err := signed.Open(keys)
		Expect(err).NotTo(HaveOccurred())
	})

	It("is assembled from parts, of which a change of one client account replaces at most 3", func() {
		text := "version = 1\nfailureDomains = [{name=\"a\"}]\n"
		for i := range 3000 {
			text += fmt.Sprintf("[[clientAccounts]]\nname = \"c%d\"\ntokenHashes = [%q]\nweight = 1\n\n", i, bundle.HashToken(fmt.Sprint(i)))
		}
		changed := strings.Replace(text, bundle.HashToken("1500"), bundle.HashToken("new"), 1)
		before, err := bundle.Sign([]byte(text), "anna", private)
		Expect(err).NotTo(HaveOccurred())
		after, err := bundle.Sign([]byte(changed), "anna", private)
		Expect(err).NotTo(HaveOccurred())
		held := before.Parts()
		fetched := 0
		after.Content = nil
		Expect(after.Assemble(func(digest string) ([]byte, error) {
			if p := held[digest]; p != nil {
				return p, nil
			}
			fetched++
			return bundle.Split([]byte(changed))[partIndex(after.Manifest, digest)], nil
		})).To(Succeed())
		Expect(string(after.Content)).To(Equal(changed))
		Expect(fetched).To(BeNumerically("<=", 3))
		_, err = after.Open(keys)
		Expect(err).NotTo(HaveOccurred())
	})

	It("is not assembled from a part that does not match its digest", func() {
		Expect(signed.Assemble(func(string) ([]byte, error) { return []byte("x"), nil })).NotTo(Succeed())
	})

	DescribeTable("does not open after a change", func(change func(*bundle.Signed)) {
		change(signed)
		_, err := signed.Open(keys)
		Expect(err).To(HaveOccurred())
	},
		Entry("content", func(s *bundle.Signed) { s.Content = append([]byte("# x\n"), s.Content...) }),
		Entry("version", func(s *bundle.Signed) { s.Version++ }),
		Entry("author", func(s *bundle.Signed) { s.Author = "eve" }),
		Entry("signature", func(s *bundle.Signed) { s.Signature[0] ^= 1 }),
	)
})
