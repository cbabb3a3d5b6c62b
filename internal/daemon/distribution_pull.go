package daemon

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/cuminwing/cuminwing/internal/control/configstate"
	configv1 "github.com/cuminwing/cuminwing/proto/config/v1"
)

const (
	// pullTimeout limits one call and one sequence of pull rounds.
	pullTimeout = 2 * time.Second
	// pullStagger is how long a pull waits for one source before it also asks
	// the next one. It exceeds the round trip between regions, 60 ms.
	pullStagger = 150 * time.Millisecond
	// maxExpectedWait limits how long a Pull call waits for a revision that a
	// hint attributes to this VM. Committing and applying an entry takes a few
	// milliseconds.
	maxExpectedWait = 100 * time.Millisecond
	// pullRoundInterval is the pause between two rounds over the sources.
	pullRoundInterval = 50 * time.Millisecond
	// maxPullChanges is the number of changes above which the whole document is
	// sent instead. At about 200 bytes per change, the document is then the
	// smaller response in current deployments.
	maxPullChanges = 256
	// maxPullSources limits how many VMs one pull round asks.
	maxPullSources = 6
	// maxNotifyWait limits how long a Notify call may wait.
	maxNotifyWait = 5 * time.Second
)

// pullNewerRevisions pulls when a hint or the announced revision of a member
// shows that a higher revision exists.
func (d *distribution) pullNewerRevisions(ctx context.Context) {
	ticker := time.NewTicker(memberScanInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case h := <-d.hints:
			d.pull(ctx, h)
		case <-ticker.C:
			if h, newer := d.newestMember(); newer {
				d.pull(ctx, h)
			}
		}
	}
}

// newestMember returns the member with the highest revision, and false if no
// member has a higher revision than this VM.
func (d *distribution) newestMember() (hint, bool) {
	newest := hint{revision: d.revision()}
	for _, m := range d.node.members() {
		if m.ConfigRevision > newest.revision {
			newest = hint{m.ConfigRevision, m.PeerAddress}
		}
	}
	return newest, newest.address != ""
}

// pull asks other VMs until the revision of the hint is active or pullTimeout
// expires. A hint may arrive before the VM that it names has the revision.
func (d *distribution) pull(ctx context.Context, h hint) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	for ctx.Err() == nil && d.revision() < h.revision {
		d.pullRound(ctx, h)
		pause, stop := context.WithTimeout(ctx, pullRoundInterval)
		d.awaitRevision(pause, h.revision)
		stop()
	}
}

// pullRound asks zone peers first, then the VM named in the hint, then other
// VMs. It asks the next source as soon as the previous one has responded,
// or after pullStagger if it has not.
func (d *distribution) pullRound(ctx context.Context, h hint) {
	var calls sync.WaitGroup
	defer calls.Wait()
	ctx, cancel := context.WithCancel(ctx)
	// Deferred after calls.Wait, so it runs first: sources that do not respond
	// do not delay the return.
	defer cancel()
	responded := make(chan struct{}, maxPullSources)
	for _, address := range d.pullSources(h.address) {
		calls.Go(func() {
			request := &configv1.PullRequest{Since: d.revision()}
			if address == h.address {
				request.Expected = h.revision
			}
			if _, err := d.pullFrom(ctx, address, request); err != nil {
				d.node.logger.Debug("pull failed", zap.String("peer", address), zap.Error(err))
			}
			responded <- struct{}{}
		})
		select {
		case <-responded:
		case <-time.After(pullStagger):
		}
		if d.revision() >= h.revision {
			return
		}
	}
}

// pullSources returns up to maxPullSources peer addresses: two zone peers, the
// VM named in the hint, then others in random order.
func (d *distribution) pullSources(hinted string) []string {
	const zonePeers = 2
	var zone, others []string
	for _, p := range d.node.peers() {
		switch {
		case p.address == hinted:
		case p.zone == d.node.settings.Zone:
			zone = append(zone, p.address)
		default:
			others = append(others, p.address)
		}
	}
	shuffle(zone)
	shuffle(others)
	sources := zone[:min(len(zone), zonePeers)]
	if hinted != "" {
		sources = append(sources[:len(sources):len(sources)], hinted)
	}
	sources = append(sources, others...)
	return sources[:min(len(sources), maxPullSources)]
}

