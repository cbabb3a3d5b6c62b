package daemon

import (
	"context"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"
	"go.uber.org/zap"

	"github.com/cuminwing/cuminwing/internal/adapter/statefile"
	"github.com/cuminwing/cuminwing/internal/apikeys"
	"github.com/cuminwing/cuminwing/internal/control"
	"github.com/cuminwing/cuminwing/internal/control/withdrawnkeys"
	adminv1 "github.com/cuminwing/cuminwing/proto/admin/v1"
	keysv1 "github.com/cuminwing/cuminwing/proto/keys/v1"
)

const (
	keysFile = "withdrawn-keys.state"
	// pushTimeout limits the wait for confirmations of a withdrawal or of a
	// drain decision, and one sync of withdrawn keys.
	pushTimeout = 2 * time.Second
	// keySyncInterval is how often the key digests of the members are compared.
	keySyncInterval = time.Second
	// maxKeySyncsPerRound limits the syncs of one round. Digests in membership
	// messages lag behind, so most differences right after a push are not real.
	maxKeySyncsPerRound = 3
	// reproposeInterval is how often uncommitted withdrawals are proposed again.
	reproposeInterval = time.Second
	// voterProposeDelayRounds is how many rounds a voter waits for the VM that
	// accepted a withdrawal to propose it before the voter proposes it itself.
	voterProposeDelayRounds = 2
)

// withdrawals distributes withdrawn keys. The set itself is Node.withdrawn.
type withdrawals struct {
	node         *Node
	stateMachine *withdrawnkeys.StateMachine

	// fileMu guards the state file and saved, the digest of its contents.
	fileMu sync.Mutex
	saved  uint64

	mu sync.Mutex
	// pending holds the withdrawals that this VM accepted and that are not
	// committed yet.
	pending map[apikeys.Hash]struct{}
	// uncommittedRounds counts the rounds in which this voter found a key
	// uncommitted.
	uncommittedRounds map[apikeys.Hash]int
}

// startWithdrawals registers withdrawn keys as a state machine and loads
// those stored in the data folder.
func (n *Node) startWithdrawals() error {
	w := &withdrawals{node: n, pending: make(map[apikeys.Hash]struct{}), uncommittedRounds: make(map[apikeys.Hash]int)}
	w.stateMachine = withdrawnkeys.NewStateMachine(func(h []apikeys.Hash) { n.withdrawn.Add(h...) })
	n.stateMachines[control.KindKeys] = w.stateMachine
	n.withdrawals = w
	service := keysv1.NewKeyServiceServer(keyServer{w})
	n.peerMux.Handle(service.PathPrefix(), service)
	return w.load()
}

// startKeySync starts the anti-entropy of withdrawn keys.
func (n *Node) startKeySync() error {
	w := n.withdrawals
	n.background(func(ctx context.Context) {
		every(ctx, keySyncInterval, func() { w.syncMembers(ctx) })
	})
	n.background(func(ctx context.Context) {
		every(ctx, reproposeInterval, func() { w.reproposeUncommitted(ctx) })
	})
	return nil
}

// load reads the stored keys from the data folder. Unlike for a configuration,
// an unreadable file prevents the start: a VM that serves without it could
// accept a withdrawn key.
func (w *withdrawals) load() error {
	if w.node.settings.DataFolder == "" {
		return nil
	}
	data, err := statefile.Read(w.path())
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	hashes, err := withdrawnkeys.DecodeWithdrawal(data)
	if err != nil {
		return &statefile.CorruptError{File: w.path(), Reason: err.Error()}
	}
	w.node.withdrawn.Add(hashes...)
	w.saved = w.node.withdrawn.Digest()
	return nil
}

func (w *withdrawals) path() string {
	return filepath.Join(w.node.settings.DataFolder, keysFile)
}

// add withdraws keys on this VM immediately and stores them in the data folder.
func (w *withdrawals) add(hashes []apikeys.Hash) error {
	if added := w.node.withdrawn.Add(hashes...); len(added) > 0 {
		w.node.logger.Info("keys withdrawn", zap.Int("count", len(added)))
	}
	return w.save()
}

// save writes the file if the set has changed.
func (w *withdrawals) save() error {
	if w.node.settings.DataFolder == "" {
		return nil
	}
	w.fileMu.Lock()
	defer w.fileMu.Unlock()
	digest := w.node.withdrawn.Digest()
	if digest == w.saved {
		return nil
	}
	if err := statefile.Write(w.path(), withdrawnkeys.EncodeWithdrawal(w.node.withdrawn.All())); err != nil {
		w.node.logger.Error("failed to write the withdrawn keys file", zap.Error(err))
		return err
	}
	w.saved = digest
	return nil
}

// withdraw applies a withdrawal on this VM, pushes it to all known VMs and
// proposes it to the log. It returns after a limited time; confirmations that
// are still missing then continue in the background.
func (w *withdrawals) withdraw(ctx context.Context, hashes []apikeys.Hash) *adminv1.WithdrawKeysResponse {
	saved := w.add(hashes) == nil
	w.mu.Lock()
	for _, h := range hashes {
		w.pending[h] = struct{}{}
	}
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	var proposal sync.WaitGroup
	committed := false
	proposal.Go(func() { committed = w.commit(ctx, hashes) })
	response := &adminv1.WithdrawKeysResponse{Zones: w.push(ctx, saved, hashes)}
	proposal.Wait()
	response.Committed = committed
	return response
}

