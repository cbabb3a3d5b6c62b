package daemon

import (
	"context"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/cuminwing/cuminwing/internal/adapter/metrics"
	"github.com/cuminwing/cuminwing/internal/adapter/stallwatch"
	"github.com/cuminwing/cuminwing/internal/adapter/statefile"
	"github.com/cuminwing/cuminwing/internal/burn"
	"github.com/cuminwing/cuminwing/internal/ring"
	"github.com/cuminwing/cuminwing/internal/serving"
	burnv1 "github.com/cuminwing/cuminwing/proto/burn/v1"
)

const (
	// sampleBufferSize holds about one second of samples at 4,600 requests per
	// second.
	sampleBufferSize = 4096
	// burnSaveInterval limits how much of the burn counters a crash loses.
	burnSaveInterval = time.Minute
	burnFile         = "burn.state"
	collectTimeout   = 2 * time.Second
)

// observer counts finished requests for metrics and for the error budget burn
// report.
type observer struct {
	node    *Node
	samples *ring.Ring[serving.Sample]
	tracker *burn.Tracker
	metrics *metrics.Set
}

// startObserver starts counting requests and serves the burn report and the
// metrics.
func (n *Node) startObserver() error {
	o := &observer{
		node:    n,
		samples: ring.New[serving.Sample](sampleBufferSize),
		tracker: burn.NewTracker(n.settings.VM, n.clock()),
		metrics: metrics.New(n.settings.VM),
	}
	n.observer = o
	o.load()
	o.registerGauges()
	server := burnv1.NewBurnServiceServer(o)
	n.peerMux.Handle(server.PathPrefix(), server)
	n.adminMux.Handle(server.PathPrefix(), server)
	n.adminMux.Handle("GET /debug/vars", metrics.Handler())
	n.background(o.run)
	stalls := stallwatch.New(n.logger)
	stalls.Register(o.metrics.Gauge)
	n.background(stalls.Run)
	return nil
}

// Observe implements serving.Observer. If the buffer is full, it drops and
// counts the sample, so that observation never delays a request.
func (o *observer) Observe(s serving.Sample) {
	if !o.samples.Push(s) {
		o.metrics.Add("samples_dropped", 1)
	}
}

func (o *observer) registerGauges() {
	n := o.node
	o.metrics.Gauge("running_requests", func() any { return n.callers.ActiveRequests() })
	o.metrics.Gauge("config_revision", func() any { return n.self().ConfigRevision })
	o.metrics.Gauge("live_vms", func() any { return len(n.members()) })
	o.metrics.Gauge("targets", func() any { return len(n.registry.All()) })
	o.metrics.Gauge("memory_reserved", func() any { return n.memory.total.Used() })
	o.metrics.Gauge("head_memory_reserved", func() any { return n.memory.connections.HeadBytes() })
	o.metrics.Gauge("client_connections", func() any { return n.memory.connections.Connections() })
	o.metrics.Gauge("withdrawn_keys", func() any { return len(n.withdrawn.All()) })
}

func (o *observer) run(ctx context.Context) {
	o.node.background(func(ctx context.Context) { every(ctx, burnSaveInterval, o.save) })
	for {
		s, ok := o.samples.Pop(ctx)
		if !ok {
			o.save()
			return
		}
		o.metrics.Observe(s)
		if snap := o.node.Snapshot(); snap != nil {
			o.tracker.Observe(o.node.clock(), snap.Document.Objectives, s)
		}
	}
}

func (o *observer) path() string {
	return filepath.Join(o.node.settings.DataFolder, burnFile)
}

func (o *observer) load() {
	if o.node.settings.DataFolder == "" {
		return
	}
	data, err := statefile.Read(o.path())
	if errors.Is(err, os.ErrNotExist) {
		return
	}
	var summary burnv1.Summary
	if err == nil {
		err = proto.Unmarshal(data, &summary)
	}
	if err != nil {
		o.node.logger.Warn("failed to load the stored burn counters; starting with empty counters", zap.Error(err))
		return
	}
	o.tracker.Restore(&summary)
}

func (o *observer) save() {
	if o.node.settings.DataFolder == "" {
		return
	}
	data, err := proto.Marshal(o.tracker.Summary(o.node.clock()))
	if err == nil {
		err = statefile.Write(o.path(), data)
	}
	if err != nil {
		o.metrics.Add("burn_save_errors", 1)
	}
}

// Collect implements burnv1.BurnService.
func (o *observer) Collect(context.Context, *burnv1.CollectRequest) (*burnv1.Summary, error) {
	return o.tracker.Summary(o.node.clock()), nil
}

// Report implements burnv1.BurnService. It merges the counters of all live VMs
// and lists the VMs that did not respond.
func (o *observer) Report(ctx context.Context, _ *burnv1.ReportRequest) (*burnv1.ReportResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	summaries, missing := o.collectAll(ctx)
	now := o.node.clock()
	snap := o.node.Snapshot()
	if snap == nil {
		return &burnv1.ReportResponse{Time: now.Unix(), MissingVms: missing}, nil
	}
	report := burn.Report(now, snap.Document.Objectives, summaries)
	report.MissingVms = missing
	return report, nil
}

func (o *observer) collectAll(ctx context.Context) (summaries []*burnv1.Summary, missing []string) {
	summaries = append(summaries, o.tracker.Summary(o.node.clock()))
	var mu sync.Mutex
	var calls sync.WaitGroup
	for _, m := range o.node.members() {
		if m.VM == o.node.settings.VM {
			continue
		}
		calls.Go(func() {
			client := burnv1.NewBurnServiceProtobufClient(o.node.peerURL(m.PeerAddress), o.node.peerClient)
			s, err := client.Collect(ctx, &burnv1.CollectRequest{})
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				missing = append(missing, m.VM)
				return
			}
			summaries = append(summaries, s)
		})
	}
	calls.Wait()
	return summaries, missing
}

// Counter returns the value of a metric counter of this VM.
func (n *Node) Counter(name string) int64 { return n.observer.metrics.Value(name) }

// SeesAtLeast reports whether this VM sees at least the given numbers of live
// VMs and usable targets and a leader of the control log.
func (n *Node) SeesAtLeast(vms, targets int) bool {
	usable := 0
	for _, t := range n.registry.All() {
		if t.Usable(n.clock()) {
			usable++
		}
	}
	_, led := n.log.Leader()
	return led && len(n.members()) >= vms && usable >= targets
}
