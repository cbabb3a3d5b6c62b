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

// BenchmarkCommit measures commits with fsync on three voters, for several
// numbers of concurrent callers on the leader or on a follower.
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
				proposeConcurrently(b, v, callers)
			})
		}
	}
}

func proposeConcurrently(b *testing.B, v *vm, callers int) {
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
		proposeUntilCommitted(b, c.others(leader)[0])
		worst = max(worst, time.Since(start))
		b.StopTimer()
		c.restart(leader)
		proposeUntilCommitted(b, leader)
		b.StartTimer()
	}
	b.ReportMetric(worst.Seconds(), "worst-s")
	b.ReportMetric(b.Elapsed().Seconds()/float64(b.N), "mean-s")
}

// proposeUntilCommitted proposes a command until it is committed. It retries
// after any error, so a command whose outcome was uncertain may be committed
// more than once.
func proposeUntilCommitted(b *testing.B, v *vm) {
	for range 100 {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		_, err := v.log.Propose(ctx, control.KindClaims, make([]byte, benchBody))
		cancel()
		if err == nil {
			return
		}
	}
	b.Fatal("no command was committed in 100 attempts")
}

// BenchmarkIdle measures the CPU usage of three idle voters.
func BenchmarkIdle(b *testing.B) {
	c := newCluster(b, 3)
	c.leader(c.vms...)
	cpuTime := func() time.Duration {
		var u syscall.Rusage
		_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
		return time.Duration(u.Utime.Nano() + u.Stime.Nano())
	}
	before := cpuTime()
	b.ResetTimer()
	for range b.N {
		time.Sleep(time.Second)
	}
	used := cpuTime() - before
	b.ReportMetric(100*used.Seconds()/b.Elapsed().Seconds()/3, "%core/voter")
}

// BenchmarkRestartAll measures the time from the start of all three voters to
// the first commit.
func BenchmarkRestartAll(b *testing.B) {
	c := newCluster(b, 3)
	proposeUntilCommitted(b, c.vms[0])
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
		proposeUntilCommitted(b, c.vms[0])
	}
	b.ReportMetric(b.Elapsed().Seconds()/float64(b.N), "mean-s")
}

// BenchmarkRestart measures the time until a restarted sole voter has loaded a
// snapshot and applied the 2,300 log entries after it.
func BenchmarkRestart(b *testing.B) {
	const entries = 2300
	c := newCluster(b, 1)
	v := c.vms[0]
	c.leader(v)
	body := make([]byte, benchBody)
	proposeBytes(b, v, body)
	v.replica.enqueue(func() { _ = v.replica.startSnapshot() })
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
