package daemon

import (
	"context"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/cuminwing/cuminwing/internal/adapter/statefile"
	"github.com/cuminwing/cuminwing/internal/config"
	"github.com/cuminwing/cuminwing/internal/control"
	"github.com/cuminwing/cuminwing/internal/control/configstate"
	configv1 "github.com/cuminwing/cuminwing/proto/config/v1"
)

const (
	// memberScanInterval is how often this VM compares its revision with those
	// that members announce. The comparison sends no messages.
	memberScanInterval = 250 * time.Millisecond
	// configCheckInterval is how often a VM polls another VM for changes. It is
	// well below the 5 s within which a configuration must be active on every
	// VM.
	configCheckInterval = 2 * time.Second
	configFile          = "configuration.state"
	// anyRevision is satisfied by every configuration, since revisions start at
	// 1.
	anyRevision = 1
)

// distribution maintains the active configuration of one VM. Voters take it
// from the applied log; other VMs pull it.
type distribution struct {
	node         *Node
	stateMachine *configstate.StateMachine
	// contact records the last contact with control VMs.
	contact controlContact

	mu    sync.Mutex
	state atomic.Pointer[configstate.State]
	// revisionChanged is closed and replaced when the revision increases.
	revisionChanged chan struct{}

	// applied, notifyDue and hints wake the background goroutines.
	applied   chan struct{}
	notifyDue chan struct{}
	hints     chan hint
}

// hint announces that the VM at address has, or is about to have, a higher
// revision.
type hint struct {
	revision uint64
	address  string
}

// maxPendingHints limits the queue of hints. Hints that do not fit are dropped,
// because the revisions of the members and the periodic check also reveal new
// revisions.
const maxPendingHints = 16

// startConfig registers the configuration as a state machine and activates
// the configuration stored in the data folder.
func (n *Node) startConfig() error {
	d := &distribution{
		node:            n,
		revisionChanged: make(chan struct{}),
		applied:         make(chan struct{}, 1),
		notifyDue:       make(chan struct{}, 1),
		hints:           make(chan hint, maxPendingHints),
	}
	d.state.Store(configstate.NewState())
	d.stateMachine = configstate.NewStateMachine(func() { signal(d.applied) })
	n.stateMachines[control.KindConfig] = d.stateMachine
	n.distribution = d
	d.loadFile()
	service := configv1.NewConfigServiceServer(configServer{d})
	n.peerMux.Handle(service.PathPrefix(), service)
	return nil
}

// startDistribution starts the goroutines that keep the configuration current.
func (n *Node) startDistribution() error {
	d := n.distribution
	n.background(d.activateApplied)
	n.background(d.notifyAsLeader)
	n.background(d.pullNewerRevisions)
	n.background(func(ctx context.Context) {
		if d.revision() == 0 {
			d.pull(ctx, hint{revision: anyRevision})
		}
		d.refresh(ctx)
		every(ctx, configCheckInterval, func() { d.refresh(ctx) })
	})
	if n.settings.DocumentFile != "" {
		n.background(d.proposeFirstDocument)
	}
	return nil
}

// signal wakes the receiver of c unless a wake-up is already pending.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// activate makes state the active configuration if its revision is higher than
// the current one. It writes the state file first, so that a zone that restarts
// after a crash while it is partitioned does not revert to an older
// configuration.
func (d *distribution) activate(state *configstate.State) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if state.Revision <= d.state.Load().Revision {
		return false
	}
	d.saveFile(state)
	snapshot := config.NewSnapshot(state.Document, state.Revision)
	d.state.Store(state)
	d.node.useSnapshot(snapshot)
	close(d.revisionChanged)
	d.revisionChanged = make(chan struct{})
	d.node.logger.Info("configuration activated", zap.Uint64("revision", state.Revision))
	return true
}

// revision returns the active revision.
func (d *distribution) revision() uint64 { return d.state.Load().Revision }

// awaitRevision returns the active revision when it has reached the given one
// or when ctx ends.
func (d *distribution) awaitRevision(ctx context.Context, revision uint64) uint64 {
	for {
		d.mu.Lock()
		changed := d.revisionChanged
		d.mu.Unlock()
		if current := d.revision(); current >= revision {
			return current
		}
		select {
		case <-ctx.Done():
			return d.revision()
		case <-changed:
		}
	}
}

// activateApplied activates the applied state on a voter. States that are
// applied in quick succession, as in a replay after a restart, are coalesced.
func (d *distribution) activateApplied(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.applied:
		}
		if d.activate(d.stateMachine.State()) {
			signal(d.notifyDue)
		}
	}
}

// loadFile activates the configuration of the state file, so that a restarted
// VM serves at once even if no voter responds.
func (d *distribution) loadFile() {
	if d.node.settings.DataFolder == "" {
		return
	}
	file := d.path()
	data, err := statefile.Read(file)
	if errors.Is(err, os.ErrNotExist) {
		return
	}
	var state *configstate.State
	if err == nil {
		state, err = decodeFile(data)
	}
	if err != nil {
		d.node.logger.Error("failed to load the stored configuration; pulling it from other VMs", zap.String("file", file), zap.Error(err))
		return
	}
	d.activate(state)
}

func decodeFile(data []byte) (*configstate.State, error) {
	var document configv1.Document
	if err := proto.Unmarshal(data, &document); err != nil {
		return nil, err
	}
	return configstate.DecodeDocument(&document)
}

func (d *distribution) path() string {
	return filepath.Join(d.node.settings.DataFolder, configFile)
}

// saveFile writes the configuration without its history. This keeps the file
// small; a restarted VM answers pulls with the whole document until it has
// received new changes.
func (d *distribution) saveFile(state *configstate.State) {
	if d.node.settings.DataFolder == "" {
		return
	}
	data, err := proto.Marshal(state.EncodeDocument())
	if err == nil {
		err = statefile.Write(d.path(), data)
	}
	if err != nil {
		d.node.logger.Error("failed to write the configuration file", zap.Error(err))
	}
}
