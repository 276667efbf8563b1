package report_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadareel/cicadareel/internal/report"
)

func TestReport(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "report")
}

const log = `quiet-1  16/15  0.74
  -1.5000 edge-a {"event":100}
   3.2500 edge-a {"event":405,"firstByteMs":170,"tookMs":1500}
   4.5000 edge-b {"event":600,"skewBefore":2.5,"skewAfter":1.25}
worth { of the bench
`

func write(name, content string) string {
	GinkgoHelper()
	path := filepath.Join(GinkgoT().TempDir(), name)
	Expect(os.WriteFile(path, []byte(content), 0o600)).To(Succeed())
	return path
}

var _ = Describe("a bench run", func() {
	It("has the earned credit, the response times and the skews of map changes, and nothing else", func() {
		run, err := report.ReadRun(write("r", `{"windows":[{"name":"0","worth":1},{"name":"2","worth":0.5}]}`), write("l", log))
		Expect(err).NotTo(HaveOccurred())
		Expect(run.EarnedShare).To(Equal([]report.Point{{Second: 0, Value: 1}, {Second: 2, Value: 0.5}}))
		Expect(run.FirstByte).To(Equal([]report.Point{{Second: 3.25, Value: 170}}))
		Expect(run.Total).To(Equal([]report.Point{{Second: 3.25, Value: 1500}}))
		Expect(run.SkewBefore).To(Equal([]report.Point{{Second: 4.5, Value: 2.5}}))
		Expect(run.SkewAfter).To(Equal([]report.Point{{Second: 4.5, Value: 1.25}}))
	})

	It("is drawn as three plots on one page", func() {
		run, err := report.ReadRun(write("r", `{"windows":[{"name":0,"worth":1}]}`), write("l", log))
		Expect(err).NotTo(HaveOccurred())
		var out bytes.Buffer
		Expect(run.Write(&out, "a run")).To(Succeed())
		Expect(strings.Count(out.String(), "<svg")).To(Equal(3))
	})

	DescribeTable("is rejected if its report is invalid", func(content string) {
		_, err := report.ReadRun(write("r", content), write("l", log))
		Expect(err).To(HaveOccurred())
	}, Entry("not JSON", "quiet"), Entry("a window whose name is not a number", `{"windows":[{"name":"early","worth":1}]}`))
})
