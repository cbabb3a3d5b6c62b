package daemon

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cuminwing/cuminwing/internal/config"
	"github.com/cuminwing/cuminwing/internal/control"
	"github.com/cuminwing/cuminwing/internal/control/configstate"
	configv1 "github.com/cuminwing/cuminwing/proto/config/v1"
)

// Workspaces and edits per day at the design size.
const (
	designWorkspaces = 1900
	designEdits      = 2300
)

func designDocument() config.Document {
	d := clusterDocument("")
	for i := range designWorkspaces {
		name := fmt.Sprintf("workspace-%04d", i)
		d.Workspaces[name] = config.Workspace{Keys: []config.Key{{ID: "k1", SHA256: fmt.Sprintf("%064x", i+1)}}}
		d.Rates[name] = config.Rate{RateTokensPerSecond: 1000, BurstTokens: 5000}
	}
	return d
}

// commitDailyEdits commits the first document and the edits of one day.
func commitDailyEdits(tb testing.TB, n *Node) uint64 {
	tb.Helper()
	edit, err := configstate.InitialEdit("first", designDocument())
	if err != nil {
		tb.Fatal(err)
	}
	var base uint64
	for i := range designEdits + 1 {
		if i > 0 {
			patch := fmt.Sprintf(`{"workspace-%04d":{"rate_tokens_per_second":%d}}`, i%designWorkspaces, i)
			edit = &configv1.Edit{Id: fmt.Sprint("e", i), Sections: []*configv1.SectionEdit{
				{Section: "rates", BaseRevision: base, Patch: []byte(patch)},
			}}
		}
		body, err := marshalEdit(edit)
		if err != nil {
			tb.Fatal(err)
		}
		if _, err := n.propose(context.Background(), control.KindConfig, body); err != nil {
			tb.Fatal(err)
		}
		base = n.distribution.stateMachine.State().Revision
	}
	return base
}

// BenchmarkRestartVM measures the restart of a voter that has the edits of one
// day on disk: the time until it serves a configuration, and the time until it
// has activated the last edit.
func BenchmarkRestartVM(b *testing.B) {
	s := loadExample(b, "verband")[0]
	s.InitialVoters = map[string]string{s.VM: s.PeerAddress}
	s.DocumentFile = ""
	n, err := Start(s, Options{})
	if err != nil {
		b.Fatal(err)
	}
	last := commitDailyEdits(b, n)
	await(b, "last edit is active", func() bool { return n.distribution.revision() == last })
	n.Close()
	var serving, current time.Duration
	for b.Loop() {
		start := time.Now()
		if n, err = Start(s, Options{}); err != nil {
			b.Fatal(err)
		}
		if n.Snapshot() == nil {
			b.Fatal("the restarted VM does not serve")
		}
		serving += time.Since(start)
		await(b, "last edit is active", func() bool { return n.distribution.revision() == last })
		current += time.Since(start)
		n.Close()
	}
	b.ReportMetric(float64(serving.Milliseconds())/float64(b.N), "ms-serving")
	b.ReportMetric(float64(current.Milliseconds())/float64(b.N), "ms-current")
}