func (w *withdrawals) push(ctx context.Context, self bool, hashes []apikeys.Hash) []*adminv1.ZoneReach {
	request := &keysv1.PushRequest{Hashes: withdrawnkeys.EncodeHashes(hashes)}
	return w.node.pollPeers(ctx, self, func(ctx context.Context, p peer) (string, bool) {
		response, err := w.client(p).Push(ctx, request)
		if err != nil {
			w.node.logger.Debug("push of withdrawn keys failed", zap.String("vm", p.vm), zap.Error(err))
		}
		return response.GetZone(), err == nil
	})
}

func (w *withdrawals) client(p peer) keysv1.KeyService {
	return keysv1.NewKeyServiceProtobufClient(w.node.peerURL(p.address), w.node.peerClient)
}

// commit proposes keys once and reports whether the log has committed them.
func (w *withdrawals) commit(ctx context.Context, hashes []apikeys.Hash) bool {
	if _, err := w.node.propose(ctx, control.KindKeys, withdrawnkeys.EncodeWithdrawal(hashes)); err != nil {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, h := range hashes {
		delete(w.pending, h)
		delete(w.uncommittedRounds, h)
	}
	return true
}

// reproposeUncommitted proposes withdrawals that are not committed yet. Voters
// also propose those that they received from other VMs, because the VM that
// accepted them may have failed.
func (w *withdrawals) reproposeUncommitted(ctx context.Context) {
	// The set may also contain keys from the log, which are applied without
	// waiting for the file to be written.
	_ = w.save()
	due := w.uncommitted()
	if len(due) > 0 {
		w.commit(ctx, due)
	}
}

// uncommitted returns the withdrawals that this VM must propose in this round.
func (w *withdrawals) uncommitted() []apikeys.Hash {
	w.mu.Lock()
	defer w.mu.Unlock()
	var due []apikeys.Hash
	for h := range w.pending {
		due = append(due, h)
	}
	if !w.node.followsLog() {
		return due
	}
	for _, h := range w.node.withdrawn.All() {
		if w.stateMachine.Contains(h) {
			delete(w.uncommittedRounds, h)
			continue
		}
		if _, own := w.pending[h]; own {
			continue
		}
		w.uncommittedRounds[h]++
		if w.uncommittedRounds[h] > voterProposeDelayRounds {
			due = append(due, h)
		}
	}
	return due
}

// syncMembers synchronizes the set with members whose digest differs, up to
// maxKeySyncsPerRound of them.
func (w *withdrawals) syncMembers(ctx context.Context) {
	own := w.node.withdrawn.Digest()
	synced := 0
	for _, m := range w.node.members() {
		if m.VM == w.node.settings.VM || m.KeyDigest == own || synced == maxKeySyncsPerRound {
			continue
		}
		synced++
		if err := w.sync(ctx, peer{vm: m.VM, address: m.PeerAddress}); err != nil {
			w.node.logger.Debug("sync of withdrawn keys failed", zap.String("vm", m.VM), zap.Error(err))
		}
	}
}

// sync makes the sets of this VM and p equal.
func (w *withdrawals) sync(ctx context.Context, p peer) error {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	digests := w.node.withdrawn.BucketDigests()
	response, err := w.client(p).Sync(ctx, &keysv1.SyncRequest{Digests: digests[:]})
	if err != nil {
		return err
	}
	theirs, err := withdrawnkeys.DecodeHashes(response.GetHashes())
	if err != nil {
		return err
	}
	missing := missingFrom(theirs, w.node.withdrawn.InBuckets(response.GetDiffering()))
	if err := w.add(theirs); err != nil {
		return err
	}
	if len(missing) == 0 {
		return nil
	}
	_, err = w.client(p).Push(ctx, &keysv1.PushRequest{Hashes: withdrawnkeys.EncodeHashes(missing)})
	return err
}

// missingFrom returns the keys of ours that theirs does not contain.
func missingFrom(theirs, ours []apikeys.Hash) []apikeys.Hash {
	known := make(map[apikeys.Hash]bool, len(theirs))
	for _, h := range theirs {
		known[h] = true
	}
	var missing []apikeys.Hash
	for _, h := range ours {
		if !known[h] {
			missing = append(missing, h)
		}
	}
	return missing
}

// keyServer implements keysv1.KeyService.
type keyServer struct{ w *withdrawals }

// Push implements keysv1.KeyService. The response confirms that this VM rejects
// the keys, also after a restart with the data folder.
func (s keyServer) Push(_ context.Context, req *keysv1.PushRequest) (*keysv1.PushResponse, error) {
	hashes, err := withdrawnkeys.DecodeHashes(req.GetHashes())
	if err != nil {
		return nil, twirp.InvalidArgumentError("hashes", err.Error())
	}
	if err := s.w.add(hashes); err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &keysv1.PushResponse{Vm: s.w.node.settings.VM, Zone: s.w.node.settings.Zone}, nil
}

// Sync implements keysv1.KeyService.
func (s keyServer) Sync(_ context.Context, req *keysv1.SyncRequest) (*keysv1.SyncResponse, error) {
	own := s.w.node.withdrawn.BucketDigests()
	if len(req.GetDigests()) != len(own) {
		return nil, twirp.InvalidArgumentError("digests", "must hold one digest for each first byte")
	}
	var differing []byte
	for bucket, digest := range own {
		if req.GetDigests()[bucket] != digest {
			differing = append(differing, byte(bucket))
		}
	}
	hashes := s.w.node.withdrawn.InBuckets(differing)
	return &keysv1.SyncResponse{Differing: differing, Hashes: withdrawnkeys.EncodeHashes(hashes)}, nil
}
