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
	"github.com/cuminwing/cuminwing/internal/control/sections"
	configv1 "github.com/cuminwing/cuminwing/proto/config/v1"
)

const (
	// memberScanInterval is how often the revisions of the members are
	// compared with the own one; it costs no message.
	memberScanInterval = 250 * time.Millisecond
	// configCheckInterval is how often a VM asks another for news. It is well
	// under the 5 s in which a configuration has to be in force.
	configCheckInterval = 2 * time.Second
	configFile          = "configuration.state"
	// anyRevision is reached by every configuration.
	anyRevision = 1
)

// distribution keeps the configuration in force on one VM. Voters take it from
// the applied log, other VMs pull it.
type distribution struct {
	node *Node
	part *sections.Part
	// lease tracks the contact with control VMs.
	lease controlLease

	mu    sync.Mutex
	state atomic.Pointer[sections.State]
	// raised is closed and replaced when the revision rises.
	raised chan struct{}

	// applied, push and hints wake the duties.
	applied chan struct{}
	push    chan struct{}
	hints   chan hint
}

// hint says that a VM has a higher revision.
type hint struct {
	revision uint64
	address  string
}

// hintQueue bounds the hints that wait; a hint that finds no room is dropped,
// because the members' revisions and the periodic check cover it.
const hintQueue = 16

// startConfig registers the replicated part and puts the last configuration of
// the data folder in force.
func (n *Node) startConfig() error {
	d := &distribution{
		node:    n,
		raised:  make(chan struct{}),
		applied: make(chan struct{}, 1),
		push:    make(chan struct{}, 1),
		hints:   make(chan hint, hintQueue),
	}
	d.state.Store(sections.NewState())
	d.part = sections.NewPart(func() { wake(d.applied) })
	n.parts[control.KindConfig] = d.part
	n.distribution = d
	d.loadFile()
	service := configv1.NewConfigServiceServer(configServer{d})
	n.peerMux.Handle(service.PathPrefix(), service)
	return nil
}

// startDistribution starts the duties that keep the configuration current.
func (n *Node) startDistribution() error {
	d := n.distribution
	n.duty(d.publishApplied)
	n.duty(d.pushHints)
	n.duty(d.follow)
	n.duty(func(ctx context.Context) {
		if d.revision() == 0 {
			d.pull(ctx, hint{revision: anyRevision})
		}
		d.check(ctx)
		every(ctx, configCheckInterval, func() { d.check(ctx) })
	})
	if n.settings.DocumentFile != "" {
		n.duty(d.proposeFirstDocument)
	}
	return nil
}

// wake makes a duty run once more, unless it is due already.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// adopt puts state in force if its revision is higher than the present one. The
// snapshot file comes first, so that a crash right afterwards does not revert
// the configuration of a zone that restarts while it is cut off.
func (d *distribution) adopt(state *sections.State) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if state.Revision <= d.state.Load().Revision {
		return false
	}
	d.saveFile(state)
	snapshot := config.NewSnapshot(state.Document, state.Revision)
	d.state.Store(state)
	d.node.snapshot.Store(snapshot)
	close(d.raised)
	d.raised = make(chan struct{})
	d.node.logger.Info("configuration in force", zap.Uint64("revision", state.Revision))
	return true
}

// revision returns the revision in force.
func (d *distribution) revision() uint64 { return d.state.Load().Revision }

// awaitRevision returns once revision is in force or ctx ends. It returns the
// revision in force then.
func (d *distribution) awaitRevision(ctx context.Context, revision uint64) uint64 {
	for {
		d.mu.Lock()
		raised := d.raised
		d.mu.Unlock()
		if current := d.revision(); current >= revision {
			return current
		}
		select {
		case <-ctx.Done():
			return d.revision()
		case <-raised:
		}
	}
}

// publishApplied puts the applied state in force on a voter. States that
// follow each other quickly, as in a replay after a restart, are taken once.
func (d *distribution) publishApplied(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.applied:
		}
		if d.adopt(d.part.State()) {
			wake(d.push)
		}
	}
}

// loadFile puts the last snapshot file in force, so that a restarted VM serves
// at once, even when no voter answers.
func (d *distribution) loadFile() {
	if d.node.settings.DataFolder == "" {
		return
	}
	file := d.file()
	data, err := statefile.Read(file)
	if errors.Is(err, os.ErrNotExist) {
		return
	}
	var state *sections.State
	if err == nil {
		state, err = decodeFile(data)
	}
	if err != nil {
		d.node.logger.Error("configuration file refused; starting from other VMs", zap.String("file", file), zap.Error(err))
		return
	}
	d.adopt(state)
}

func decodeFile(data []byte) (*sections.State, error) {
	var document configv1.Document
	if err := proto.Unmarshal(data, &document); err != nil {
		return nil, err
	}
	return sections.DecodeDocument(&document)
}

func (d *distribution) file() string {
	return filepath.Join(d.node.settings.DataFolder, configFile)
}

// saveFile leaves the history out: a restarted VM answers pulls with the whole
// document until it has seen new changes, and the file stays small.
func (d *distribution) saveFile(state *sections.State) {
	if d.node.settings.DataFolder == "" {
		return
	}
	data, err := proto.Marshal(state.EncodeDocument())
	if err == nil {
		err = statefile.Write(d.file(), data)
	}
	if err != nil {
		d.node.logger.Error("configuration file not written", zap.Error(err))
	}
}
