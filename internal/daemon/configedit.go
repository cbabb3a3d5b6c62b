package daemon

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/cuminwing/cuminwing/internal/config"
	"github.com/cuminwing/cuminwing/internal/control"
	"github.com/cuminwing/cuminwing/internal/control/configstate"
	adminv1 "github.com/cuminwing/cuminwing/proto/admin/v1"
	configv1 "github.com/cuminwing/cuminwing/proto/config/v1"
)

const (
	// proposeTimeout limits one proposal. The operator's tool resends an edit
	// with the same ID.
	proposeTimeout = 4 * time.Second
	// localActivationTimeout and peerActivationTimeout limit the wait for an
	// accepted edit to become active on this VM and on the others. Their sum
	// stays below 5 s, the time within which every reachable VM must have the
	// edit.
	localActivationTimeout = 1500 * time.Millisecond
	peerActivationTimeout  = 3 * time.Second
	// notifyLatencyMargin is added to the wait of Notify calls for the network
	// latency of the response.
	notifyLatencyMargin = 300 * time.Millisecond
	// peerRequestTimeout limits short calls to other VMs: status, history and
	// notifications of stale members.
	peerRequestTimeout = time.Second
	// leaderNotifyDelay gives the VM that accepted the edit time to notify the
	// others itself.
	leaderNotifyDelay = 500 * time.Millisecond
)

// errLogUnavailable is returned until this VM has opened the control log.
var errLogUnavailable = twirp.NewError(twirp.Unavailable, "this VM has no access to the control log")

// propose commits a command and translates errors to Twirp errors for
// operators' tools.
func (n *Node) propose(ctx context.Context, kind control.Kind, body []byte) ([]byte, error) {
	if n.log == nil {
		return nil, errLogUnavailable
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	response, err := n.log.Propose(ctx, kind, body)
	switch {
	case err == nil:
		return response, nil
	case errors.Is(err, control.ErrNotCommitted):
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	default:
		return nil, twirp.NewError(twirp.DeadlineExceeded, err.Error())
	}
}

// marshalEdit encodes an edit deterministically, so that every VM produces the
// same bytes. A resent edit is recognized by their hash.
func marshalEdit(edit *configv1.Edit) ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(edit)
}

// applyEdit commits an edit. If the edit is accepted, it waits for a limited
// time and reports by zone how many VMs have activated it.
func (d *distribution) applyEdit(ctx context.Context, edit *configv1.Edit) (*adminv1.ApplyConfigResponse, error) {
	body, err := marshalEdit(edit)
	if err != nil {
		return nil, twirp.InvalidArgumentError("edit", err.Error())
	}
	encoded, err := d.node.propose(ctx, control.KindConfig, body)
	if err != nil {
		return nil, err
	}
	var result configv1.EditResult
	if err := proto.Unmarshal(encoded, &result); err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	response := &adminv1.ApplyConfigResponse{Result: &result}
	if result.GetOutcome() == configv1.Outcome_OUTCOME_ACCEPTED {
		response.Zones = d.awaitActivation(ctx, result.GetRevision())
	}
	return response, nil
}

// awaitActivation waits until the revision is active on this VM and on all
// known VMs that can be reached, and returns the counts by zone.
func (d *distribution) awaitActivation(ctx context.Context, revision uint64) []*adminv1.ZoneReach {
	here := d.awaitLocalActivation(ctx, revision)
	source := d.node.settings.PeerAddress
	if !here {
		source = d.leaderAddress()
	}
	ctx, cancel := context.WithTimeout(ctx, peerActivationTimeout+notifyLatencyMargin)
	defer cancel()
	return d.node.pollPeers(ctx, here, func(ctx context.Context, p peer) (string, bool) {
		return d.notify(ctx, p, hint{revision, source}, peerActivationTimeout)
	})
}

// awaitLocalActivation waits until the revision is active on this VM. A VM that
// does not follow the log pulls it from the leader.
func (d *distribution) awaitLocalActivation(ctx context.Context, revision uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, localActivationTimeout)
	defer cancel()
	if d.revision() < revision && !d.node.followsLog() {
		select {
		case d.hints <- hint{revision, d.leaderAddress()}:
		default:
		}
	}
	return d.awaitRevision(ctx, revision) >= revision
}

