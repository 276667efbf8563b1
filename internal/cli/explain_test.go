package cli

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("explain", func() {
	const logs = `{"time":"2026-06-05T10:00:01Z","instance":"entry-1","event":210,"msg":"endpoint removed","endpoint":"e-7","reason":"leaving"}
  12.5 entry-1 {"time":"2026-06-05T10:00:02Z","instance":"entry-1","event":404,"msg":"request retried","request":"r1","endpoints":"e-7","reason":"shed"}
not a line of a log {
{"time":"2026-06-05T10:00:02.5Z","instance":"entry-2","event":212,"msg":"endpoint ejected","endpoint":"e-9"}
{"time":"2026-06-05T10:00:03Z","instance":"entry-1","event":403,"msg":"request refused","request":"r1","endpoints":"e-7,e-8","reason":"noEndpoint"}
{"time":"2026-06-05T10:00:00.5Z","instance":"entry-1","event":204,"msg":"platform unreachable","error":"status 503"}
{"time":"2026-06-05T09:00:00Z","instance":"entry-1","event":100,"msg":"process started"}
{"time":"2026-06-05T10:00:03Z","instance":"entry-1","event":405,"msg":"request answered","request":"r2"}
`
	eventNumbers := func(request string) []int {
		GinkgoHelper()
		lines, err := parseLog(strings.NewReader(logs))
		Expect(err).NotTo(HaveOccurred())
		var out []int
		for _, l := range requestTimeline(lines, request) {
			out = append(out, l.Event)
		}
		return out
	}

	It("shows the events of a request and the related events around them, in order of time", func() {
		Expect(eventNumbers("r1")).To(Equal([]int{204, 210, 404, 403}))
	})

	It("shows nothing for a request that no line names", func() {
		Expect(eventNumbers("r9")).To(BeEmpty())
	})
})
