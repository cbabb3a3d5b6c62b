package cli

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	adminv1 "github.com/cuminwing/cuminwing/proto/admin/v1"
)

func addStatus(r *registry) {
	c := r.app.Command("status", "Shows VMs, zones, targets, the leader and the revision in force on each VM.")
	example(c, "Shows the service as the called VM sees it. Exit code 4 means that a VM did not answer or has another revision.",
		"cuminwing status --server 10.0.0.1:7005")
	r.add(c, r.flags.command(func(cl *client, out, _ io.Writer) (int, error) { return cl.status(out) }))
}

func (c *client) status(out io.Writer) (int, error) {
	resp, err := callWithRetry(c, func(ctx context.Context, s adminv1.AdminService) (*adminv1.StatusResponse, error) {
		return s.Status(ctx, &adminv1.StatusRequest{})
	})
	if err != nil {
		return ExitFailed, err
	}
	code := ExitOK
	for _, vm := range resp.GetVms() {
		if !vm.GetReached() || vm.GetRevision() != resp.GetRevision() {
			code = ExitPartial
		}
	}
	if c.output == outputJSON {
		return code, printMessage(out, resp)
	}
	printStatus(resp, out)
	return code, nil
}

func printStatus(resp *adminv1.StatusResponse, out io.Writer) {
	leader := resp.GetLeader()
	if leader == "" {
		leader = "unknown"
	}
	fmt.Fprintf(out, "leader:   %s\nrevision: %d\ntargets:  %s\n\n", leader, resp.GetRevision(), targetCounts(resp))
	t := newTable(out, "ZONE", "VM", "STATE", "REVISION", "VOTER", "LEADER SEEN", "ADDRESS")
	for _, vm := range resp.GetVms() {
		state, revision := "not reached", "-"
		if vm.GetReached() {
			state, revision = "live", fmt.Sprint(vm.GetRevision())
		}
		voter := "no"
		if vm.GetVoter() {
			voter = "yes"
		}
		t.row(vm.GetZone(), vm.GetName(), state, revision, voter, vm.GetLeader(), vm.GetPeerAddress())
	}
	t.flush()
}

func targetCounts(resp *adminv1.StatusResponse) string {
	if len(resp.GetTargets()) == 0 {
		return "none"
	}
	var parts []string
	for _, state := range slices.Sorted(maps.Keys(resp.GetTargets())) {
		parts = append(parts, fmt.Sprintf("%d %s", resp.GetTargets()[state], state))
	}
	return strings.Join(parts, ", ")
}
