package edge

import (
	"context"
	"fmt"
	"math"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

	"github.com/cuminwing/cuminwing/internal/fleet"
	"github.com/cuminwing/cuminwing/internal/quarantine"
	"github.com/cuminwing/cuminwing/internal/raft"
	followv1 "github.com/cuminwing/cuminwing/proto/follow/v1"
)

// leader returns the core member that leads, and the others.
func (d *deployment) leader() (*runningCore, []*runningCore) {
	d.t.Helper()
	var leader *runningCore
	var followers []*runningCore
	eventually(d.t, "leader", func() error {
		leader, followers = nil, nil
		for _, c := range d.cores {
			if _, leading := c.core.leadership(); leading {
				leader = c
			} else if c.core.replica.Status().Role != raft.Leader {
				followers = append(followers, c)
			}
		}
		if leader == nil || len(followers) != len(d.cores)-1 {
			return errors.New("no single member leads")
		}
		return nil
	})
	return leader, followers
}

func reportOf(vm string, shares ...*followv1.ShareReport) *followv1.FrontReport {
	return &followv1.FrontReport{Vm: vm, Incarnation: 1, Address: vm + ":1", Region: "r", Shares: shares}
}

// Guards against polls that only the leader can serve: a follower has to return
// the confirmed state, the shares and the members of the core from its own replica.
func TestFollowerServesFronts(t *testing.T) {
	d := newDeployment(t, 3)
	ctx := context.Background()
	eventually(t, "document", func() error { return d.cores[0].core.PutDocument(ctx, documentWithKey(1, "k1")) })
	target := fleet.Target{ID: "t1", Service: "s", Address: "127.0.0.1:1", Zone: "z", Started: 1}
	eventually(t, "target", func() error { return d.cores[0].core.Announce(ctx, target) })
	leader, followers := d.leader()
	var response *followv1.FollowResponse
	eventually(t, "poll at a follower", func() (err error) {
		report := reportOf("f", &followv1.ShareReport{Workspace: "w", Demand: 10, Spent: 5, Recent: 5})
		response, err = followServer{followers[0].core}.Follow(ctx, &followv1.FollowRequest{Report: report})
		return err
	})
	if !response.GetServed() || response.GetLeader() != leader.settings.selfPeerAddress() {
		t.Errorf("served is %v with leader %q, want %q", response.GetServed(), response.GetLeader(), leader.settings.selfPeerAddress())
	}
	if response.GetDocumentVersion() != 1 || len(response.GetFleetDelta()) == 0 || response.GetFrontCount() != 1 {
		t.Errorf("the response lacks state: document %d, %d bytes of registry, %d fronts",
			response.GetDocumentVersion(), len(response.GetFleetDelta()), response.GetFrontCount())
	}
	if shares := response.GetShares(); len(shares) != 1 || shares[0].GetFraction() <= 0 {
		t.Errorf("shares are %v, want one of w", shares)
	}
	if usage := response.GetUsage(); len(usage) != 1 || usage[0].GetSpent() < 5 || usage[0].GetSpent() > 15 {
		t.Errorf("usage is %v, want 5 tokens of w and its demand since then", usage)
	}
	zoned := 0
	for _, m := range response.GetCore() {
		if m.GetZone() == "z" {
			zoned++
		}
	}
	if len(response.GetCore()) != 3 || zoned == 0 {
		t.Errorf("members of the core are %v", response.GetCore())
	}
	if response.GetConfirmedAfterMs() < 0 || response.GetConfirmedAfterMs() > 1000 {
		t.Errorf("confirmed %v ms after the receipt of the poll", response.GetConfirmedAfterMs())
	}
}

// Guards against a follower without a leader that shows its own, possibly outdated
// state: a withdrawn key would be in use again.
func TestFollowerWithoutALeaderConfirmsNothing(t *testing.T) {
	d := newDeployment(t, 3)
	ctx := context.Background()
	eventually(t, "document", func() error { return d.cores[0].core.PutDocument(ctx, documentWithKey(1, "k1")) })
	leader, followers := d.leader()
	d.stopCore(leader)
	d.stopCore(followers[0])
	for range 4 {
		callCtx, cancel := context.WithTimeout(ctx, followTimeout)
		response, err := followServer{followers[1].core}.Follow(callCtx, &followv1.FollowRequest{Report: reportOf("f"), NoWait: true})
		cancel()
		if err == nil && response.GetServed() {
			t.Fatal("a poll was served without a quorum")
		}
	}
	if response, err := (followServer{followers[1].core}).Follow(ctx, &followv1.FollowRequest{Report: reportOf("f")}); err != nil || len(response.GetCore()) != 3 {
		t.Errorf("after a while without a leader the response is %v, %v; want the members of the core at once", response, err)
	}
}