func shuffle(s []string) {
	rand.Shuffle(len(s), func(i, j int) { s[i], s[j] = s[j], s[i] })
}

// pullFrom brings this VM to the revision of another VM. If a change does not
// follow the current state, it requests the whole document instead.
func (d *distribution) pullFrom(ctx context.Context, address string, request *configv1.PullRequest) (*configv1.PullResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	client := configv1.NewConfigServiceProtobufClient(d.node.peerURL(address), d.node.peerClient)
	response, err := client.Pull(ctx, request)
	if err != nil {
		return nil, err
	}
	if d.revision() == 0 && response.GetKeyDigest() != d.node.withdrawn.Digest() {
		// The configuration may list withdrawn keys. A VM without a disk must
		// know the withdrawals before it serves.
		if err := d.node.withdrawals.sync(ctx, peer{address: address}); err != nil {
			return nil, err
		}
	}
	err = d.applyPull(response)
	var gap *configstate.GapError
	if errors.As(err, &gap) && request.GetSince() > 0 {
		return d.pullFrom(ctx, address, &configv1.PullRequest{})
	}
	return response, err
}

func (d *distribution) applyPull(response *configv1.PullResponse) error {
	if response.GetDocument() != nil {
		state, err := configstate.DecodeDocument(response.GetDocument())
		if err != nil {
			return err
		}
		d.activate(state)
		return nil
	}
	state := d.state.Load()
	for _, change := range response.GetChanges() {
		if change.GetRevision() <= state.Revision {
			// A concurrent pull has already applied this change.
			continue
		}
		next, err := state.Apply(change)
		if err != nil {
			return err
		}
		state = next
	}
	d.activate(state)
	return nil
}

// configServer implements configv1.ConfigService.
type configServer struct{ d *distribution }

// Pull implements configv1.ConfigService.
func (s configServer) Pull(ctx context.Context, req *configv1.PullRequest) (*configv1.PullResponse, error) {
	if req.GetExpected() > s.d.revision() {
		wait, cancel := context.WithTimeout(ctx, maxExpectedWait)
		s.d.awaitRevision(wait, req.GetExpected())
		cancel()
	}
	state := s.d.state.Load()
	response := &configv1.PullResponse{
		Revision:  state.Revision,
		KeyDigest: s.d.node.withdrawn.Digest(),
	}
	if age, ok := s.d.contact.age(s.d.node.clock()); ok {
		response.HadControlContact = true
		response.ControlContactAgeMs = uint64(age.Milliseconds())
	}
	if state.Revision <= req.GetSince() {
		return response, nil
	}
	changes, covered := state.Since(req.GetSince())
	if covered && req.GetSince() > 0 && len(changes) <= maxPullChanges {
		response.Changes = changes
	} else {
		response.Document = state.EncodeDocument()
	}
	return response, nil
}

// Notify implements configv1.ConfigService.
func (s configServer) Notify(ctx context.Context, req *configv1.NotifyRequest) (*configv1.NotifyResponse, error) {
	if req.GetRevision() > s.d.revision() {
		select {
		case s.d.hints <- hint{req.GetRevision(), req.GetAddress()}:
		default:
		}
	}
	wait := min(time.Duration(min(req.GetWaitMs(), uint64(maxNotifyWait.Milliseconds())))*time.Millisecond, maxNotifyWait)
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	return &configv1.NotifyResponse{
		Vm:       s.d.node.settings.VM,
		Zone:     s.d.node.settings.Zone,
		Revision: s.d.awaitRevision(ctx, req.GetRevision()),
	}, nil
}
