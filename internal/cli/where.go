package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"regexp"
	"strings"
	"time"

	"github.com/samber/oops"
	"github.com/urfave/cli/v3"

	"github.com/cicadareel/cicadareel/internal/connection/caller"
	"github.com/cicadareel/cicadareel/internal/http1"
	"github.com/cicadareel/cicadareel/platform"
)

// maxAnswerBytes limits the answer of an entry to where.
const maxAnswerBytes = 16 << 20

var (
	// promptParts and promptSize are the forms of the options parts and size.
	promptParts = regexp.MustCompile(`^[^,:\s]+(:\d+)?(,[^,:\s]+(:\d+)?)*$`)
	promptSize  = regexp.MustCompile(`^\d+,\d+$`)
)

func whereCommand() *cli.Command {
	return &cli.Command{
		Name:      "where",
		Usage:     "show where an entry would send a request now, and why; nothing is sent",
		ArgsUsage: "PATH",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "at", Usage: "operator `ADDRESS` of the entry", Required: true},
			&cli.StringFlag{Name: "host", Usage: "`HOST` of the request"},
			&cli.StringFlag{Name: "account", Usage: "`NAME` of the client account; without it the request has no token"},
			&cli.StringFlag{Name: "parts", Usage: "parts of the prompt as `ID:TOKENS,...`, the request's own one last"},
			&cli.StringFlag{Name: "size", Usage: "`PROMPT,ANSWER`: number of prompt tokens, and the most to be generated"},
			jsonOption(),
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			target, err := singleArgument(c, "the path of the request")
			if err != nil {
				return err
			}
			preview, err := askWhere(ctx, c, target)
			if err != nil {
				return err
			}
			if c.Bool("json") {
				return printJSON(c.Root().Writer, preview)
			}
			printWhere(c.Root().Writer, preview)
			return nil
		},
	}
}

// askWhere checks the options and asks the entry.
func askWhere(ctx context.Context, c *cli.Command, target string) (caller.Preview, error) {
	var out caller.Preview
	at, err := netip.ParseAddrPort(c.String("at"))
	parts, size := c.String("parts"), c.String("size")
	switch {
	case err != nil:
		return out, &UsageError{Problem: "--at must be an address and a port, such as 10.0.0.1:9100"}
	case !strings.HasPrefix(target, "/"):
		return out, &UsageError{Problem: "the path must begin with a slash: " + target}
	case parts != "" && !promptParts.MatchString(parts):
		return out, &UsageError{Problem: "--parts must be ID:TOKENS, separated by commas: " + parts}
	case size != "" && !promptSize.MatchString(size):
		return out, &UsageError{Problem: "--size must be two numbers of tokens, such as 1460,80: " + size}
	}
	query := url.Values{"host": {c.String("host")}, "target": {target}, "account": {c.String("account")}}
	return askPreview(ctx, "http://"+at.String()+"/where?"+query.Encode(), platform.PromptHeader(parts, size))
}

// askPreview sends the question to an entry.
func askPreview(ctx context.Context, address string, header http.Header) (caller.Preview, error) {
	var out caller.Preview
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, http.NoBody)
	if err != nil {
		return out, oops.In("cli").Wrap(err)
	}
	req.Header = header
	resp, err := (&http.Client{Transport: http1.NewDefaultTransport()}).Do(req)
	if err != nil {
		return out, &UnreachableError{Cause: err}
	}
	defer func() { _ = resp.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	switch {
	case err != nil:
		return out, &UnreachableError{Cause: err}
	case resp.StatusCode == http.StatusBadRequest:
		return out, &UsageError{Problem: strings.TrimSpace(string(content))}
	case resp.StatusCode != http.StatusOK:
		return out, &UsageError{Problem: "the process at this address cannot tell: " + resp.Status}
	}
	return out, oops.In("cli").Wrap(json.Unmarshal(content, &out))
}

// printWhere prints an answer for people.
func printWhere(w io.Writer, p caller.Preview) {
	if r := p.Refusal; r != nil {
		printLine(w, "would be refused: status %d, %s%s%s%s", r.Status, r.Reason, label("; ", r.Detail), label("; suspected part ", r.Part), label("; Retry-After ", r.RetryAfter))
	} else {
		printLine(w, "would go to %s", p.Choice)
	}
	printLine(w, "configuration   version %d", p.BundleVersion)
	if p.Route+p.Path != "" {
		printLine(w, "route           %s (%s)%s", p.Route, p.Path, label(", group ", p.Group))
	}
	printLine(w, "account         %s, priority %d, urgency %d, cost %.2f, %d shared parts", p.Account, p.Priority, p.Urgency, p.Cost, len(p.SharedParts))
	if p.Admission != nil {
		printAdmission(w, p.Admission)
	}
	for _, c := range p.Candidates {
		printLine(w, "  %-20s %-14s load %.3f  own %d, others %d (%s ago), limit %d, slowness %.2f%s%s%s",
			c.Endpoint, c.FailureDomain, c.Load, c.Own, c.Others, milliseconds(c.OthersAgeMs), c.Limit, c.Slowness,
			duration(", paused for ", c.PausedForMs), duration(", cold for ", c.ColdForMs), label("; ", strings.Join(c.Obstacles, ", ")))
	}
}

// printAdmission prints the decision of the admission and the plan.
func printAdmission(w io.Writer, a *caller.AdmissionPreview) {
	limit := "account not limited"
	if a.Limit > 0 {
		limit = fmt.Sprintf("account has %d of %.1f requests in flight", a.InFlight, a.Limit)
	}
	printLine(w, "admission       admitted %v, over share %v; %s", a.Admitted, a.OverShare, limit)
	if a.PlanAgeMs == 0 && a.Entries == 0 {
		printLine(w, "plan            none")
		return
	}
	printLine(w, "plan            %s old; group: %.1f of %.1f in flight, loads of %d entries; limited accounts: %s",
		milliseconds(a.PlanAgeMs), a.GroupInFlight, a.GroupTarget, a.Entries, strings.Join(a.LimitedAccounts, ", "))
}

// label returns the text behind a label, or nothing without a text.
func label(name, text string) string {
	if text == "" {
		return ""
	}
	return name + text
}

// duration returns a duration behind a label, or nothing if it is 0.
func duration(name string, ms int64) string {
	if ms == 0 {
		return ""
	}
	return name + milliseconds(ms)
}

func milliseconds(ms int64) string { return fmt.Sprint(time.Duration(ms) * time.Millisecond) }
