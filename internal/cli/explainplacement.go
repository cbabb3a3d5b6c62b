package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cuminwing/cuminwing/internal/placement"
	"github.com/cuminwing/cuminwing/internal/proxy"
)

// explainPath is the path of the call on the metrics port of a front.
const explainPath = "/explain-placement"

// maxReportBytes limits the answer of a front that is read.
const maxReportBytes = 16 << 20

func addExplainPlacement(r *registry) {
	c := r.app.Command("explain-placement", "Shows where a request would go now and why, without sending it.")
	example(c, "Explains a request with two shared parts of its prompt and one of its own.",
		"cuminwing explain-placement --front 10.0.0.7:9464 --host chat.example --path /v1/chat --workspace yards --part rules:6000 --part tools:3000 --part question:400")
	var q proxy.ExplainRequest
	front := c.Flag("front", "Metrics address of a front.").Required().PlaceHolder("IP:PORT").String()
	c.Flag("host", "Host of the request.").Required().StringVar(&q.Host)
	c.Flag("path", "Path of the request.").Default("/").StringVar(&q.Path)
	c.Flag("workspace", "Workspace of the request; none for a request without a key.").StringVar(&q.Workspace)
	parts := c.Flag("part", "A part of the prompt and its tokens; may be repeated. The last one belongs to this request only.").PlaceHolder("NAME:TOKENS").Strings()
	c.Flag("prompt-tokens", "Stated tokens of the prompt, for the quota.").IntVar(&q.PromptTokens)
	c.Flag("output-tokens", "Stated largest number of tokens of the response.").IntVar(&q.OutputTokens)
	priority := optionalInt(c, "priority", "Priority that replaces the one of the workspace; 0 is the highest.")
	c.Flag("limit", "Largest number of candidates and of excluded targets in the answer.").IntVar(&q.Limit)
	r.add(c, func(out, errOut io.Writer) int {
		report, exit, err := fetchExplanation(*front, &q, *parts, *priority)
		switch {
		case err != nil:
			fmt.Fprintln(errOut, "cuminwing explain-placement:", err)
			return exit
		case r.flags.output == outputJSON:
			err = printJSON(out, report)
		default:
			printPlacement(out, report)
		}
		if err != nil {
			return ExitFailed
		}
		return ExitOK
	})
}

// optionalInt adds a flag with a number, which is empty if it is not set.
func optionalInt(c *kingpin.CmdClause, name, help string) *string {
	return c.Flag(name, help).PlaceHolder("N").String()
}

// fetchExplanation asks a front. The second result is the exit code if there is an error.
func fetchExplanation(front string, q *proxy.ExplainRequest, parts []string, priority string) (*proxy.PlacementReport, int, error) {
	if _, err := netip.ParseAddrPort(front); err != nil {
		return nil, ExitRefused, fmt.Errorf("%q is not an IP address and port", front)
	}
	for _, part := range parts {
		at := strings.LastIndexByte(part, ':')
		tokens, err := strconv.Atoi(part[at+1:])
		if at < 1 || err != nil || tokens < 0 {
			return nil, ExitRefused, fmt.Errorf("%q is not a name and a number of tokens", part)
		}
		q.Parts = append(q.Parts, proxy.PromptPart{Name: part[:at], Tokens: tokens})
	}
	if priority != "" {
		n, err := strconv.Atoi(priority)
		if err != nil || n < 0 {
			return nil, ExitRefused, fmt.Errorf("%q is not a priority", priority)
		}
		q.Priority = &n
	}
	body, err := json.Marshal(q)
	if err != nil {
		return nil, ExitFailed, err
	}
	client := http.Client{Timeout: metricsTimeout}
	response, err := client.Post("http://"+front+explainPath, "application/json", bytes.NewReader(body))
	if err != nil {
		return nil, ExitFailed, err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxReportBytes))
	if err != nil {
		return nil, ExitFailed, err
	}
	if response.StatusCode != http.StatusOK {
		exit := ExitFailed
		if response.StatusCode == http.StatusBadRequest {
			exit = ExitRefused
		}
		return nil, exit, fmt.Errorf("%s: %s", response.Status, strings.TrimSpace(string(answer)))
	}
	report := &proxy.PlacementReport{}
	return report, ExitFailed, json.Unmarshal(answer, report)
}