// Guards against bad input from a peer that changes the state of the leader or gets
// no clear error.
func TestInvalidReportsChangeNothing(t *testing.T) {
	d := newDeployment(t, 1)
	core := d.cores[0].core
	eventually(t, "leader", func() error {
		if _, leading := core.leadership(); !leading {
			return errors.New("not leading")
		}
		return nil
	})
	tooMany := reportOf("f")
	for i := range maxReportedWorkspaces + 1 {
		tooMany.Shares = append(tooMany.Shares, &followv1.ShareReport{Workspace: fmt.Sprint(i)})
	}
	for name, report := range map[string]*followv1.FrontReport{
		"none":             nil,
		"no name":          {Address: "f:1"},
		"no address":       {Vm: "f"},
		"negative":         reportOf("f", &followv1.ShareReport{Workspace: "w", Spent: -1}),
		"negative part":    reportOf("f", &followv1.ShareReport{Workspace: "w", Confirmed: -1}),
		"negative quarter": reportOf("f", &followv1.ShareReport{Workspace: "w", FirstQuarter: -1}),
		"no number":        reportOf("f", &followv1.ShareReport{Workspace: "w", Demand: float32(math.NaN())}),
		"infinite":         reportOf("f", &followv1.ShareReport{Workspace: "w", Held: float32(math.Inf(1))}),
		"too many":         tooMany,
	} {
		_, err := followServer{core}.Follow(context.Background(), &followv1.FollowRequest{Report: report, NoWait: true})
		var twerr twirp.Error
		if !errors.As(err, &twerr) || twerr.Code() != twirp.InvalidArgument {
			t.Errorf("%s: %v, want an invalid argument", name, err)
		}
		relayed, err := followServer{core}.Relay(context.Background(), &followv1.RelayRequest{Reports: []*followv1.FrontReport{report}})
		if err != nil || len(relayed.GetGrants()) != 1 || len(relayed.GetGrants()[0].GetShares()) != 0 {
			t.Errorf("%s: relayed as %v, %v; want no grant", name, relayed.GetGrants(), err)
		}
	}
	leader, _ := core.leadership()
	if n := leader.allocator.VMCount(); n != 0 {
		t.Errorf("%d fronts are known after invalid reports", n)
	}
}

