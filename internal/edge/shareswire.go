package edge

import (
	"math"

	"github.com/cockroachdb/errors"

	"github.com/cuminwing/cuminwing/internal/ratelimit"
	followv1 "github.com/cuminwing/cuminwing/proto/follow/v1"
)

// maxReportedWorkspaces limits the workspaces in one report. It leaves room for
// the 1,900 workspaces of the largest deployment the system is designed for.
const maxReportedWorkspaces = 4096

// checkReport returns an error if the report of a front cannot be used.
func checkReport(report *followv1.FrontReport) error {
	if report.GetVm() == "" || report.GetAddress() == "" {
		return errors.New("the report names no front")
	}
	if n := len(report.GetShares()); n > maxReportedWorkspaces {
		return errors.Newf("the report has %d workspaces, at most %d are allowed", n, maxReportedWorkspaces)
	}
	for _, s := range report.GetShares() {
		for _, value := range []float32{s.GetHeld(), s.GetDemand(), s.GetSpent(), s.GetRecent(), s.GetFirstQuarter(), s.GetThirdQuarter(), s.GetConfirmed(), s.GetConfirmedRecent()} {
			if !(value >= 0) || math.IsInf(float64(value), 0) {
				return errors.Newf("the report on workspace %q has the value %v", s.GetWorkspace(), value)
			}
		}
	}
	if err := checkRolloutReports(report); err != nil {
		return err
	}
	return checkEvidence(report)
}

// maxIntervalMS limits the intervals that another VM may state, to about 30 years in
// milliseconds. A time.Duration holds them, also after an addition.
const maxIntervalMS = 1e12

// isInterval reports whether a number of milliseconds can be the time between two events.
func isInterval(ms float64) bool { return ms >= -maxIntervalMS && ms <= maxIntervalMS }

func encodeReports(reports map[string]ratelimit.ShareReport) []*followv1.ShareReport {
	list := make([]*followv1.ShareReport, 0, len(reports))
	for workspace, r := range reports {
		list = append(list, &followv1.ShareReport{
			Workspace: workspace, Held: float32(r.Held), Demand: float32(max(r.Demand, 0)),
			Spent: float32(max(r.Spent, 0)), Recent: float32(max(r.Recent, 0)),
			FirstQuarter: float32(max(r.FirstQuarter, 0)), ThirdQuarter: float32(max(r.ThirdQuarter, 0)),
			Confirmed: float32(max(r.Confirmed.Spent, 0)), ConfirmedRecent: float32(max(r.Confirmed.Recent, 0)),
		})
	}
	return list
}

func decodeReports(list []*followv1.ShareReport) map[string]ratelimit.ShareReport {
	reports := make(map[string]ratelimit.ShareReport, len(list))
	for _, s := range list {
		reports[s.GetWorkspace()] = ratelimit.ShareReport{
			Held: float64(s.GetHeld()), Demand: float64(s.GetDemand()),
			Spending: ratelimit.Spending{
				Spent: float64(s.GetSpent()), Recent: float64(s.GetRecent()),
				FirstQuarter: float64(s.GetFirstQuarter()), ThirdQuarter: float64(s.GetThirdQuarter()),
			},
			Confirmed: ratelimit.Confirmed{Spent: float64(s.GetConfirmed()), Recent: float64(s.GetConfirmedRecent())},
		}
	}
	return reports
}

func encodeGrants(grants map[string]ratelimit.ShareGrant) []*followv1.ShareGrant {
	list := make([]*followv1.ShareGrant, 0, len(grants))
	for workspace, g := range grants {
		list = append(list, &followv1.ShareGrant{Workspace: workspace, Fraction: float32(g.Fraction)})
	}
	return list
}

func encodeUsage(usage map[string]ratelimit.Usage) []*followv1.WorkspaceUsage {
	list := make([]*followv1.WorkspaceUsage, 0, len(usage))
	for workspace, u := range usage {
		if u.Spent > 0 || u.Demand > 0 || u.PreviousRate > 0 {
			list = append(list, &followv1.WorkspaceUsage{
				Workspace: workspace, Spent: float32(u.Spent), Demand: float32(u.Demand), PreviousRate: float32(u.PreviousRate),
			})
		}
	}
	return list
}

// grantsFrom returns the grants of the given workspaces for a front that sent
// reports. A workspace that the front has not reported gets no fraction.
func grantsFrom(response *followv1.FollowResponse, reports map[string]ratelimit.ShareReport, workspaces []string) map[string]ratelimit.ShareGrant {
	usage := make(map[string]ratelimit.Usage, len(response.GetUsage()))
	for _, u := range response.GetUsage() {
		usage[u.GetWorkspace()] = ratelimit.Usage{
			Spent: float64(u.GetSpent()), Demand: float64(u.GetDemand()), PreviousRate: float64(u.GetPreviousRate()),
		}
	}
	fractions := make(map[string]float64, len(response.GetShares()))
	for _, s := range response.GetShares() {
		fractions[s.GetWorkspace()] = float64(s.GetFraction())
	}
	grants := make(map[string]ratelimit.ShareGrant, len(workspaces))
	for _, name := range workspaces {
		grants[name] = usage[name].Grant(reports[name], fractions[name], response.GetWarmingUp())
	}
	return grants
}
