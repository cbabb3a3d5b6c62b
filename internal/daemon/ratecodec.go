package daemon

import (
	"time"

	"github.com/cuminwing/cuminwing/internal/ratelimit"
	ratev1 "github.com/cuminwing/cuminwing/proto/rate/v1"
)

func encodeReport(report ratelimit.Report) *ratev1.AcquireRequest {
	request := &ratev1.AcquireRequest{
		Vm:          report.Holder.VM,
		Incarnation: report.Holder.Incarnation,
		Slot:        report.Slot,
		Sequence:    report.Sequence,
		UptimeMs:    report.Uptime.Milliseconds(),
	}
	for _, item := range report.Items {
		request.Items = append(request.Items, &ratev1.AcquireItem{
			Workspace:     item.Workspace,
			Outstanding:   item.Outstanding,
			First:         item.FirstShortfall,
			GivenBack:     item.ReturnedTokens,
			Need:          item.TotalShortfall,
			Prefetch:      item.Prefetch,
			Returned:      item.Refund,
			ReturnedAgeMs: ceilMilliseconds(item.RefundAge),
		})
	}
	return request
}

func decodeReport(request *ratev1.AcquireRequest) ratelimit.Report {
	report := ratelimit.Report{
		Holder:   ratelimit.Holder{VM: request.GetVm(), Incarnation: request.GetIncarnation()},
		Slot:     request.GetSlot(),
		Sequence: request.GetSequence(),
		Uptime:   time.Duration(request.GetUptimeMs()) * time.Millisecond,
	}
	for _, item := range request.GetItems() {
		report.Items = append(report.Items, ratelimit.ReportItem{
			Workspace:      item.GetWorkspace(),
			Outstanding:    item.GetOutstanding(),
			FirstShortfall: item.GetFirst(),
			ReturnedTokens: item.GetGivenBack(),
			TotalShortfall: item.GetNeed(),
			Prefetch:       item.GetPrefetch(),
			Refund:         item.GetReturned(),
			RefundAge:      time.Duration(item.GetReturnedAgeMs()) * time.Millisecond,
		})
	}
	return report
}

// ceilMilliseconds rounds up, because an age that is too high only reduces a
// refund.
func ceilMilliseconds(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}

func encodeGrants(grants []ratelimit.Grant) []*ratev1.Grant {
	out := make([]*ratev1.Grant, 0, len(grants))
	for _, g := range grants {
		out = append(out, &ratev1.Grant{Workspace: g.Workspace, Tokens: g.Tokens})
	}
	return out
}

func decodeGrants(grants []*ratev1.Grant) []ratelimit.Grant {
	out := make([]ratelimit.Grant, 0, len(grants))
	for _, g := range grants {
		out = append(out, ratelimit.Grant{Workspace: g.GetWorkspace(), Tokens: g.GetTokens()})
	}
	return out
}
