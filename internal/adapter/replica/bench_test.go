package replica

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cuminwing/cuminwing/internal/control"
)

const benchBody = 300

func proposeBytes(b *testing.B, v *vm, body []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if _, err := v.log.Propose(ctx, control.KindClaims, body); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkCommit measures commits with fsync on three voters, with a number
// of callers at once on the leader or on a follower.
func BenchmarkCommit(b *testing.B) {
	for _, callers := range []int{1, 16, 128} {
		for _, where := range []string{"leader", "follower"} {
			b.Run(fmt.Sprintf("callers=%d/%s", callers, where), func(b *testing.B) {
				c := newCluster(b, 3)
				v := c.leader(c.vms...)
				if where == "follower" {
					v = c.others(v)[0]
				}
				proposeBytes(b, v, make([]byte, benchBody))
				b.ResetTimer()
				commitAll(b, v, callers)
			})
		}
	}
}

func commitAll(b *testing.B, v *vm, callers int) {
	latencies := make([]time.Duration, b.N)
	var next atomic.Int64
	done := make(chan struct{})
	for range callers {
		go func() {
			defer func() { done <- struct{}{} }()
			body := make([]byte, benchBody)
			for i := next.Add(1); i <= int64(b.N); i = next.Add(1) {
				start := time.Now()
				proposeBytes(b, v, body)
				latencies[i-1] = time.Since(start)
			}
		}()
	}
	for range callers {
		<-done
	}
	b.StopTimer()
	slices.Sort(latencies)
	report := func(quantile float64, unit string) {
		at := latencies[int(float64(len(latencies)-1)*quantile)]
		b.ReportMetric(float64(at.Microseconds())/1000, unit)
	}
	report(0.5, "p50-ms")
	report(0.99, "p99-ms")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
}

// BenchmarkFailover measures the time from the crash of a leader to the first
// commit on another voter.
func BenchmarkFailover(b *testing.B) {
	c := newCluster(b, 3)
	proposeBytes(b, c.vms[0], make([]byte, benchBody))
	var worst time.Duration
	b.ResetTimer()
	for range b.N {
		leader := c.leader(c.vms...)
		start := time.Now()
		leader.stop()
		commitAgain(b, c.others(leader)[0])
		worst = max(worst, time.Since(start))
		b.StopTimer()
		c.restart(leader)
		commitAgain(b, leader)
		b.StartTimer()
	}
	b.ReportMetric(worst.Seconds(), "worst-s")
	b.ReportMetric(b.Elapsed().Seconds()/float64(b.N), "mean-s")
}

// commitAgain repeats a proposal whose outcome is uncertain.
func commitAgain(b *testing.B, v *vm) {
	for range 100 {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		_, err := v.log.Propose(ctx, control.KindClaims, make([]byte, benchBody))
		cancel()
		if err == nil {
			return
		}
	}
	b.Fatal("no commit")
}

// BenchmarkIdle measures the processor time of three idle voters.
func BenchmarkIdle(b *testing.B) {
	c := newCluster(b, 3)
	c.leader(c.vms...)
	usage := func() time.Duration {
		var u syscall.Rusage
		_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
		return time.Duration(u.Utime.Nano() + u.Stime.Nano())
	}
	before := usage()
	b.ResetTimer()
	for range b.N {
		time.Sleep(time.Second)
	}
	used := usage() - before
	b.ReportMetric(100*used.Seconds()/b.Elapsed().Seconds()/3, "%core/voter")
}

// BenchmarkRestartAll measures the time from the start of all three voters to
// the first commit.
func BenchmarkRestartAll(b *testing.B) {
	c := newCluster(b, 3)
	commitAgain(b, c.vms[0])
	b.ResetTimer()
	for range b.N {
		b.StopTimer()
		for _, v := range c.vms {
			v.stop()
		}
		b.StartTimer()
		for _, v := range c.vms {
			c.restart(v)
		}
		commitAgain(b, c.vms[0])
	}
	b.ReportMetric(b.Elapsed().Seconds()/float64(b.N), "mean-s")
}

// BenchmarkRestart measures the time to open a voter with a snapshot and
// 2,300 entries after it, and until it has applied them as sole voter.
func BenchmarkRestart(b *testing.B) {
	const entries = 2300
	c := newCluster(b, 1)
	v := c.vms[0]
	c.leader(v)
	body := make([]byte, benchBody)
	proposeBytes(b, v, body)
	v.replica.post(func() { _ = v.replica.startSnapshot() })
	for range entries {
		proposeBytes(b, v, body)
	}
	b.ResetTimer()
	for range b.N {
		b.StopTimer()
		v.stop()
		b.StartTimer()
		c.restart(v)
		for v.replica.Status().Applied < entries {
			time.Sleep(time.Millisecond)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Milliseconds())/float64(b.N), "ms/restart")
}
