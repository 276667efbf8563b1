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

func readPage(name string) string {
	GinkgoHelper()
	content, err := os.ReadFile("../../docs/" + name)
	Expect(err).NotTo(HaveOccurred())
	return string(content)
}

var _ = Describe("the documentation", func() {
	It("has every log event with its text", func() {
		text := readPage("EVENTS.md")
		for event, words := range events.All() {
			Expect(text).To(ContainSubstring(fmt.Sprintf("| %d | %s |", event, words)))
		}
		Expect(strings.Count(text, "\n| ")).To(Equal(len(events.All())+1), "rows and the heading")
	})

	It("has every refusal reason", func() {
		text := readPage("METRICS.md")
		for _, r := range outcome.Reasons() {
			Expect(text).To(ContainSubstring("`" + string(r) + "`"))
		}
	})
})

var _ = Describe("settings", func() {
	It("report every problem at once, by key", func() {
		_, err := settings.Parse([]byte("role = \"entry\"\nfailureDomain = \"a\"\n"))
		for _, key := range []string{"instance", "peerAddress", "callerAddress", "operatorKeys", "platform.tableAddress", "tls"} {
			Expect(err.Error()).To(ContainSubstring("\n  " + key + ": "))
		}
	})

	It("refuse unknown keys with their line", func() {
		_, err := settings.Parse([]byte("role = \"entry\"\nfialureDomain = \"a\"\n"))
		Expect(err.Error()).To(ContainSubstring("line 2: fialureDomain: unknown key"))
	})
})