// leaderAddress returns the peer address of the leader, or an empty string if
// it is unknown.
func (d *distribution) leaderAddress() string {
	if d.node.log == nil {
		return ""
	}
	leader, ok := d.node.log.Leader()
	if !ok {
		return ""
	}
	for _, p := range d.node.peers() {
		if p.vm == leader {
			return p.address
		}
	}
	return ""
}

// notify tells p about a revision and reports the zone of p and whether the
// revision became active there within wait.
func (d *distribution) notify(ctx context.Context, p peer, h hint, wait time.Duration) (zone string, active bool) {
	client := configv1.NewConfigServiceProtobufClient(d.node.peerURL(p.address), d.node.peerClient)
	response, err := client.Notify(ctx, &configv1.NotifyRequest{
		Revision: h.revision,
		Address:  h.address,
		WaitMs:   uint64(wait.Milliseconds()),
	})
	if err != nil {
		d.node.logger.Debug("notify failed", zap.String("vm", p.vm), zap.Error(err))
		return "", false
	}
	return response.GetZone(), response.GetRevision() >= h.revision
}

// notifyAsLeader notifies the other VMs of new revisions while this VM is the
// leader. It covers the case that the VM that accepted an edit fails before it
// has notified the others. It runs in its own goroutine, so that
// leaderNotifyDelay does not delay the activation of later revisions on this
// VM.
func (d *distribution) notifyAsLeader(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.notifyDue:
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(leaderNotifyDelay):
		}
		if d.node.log != nil && d.node.log.HoldsLease() {
			d.notifyStaleMembers(ctx)
		}
	}
}

func (d *distribution) notifyStaleMembers(ctx context.Context) {
	stale := d.staleMembers()
	h := hint{d.revision(), d.node.settings.PeerAddress}
	ctx, cancel := context.WithTimeout(ctx, peerRequestTimeout)
	defer cancel()
	d.node.broadcast(ctx, func(ctx context.Context, p peer) {
		if stale[p.vm] {
			d.notify(ctx, p, h, 0)
		}
	})
}

// staleMembers returns the VMs that do not announce at least the revision of
// this VM.
func (d *distribution) staleMembers() map[string]bool {
	stale := make(map[string]bool)
	for _, p := range d.node.peers() {
		stale[p.vm] = true
	}
	own := d.revision()
	for _, m := range d.node.members() {
		if m.ConfigRevision >= own {
			delete(stale, m.VM)
		}
	}
	return stale
}

// firstDocumentRetryInterval is how often the first document is proposed until
// the log has accepted or rejected it.
const firstDocumentRetryInterval = time.Second

// proposeFirstDocument proposes the document file of the settings if the log
// has no document. Its sections have base revision 0, so that only one proposal
// succeeds if several VMs have different documents.
func (d *distribution) proposeFirstDocument(ctx context.Context) {
	edit, err := firstEdit(d.node.settings.DocumentFile)
	if err != nil {
		d.node.logger.Error("failed to load the document file of the settings", zap.Error(err))
		return
	}
	ticker := time.NewTicker(firstDocumentRetryInterval)
	defer ticker.Stop()
	for d.revision() == 0 && !d.tryFirstDocument(ctx, edit) {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func firstEdit(file string) (*configv1.Edit, error) {
	document, err := config.LoadFile(file)
	if err != nil {
		return nil, err
	}
	edit, err := configstate.InitialEdit("", *document)
	if err != nil {
		return nil, err
	}
	body, err := marshalEdit(edit)
	if err != nil {
		return nil, err
	}
	sum := sha256.Sum256(body)
	edit.Id = "document-file-" + hex.EncodeToString(sum[:8])
	edit.Operator = "settings"
	edit.Comment = "first document of the service"
	return edit, nil
}

// tryFirstDocument reports whether the log has accepted or rejected the
// document.
func (d *distribution) tryFirstDocument(ctx context.Context, edit *configv1.Edit) bool {
	body, err := marshalEdit(edit)
	if err != nil {
		return false
	}
	response, err := d.node.propose(ctx, control.KindConfig, body)
	if err != nil {
		return false
	}
	var result configv1.EditResult
	if err := proto.Unmarshal(response, &result); err != nil {
		return false
	}
	d.node.logger.Info("proposed the document file of the settings", zap.String("outcome", result.GetOutcome().String()))
	return true
}