func printPlacement(out io.Writer, r *proxy.PlacementReport) {
	fmt.Fprintf(out, "front:    %s in %s, document %d, state confirmed %s ago\n", r.VM, r.Zone, r.Document, milliseconds(r.StateAge))
	if r.Route != "" {
		fmt.Fprintf(out, "route:    %s\n", r.Route)
	}
	if r.Isolated {
		fmt.Fprintln(out, "cache:    the workspace shares cached parts with no other one")
	}
	if r.Refusal != nil {
		fmt.Fprintf(out, "refused:  %d %s", r.Refusal.Status, r.Refusal.Code)
		if r.Refusal.RetryAfter > 0 {
			fmt.Fprintf(out, ", retry after %s", milliseconds(r.Refusal.RetryAfter))
		}
		if r.Refusal.Reason != "" {
			fmt.Fprintf(out, " (%s)", r.Refusal.Reason)
		}
		fmt.Fprintln(out)
	}
	fmt.Fprintf(out, "not checked: %s\n", strings.Join(r.NotChecked, "; "))
	for i := range r.Services {
		printServicePlacement(out, &r.Services[i])
	}
}

func printServicePlacement(out io.Writer, s *proxy.ServicePlacement) {
	fmt.Fprintf(out, "\nservice:  %s (%.0f%% of the route), priority %d, weights %d, version %s\n", s.Service, 100*s.Share, s.Priority, s.Weights, s.Cohort)
	if s.Visible > 1 {
		fmt.Fprintf(out, "hints:    from %d of %d other fronts, age on arrival %s\n", s.Visible-1, s.Fronts-1, milliseconds(s.HintAge))
	}
	if s.Chosen == "" {
		fmt.Fprintln(out, "chosen:   no usable target")
	} else {
		fmt.Fprintf(out, "chosen:   %s, because %s (costs count as equal up to %s)\n", s.Chosen, s.Because, milliseconds(s.Tie))
		if s.SendDelay > 0 {
			fmt.Fprintf(out, "          held back for %s, until the target has the parts that it is prefilling\n", milliseconds(s.SendDelay))
		}
	}
	if s.Unreachable {
		fmt.Fprintln(out, "          the candidates include targets that could not be reached")
	}
	if len(s.Candidates) > 0 {
		fmt.Fprintln(out, "\nCosts and their terms in milliseconds:")
		printCandidates(out, s.Candidates)
	}
	printMore(out, s.MoreCandidates)
	if len(s.Excluded) > 0 {
		fmt.Fprintln(out)
		t := newTable(out, "EXCLUDED", "ZONE", "REASON", "KNOWN FOR", "LASTS")
		for _, e := range s.Excluded {
			t.row(e.Target, e.Zone, e.Reason, milliseconds(e.Age), milliseconds(e.Wait))
		}
		t.flush()
	}
	printMore(out, s.MoreExcluded)
}

func printMore(out io.Writer, more int) {
	if more > 0 {
		fmt.Fprintf(out, "and %d more\n", more)
	}
}

// printCandidates prints the candidates with those terms that are not zero for all of them.
func printCandidates(out io.Writer, candidates []placement.Candidate) {
	terms := reflect.TypeFor[placement.Terms]()
	header := []string{"TARGET", "ZONE", "COST", "EXPECTED"}
	var shown []int
	for n := range terms.NumField() {
		for i := range candidates {
			if term(&candidates[i], n) != 0 {
				shown = append(shown, n)
				header = append(header, strings.ToUpper(terms.Field(n).Name))
				break
			}
		}
	}
	t := newTable(out, append(header, "CACHED", "FETCHED FROM", "IN FLIGHT", "LOAD AGE", "ANSWER AGE")...)
	for i := range candidates {
		c := &candidates[i]
		row := []string{c.Target, c.Zone, oneDigit(c.Cost), oneDigit(c.Expected)}
		for _, n := range shown {
			row = append(row, oneDigit(term(c, n)))
		}
		t.row(append(row, strconv.Itoa(c.CachedTokens), orDash(c.FetchFrom), strconv.Itoa(c.InFlight), milliseconds(c.LoadAge), milliseconds(c.AnswerAge))...)
	}
	t.flush()
}

func term(c *placement.Candidate, n int) float64 {
	return reflect.ValueOf(&c.Terms).Elem().Field(n).Float()
}

func oneDigit(x float64) string { return strconv.FormatFloat(x, 'f', 1, 64) }

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// milliseconds formats a duration in milliseconds; "-" if it is not known.
func milliseconds(ms float64) string {
	if ms <= 0 {
		return "-"
	}
	return time.Duration(ms * float64(time.Millisecond)).Round(time.Millisecond / 10).String()
}
