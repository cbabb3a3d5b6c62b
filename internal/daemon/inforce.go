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
	"github.com/cuminwing/cuminwing/internal/control/sections"
	adminv1 "github.com/cuminwing/cuminwing/proto/admin/v1"
	configv1 "github.com/cuminwing/cuminwing/proto/config/v1"
)

const (
	// proposeTimeout bounds one proposal; the tool resends with the same ID.
	proposeTimeout = 4 * time.Second
	// ownWait and peersWait bound the wait for an accepted edit to be in
	// force here and elsewhere. Together they stay under 5 s, the time in
	// which every reachable VM must have it.
	ownWait   = 1500 * time.Millisecond
	peersWait = 3 * time.Second
	// answerMargin is the time that a Notify answer may take on its way.
	answerMargin = 300 * time.Millisecond
	hintTimeout  = time.Second
	// leaderHintDelay gives the VM that accepted the edit, which notifies the
	// others itself, time to do so.
	leaderHintDelay = 500 * time.Millisecond
)

// errNoLog means that this VM reaches no voter yet.
var errNoLog = twirp.NewError(twirp.Unavailable, "this VM has no access to the control log")

// propose commits a command and translates the errors for operators' tools.
func (n *Node) propose(ctx context.Context, kind control.Kind, body []byte) ([]byte, error) {
	if n.log == nil {
		return nil, errNoLog
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	answer, err := n.log.Propose(ctx, kind, body)
	switch {
	case err == nil:
		return answer, nil
	case errors.Is(err, control.ErrNotCommitted):
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	default:
		return nil, twirp.NewError(twirp.DeadlineExceeded, err.Error())
	}
}

// marshalEdit gives an edit the same bytes on every VM, because a resend is
// recognised by their hash.
func marshalEdit(edit *configv1.Edit) ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(edit)
}

// applyEdit commits an edit. For an accepted edit it waits a bounded time and
// states where it is in force.
func (d *distribution) applyEdit(ctx context.Context, edit *configv1.Edit) (*adminv1.ApplyConfigResponse, error) {
	body, err := marshalEdit(edit)
	if err != nil {
		return nil, twirp.InvalidArgumentError("edit", err.Error())
	}
	answer, err := d.node.propose(ctx, control.KindConfig, body)
	if err != nil {
		return nil, err
	}
	var result configv1.EditResult
	if err := proto.Unmarshal(answer, &result); err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	response := &adminv1.ApplyConfigResponse{Result: &result}
	if result.GetOutcome() == configv1.Outcome_OUTCOME_ACCEPTED {
		response.Zones = d.confirm(ctx, result.GetRevision())
	}
	return response, nil
}

// confirm brings revision in force here and on every known VM that can be
// reached, and returns how far it got.
func (d *distribution) confirm(ctx context.Context, revision uint64) []*adminv1.ZoneReach {
	here := d.awaitOwn(ctx, revision)
	source := d.node.settings.PeerAddress
	if !here {
		source = d.leaderAddress()
	}
	ctx, cancel := context.WithTimeout(ctx, peersWait+answerMargin)
	defer cancel()
	return d.node.poll(ctx, here, func(ctx context.Context, p peer) (string, bool) {
		return d.notify(ctx, p, hint{revision, source}, peersWait)
	})
}

func (d *distribution) awaitOwn(ctx context.Context, revision uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, ownWait)
	defer cancel()
	if d.revision() < revision && !d.node.followsLog() {
		select {
		case d.hints <- hint{revision, d.leaderAddress()}:
		default:
		}
	}
	return d.awaitRevision(ctx, revision) >= revision
}

// leaderAddress returns the peer address of the leader, empty if unknown.
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

func (d *distribution) notify(ctx context.Context, p peer, h hint, wait time.Duration) (zone string, inForce bool) {
	client := configv1.NewConfigServiceProtobufClient(d.node.peerURL(p.address), d.node.peerClient)
	answer, err := client.Notify(ctx, &configv1.NotifyRequest{
		Revision: h.revision,
		Address:  h.address,
		WaitMs:   uint64(wait.Milliseconds()),
	})
	if err != nil {
		d.node.logger.Debug("notify failed", zap.String("vm", p.vm), zap.Error(err))
		return "", false
	}
	return answer.GetZone(), answer.GetRevision() >= h.revision
}

// pushHints is the leader's push. It covers the case that the VM that accepted
// the edit dies before it has told the others. It has a goroutine of its own,
// because the delay must not hold up later revisions on this VM.
func (d *distribution) pushHints(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.push:
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(leaderHintDelay):
		}
		if d.node.log != nil && d.node.log.HoldsLease() {
			d.hintMembers(ctx)
		}
	}
}

func (d *distribution) hintMembers(ctx context.Context) {
	behind := d.membersBehind()
	h := hint{d.revision(), d.node.settings.PeerAddress}
	ctx, cancel := context.WithTimeout(ctx, hintTimeout)
	defer cancel()
	d.node.broadcast(ctx, func(ctx context.Context, p peer) {
		if behind[p.vm] {
			d.notify(ctx, p, h, 0)
		}
	})
}

// membersBehind returns the VMs that are not known to have the own revision.
func (d *distribution) membersBehind() map[string]bool {
	behind := make(map[string]bool)
	for _, p := range d.node.peers() {
		behind[p.vm] = true
	}
	own := d.revision()
	for _, m := range d.node.members() {
		if m.ConfigRevision >= own {
			delete(behind, m.VM)
		}
	}
	return behind
}

const firstDocumentRetry = time.Second

// proposeFirstDocument proposes the document of the settings if the log is
// empty. Its sections have base revision 0, so that of several VMs with
// different documents only one succeeds.
func (d *distribution) proposeFirstDocument(ctx context.Context) {
	edit, err := firstEdit(d.node.settings.DocumentFile)
	if err != nil {
		d.node.logger.Error("document of the settings refused", zap.Error(err))
		return
	}
	ticker := time.NewTicker(firstDocumentRetry)
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
	edit, err := sections.FirstEdit("", *document)
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

// tryFirstDocument reports whether the log has decided.
func (d *distribution) tryFirstDocument(ctx context.Context, edit *configv1.Edit) bool {
	body, err := marshalEdit(edit)
	if err != nil {
		return false
	}
	answer, err := d.node.propose(ctx, control.KindConfig, body)
	if err != nil {
		return false
	}
	var result configv1.EditResult
	if err := proto.Unmarshal(answer, &result); err != nil {
		return false
	}
	d.node.logger.Info("document of the settings proposed", zap.String("outcome", result.GetOutcome().String()))
	return true
}
