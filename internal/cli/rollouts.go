package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cuminwing/cuminwing/internal/canary"
	"github.com/cuminwing/cuminwing/internal/exposure"
)

const (
	// metricsTimeout limits the call to the metrics page of a process.
	metricsTimeout = 5 * time.Second
	// maxMetricsBytes limits the metrics page that is read.
	maxMetricsBytes = 16 << 20
)

func addRollouts(r *registry) {
	group := r.app.Command("rollouts", "Shows the rollouts of software versions on the users' platform.")
	addRolloutsList(r, group)
	addRolloutsShow(r, group)
}

func addRolloutsList(r *registry, group *kingpin.CmdClause) {
	c := group.Command("list", "Lists the last rollout of each service.")
	example(c, "Lists the rollouts that a member of the core knows.", "cuminwing rollouts list --metrics http://10.0.0.1:9464/metrics")
	url := metricsFlag(c)
	r.add(c, func(out, errOut io.Writer) int {
		return r.withRollouts(*url, errOut, func(rollouts map[string]exposure.Summary) error {
			if r.flags.output == outputJSON {
				return printJSON(out, rollouts)
			}
			t := newTable(out, "SERVICE", "VERSION", "STATE", "SHARE", "REASON")
			for _, service := range slices.Sorted(maps.Keys(rollouts)) {
				s := rollouts[service]
				t.row(service, s.Version, s.Phase, fmt.Sprintf("%.3f", s.Share), s.Reason)
			}
			t.flush()
			return nil
		})
	})
}

func addRolloutsShow(r *registry, group *kingpin.CmdClause) {
	c := group.Command("show", "Shows the last rollout of a service, with its evidence while it is running.")
	example(c, "Shows a rollout. Only the leader of the core has evidence.", "cuminwing rollouts show huvo11a --metrics http://10.0.0.1:9464/metrics")
	service := c.Arg("service", "Name of the service.").Required().String()
	url := metricsFlag(c)
	r.add(c, func(out, errOut io.Writer) int {
		return r.withRollouts(*url, errOut, func(rollouts map[string]exposure.Summary) error {
			s, ok := rollouts[*service]
			if !ok {
				return fmt.Errorf("the service %q has no rollout", *service)
			}
			if r.flags.output == outputJSON {
				return printJSON(out, s)
			}
			printRollout(out, *service, &s)
			return nil
		})
	})
}

func metricsFlag(c *kingpin.CmdClause) *string {
	return c.Flag("metrics", "URL of the metrics of a member of the core.").Required().PlaceHolder("URL").String()
}

func printRollout(out io.Writer, service string, s *exposure.Summary) {
	fmt.Fprintf(out, "service:      %s\nversion:      %s\nstate:        %s\nshare:        %.3f\ntarget share: %.3f\nreason:       %s\n",
		service, s.Version, s.Phase, s.Share, s.TargetShare, s.Reason)
	if len(s.Evidence) == 0 {
		return
	}
	fmt.Fprintln(out)
	t := newTable(out, "ROUTE", "VERSION", "REQUESTS", "FAILED", "FIRST BYTE", "INTERVAL")
	for _, e := range s.Evidence {
		t.row(evidenceRow(e.Class, "old", e.Baseline)...)
		t.row(evidenceRow(e.Class, "new", e.Canary)...)
	}
	t.flush()
}

func evidenceRow(class, version string, e canary.CohortEvidence) []string {
	return []string{
		class, version, fmt.Sprint(e.Requests), fmt.Sprintf("%.3f", e.FailureRate),
		e.FirstByte.Round(time.Microsecond).String(), e.Interval.Round(time.Microsecond).String(),
	}
}

// withRollouts calls f with the rollouts on a metrics page and returns the exit code.
func (r *registry) withRollouts(url string, errOut io.Writer, f func(map[string]exposure.Summary) error) int {
	rollouts, err := fetchRollouts(url)
	if err == nil {
		err = f(rollouts)
	}
	if err != nil {
		fmt.Fprintln(errOut, "cuminwing rollouts:", err)
		return ExitFailed
	}
	return ExitOK
}

// fetchRollouts reads the rollouts from the metrics page of a member of the core.
func fetchRollouts(url string) (map[string]exposure.Summary, error) {
	client := http.Client{Timeout: metricsTimeout}
	response, err := client.Get(url)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s: %s", url, response.Status)
	}
	var page struct {
		VMs map[string]struct {
			Rollouts map[string]exposure.Summary `json:"rollouts"`
		} `json:"cuminwing"`
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxMetricsBytes)).Decode(&page); err != nil {
		return nil, fmt.Errorf("%s: %w", url, err)
	}
	all := make(map[string]exposure.Summary)
	for _, vm := range page.VMs {
		maps.Copy(all, vm.Rollouts)
	}
	return all, nil
}