// Guards against fronts that lose the core because their reports on the crash of an engine, with
// prompts of many parts, exceed what the leader reads of one call.
func TestLargeReportsOfManyFrontsReachTheLeader(t *testing.T) {
	const fronts = 32
	d := newDeployment(t, 3)
	_, followers := d.leader()
	var reports []*followv1.FrontReport
	for i := range fronts {
		report := reportOf(fmt.Sprint("f", i))
		crash := &followv1.EngineCrash{Engine: "engine", AgeMs: 1}
		for j := range 64 {
			r := &followv1.BrokenRequest{Key: quarantine.RequestKey(fmt.Sprint(i, "-", j))}
			for k := range quarantine.MaxChunkParts {
				r.Parts = append(r.Parts, fmt.Sprintf("%d-%d-%d", i, j, k))
			}
			crash.Requests = append(crash.Requests, r)
		}
		report.Crashes = append(report.Crashes, crash)
		if err := checkReport(report); err != nil {
			t.Fatal(err)
		}
		reports = append(reports, report)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	var calls sync.WaitGroup
	for _, report := range reports {
		calls.Go(func() {
			_, err := followers[0].core.relays.call(ctx, report)
			for err != nil && ctx.Err() == nil {
				_, err = followers[0].core.relays.call(ctx, report)
			}
			if err != nil {
				t.Errorf("the report of %s is not relayed: %v", report.GetVm(), err)
			}
		})
	}
	calls.Wait()
}

// Guards against an old incarnation of a front whose delayed report replaces that
// of its successor.
func TestReportOfAnEarlierIncarnationGetsNoGrant(t *testing.T) {
	d := newDeployment(t, 1)
	core := d.cores[0].core
	relay := func(incarnation int64) []*followv1.ShareGrant {
		report := reportOf("f", &followv1.ShareReport{Workspace: "w", Demand: 1})
		report.Incarnation = incarnation
		var response *followv1.RelayResponse
		eventually(t, "relay", func() (err error) {
			response, err = followServer{core}.Relay(context.Background(), &followv1.RelayRequest{Reports: []*followv1.FrontReport{report}})
			if err == nil && !response.GetServed() {
				err = errors.New("not leading")
			}
			return err
		})
		return response.GetGrants()[0].GetShares()
	}
	if grants := relay(2); len(grants) != 1 {
		t.Errorf("grants of the present incarnation are %v", grants)
	}
	if grants := relay(1); len(grants) != 0 {
		t.Errorf("grants of the earlier incarnation are %v", grants)
	}
}

// compressed returns the compressed form of data in a test.
func compressed(t *testing.T, data []byte) []byte {
	t.Helper()
	out, err := compress(data)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// Guards against a small compressed state that fills the memory of a front when it is
// decompressed.
func TestCompressedStateIsLimited(t *testing.T) {
	if _, err := decompress(compressed(t, make([]byte, maxStateBytes+1))); !errors.Is(err, errStateTooLarge) {
		t.Errorf("state over the limit: %v, want %v", err, errStateTooLarge)
	}
	if _, err := decompress([]byte("no gzip")); err == nil {
		t.Error("malformed state is accepted")
	}
	if data, err := decompress(compressed(t, []byte("x"))); err != nil || string(data) != "x" {
		t.Errorf("got %q, %v", data, err)
	}
}

// Guards against one encoding of the registry for each front: after a change all
// fronts of a member ask for the same difference.
func TestRegistryIsEncodedOncePerRevision(t *testing.T) {
	state := fleet.NewRegistry()
	for i := range 5 {
		announced := fleet.Target{ID: fmt.Sprint(i), Service: "s", Address: fmt.Sprint(i), Zone: "z", Started: 1}
		state.Apply(uint64(i+1), time.Time{}, fleet.Command{Announce: &announced}.Encode())
	}
	var cache encodedState
	for range 300 {
		if _, err := cache.delta(state, 0); err != nil {
			t.Fatal(err)
		}
	}
	for range 300 {
		if _, err := cache.delta(state, 4); err != nil {
			t.Fatal(err)
		}
	}
	if cache.encodings != 2 {
		t.Errorf("%d encodings for 600 responses with two differences", cache.encodings)
	}
}

// Guards against a front that loses the core together with the member that it
// follows, and against a relay to a leader that has stopped.
func TestFrontKeepsItsStateThroughTheLossOfAnyMember(t *testing.T) {
	d := newDeployment(t, 3)
	ctx := context.Background()
	eventually(t, "document", func() error { return d.cores[0].core.PutDocument(ctx, documentWithKey(1, "k1")) })
	target := fleet.Target{ID: "t1", Service: "s", Address: startEchoTarget(t), Zone: "z", Started: 1}
	eventually(t, "target", func() error { return d.cores[1].core.Announce(ctx, target) })
	var fronts []string
	for range 4 {
		front, _ := d.startFront()
		fronts = append(fronts, front)
	}
	for _, front := range fronts {
		eventually(t, "request", expectStatus(front, "k1", 200))
	}
	// Each member is lost in turn, the leader among them, while polls are held,
	// relayed and answered.
	for _, c := range d.cores {
		d.stopCore(c)
		d.serveThroughout(fronts, 2*time.Second)
		c.settings.FirstStart = false
		d.startCore(c)
		d.serveThroughout(fronts, time.Second)
		d.leader()
	}
}

// serveThroughout fails the test if a front refuses a request within the time.
func (d *deployment) serveThroughout(fronts []string, length time.Duration) {
	d.t.Helper()
	for until := time.Now().Add(length); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		for _, front := range fronts {
			if err := expectStatus(front, "k1", 200)(); err != nil {
				d.t.Fatalf("after the loss of a member: %v", err)
			}
		}
	}
}

// Guards against one log entry and one wake-up of all waiting polls for each of 300
// targets that register at the same time.
func TestRegistrationsShareLogEntriesAndWakeUps(t *testing.T) {
	const registrations = 300
	d := newDeployment(t, 3)
	_, followers := d.leader()
	core := followers[0].core
	before := core.replica.Status().Commit
	wakeUps := 0
	counted := make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		defer close(counted)
		for {
			select {
			case <-core.changeSignal():
				wakeUps++
			case <-ctx.Done():
				return
			}
		}
	}()
	results := make(chan error, registrations)
	for i := range registrations {
		target := fleet.Target{ID: fmt.Sprint("t", i), Service: "s", Address: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250+1), Zone: "z", Started: 1}
		go func() { results <- core.Announce(ctx, target) }()
	}
	for range registrations {
		if err := <-results; err != nil {
			t.Error(err)
		}
	}
	// A follower applies an entry after the leader has acknowledged it.
	if _, err := core.barriers.call(ctx, struct{}{}); err != nil {
		t.Fatal(err)
	}
	cancel()
	<-counted
	if n := core.registry.TargetCount(); n != registrations {
		t.Errorf("%d targets are registered, want %d", n, registrations)
	}
	if entries := core.replica.Status().Commit - before; entries > registrations/10 || wakeUps > registrations/10 {
		t.Errorf("%d registrations took %d log entries and %d wake-ups", registrations, entries, wakeUps)
	}
}
