package cli

import (
	"fmt"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadareel/cicadareel/internal/events"
	"github.com/cicadareel/cicadareel/internal/outcome"
	"github.com/cicadareel/cicadareel/internal/process/settings"
)

func TestCLI(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "cli")
}

// readPage returns the content of a page of the documentation.
func readPage(name string) string {
	GinkgoHelper()
	content, err := os.ReadFile("../../docs/" + name)
	Expect(err).NotTo(HaveOccurred())
	return string(content)
}

var _ = Describe("the documentation", func() {
	It("lists every log event with its text", func() {
		page := readPage("EVENTS.md")
		for event, text := range events.All() {
			Expect(page).To(ContainSubstring(fmt.Sprintf("| %d | %s |", event, text)))
		}
		Expect(strings.Count(page, "\n| ")).To(Equal(len(events.All())+1), "rows and the heading")
	})

	It("lists every refusal reason", func() {
		page := readPage("METRICS.md")
		for _, r := range outcome.Reasons() {
			Expect(page).To(ContainSubstring("`" + string(r) + "`"))
		}
	})
})

var _ = Describe("settings", func() {
	It("report all problems at once, by key", func() {
		_, err := settings.Parse([]byte("role = \"entry\"\nfailureDomain = \"a\"\n"))
		for _, key := range []string{"instance", "peerAddress", "callerAddress", "operatorKeys", "platform.tableAddress", "tls"} {
			Expect(err.Error()).To(ContainSubstring("\n  " + key + ": "))
		}
	})

	It("report unknown keys with their line", func() {
		_, err := settings.Parse([]byte("role = \"entry\"\nfialureDomain = \"a\"\n"))
		Expect(err.Error()).To(ContainSubstring("line 2: fialureDomain: unknown key"))
	})
})
