package daemon

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cuminwing/cuminwing/internal/config"
	"github.com/cuminwing/cuminwing/internal/standin"
)

// benchSlots is high enough that requests never queue during a benchmark.
const benchSlots = 1000

// benchDocument returns a document with a token rate that no benchmark reaches,
// so that the results include no waits for tokens.
func benchDocument() config.Document {
	document := testDocument()
	document.Rates["yards"] = config.Rate{RateTokensPerSecond: 1e10, BurstTokens: 1e10}
	return document
}

// benchEngine starts an engine that sends one token per interval; with 0 it
// sends them without delay.
func benchEngine(b *testing.B, vm *testVM, interval time.Duration) *standin.Engine {
	b.Helper()
	e, err := standin.StartEngine("127.0.0.1:0", standin.EngineOptions{
		ID: "e1", Zone: "muc-a", Region: "oberbayern", Model: testModel, Version: "v1",
		TokenInterval: interval, BatchSlots: benchSlots, AnnounceURLs: announceTo([]*testVM{vm}),
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(e.Close)
	awaitTarget(b, vm, "e1")
	return e
}

// firstToken returns the time until the first event of a stream arrives.
func firstToken(b *testing.B, url string) time.Duration {
	start := time.Now()
	resp, err := send(context.Background(), http.MethodPost, url, testKey, chatBody(strings.Repeat("oak ", 1000), 2, true))
	if err != nil {
		b.Fatal(err)
	}
	defer resp.Body.Close()
	if _, err := bufio.NewReader(resp.Body).ReadString('\n'); err != nil || resp.StatusCode != http.StatusOK {
		b.Fatal(resp.StatusCode, err)
	}
	took := time.Since(start)
	_, _ = io.Copy(io.Discard, resp.Body)
	return took
}

// BenchmarkFirstToken measures the latency that the router adds to the first
// token, compared with a direct call. The target is 1 ms at p50 and 3 ms at
// p99.
func BenchmarkFirstToken(b *testing.B) {
	vm := startVM(b, "muc-a", benchDocument())
	engine := benchEngine(b, vm, 0)
	var routed, direct []time.Duration
	for b.Loop() {
		direct = append(direct, firstToken(b, engine.URL()+"/v1/chat/completions"))
		routed = append(routed, firstToken(b, vm.base+"/v1/chat/completions"))
	}
	b.ReportMetric(float64(quantile(direct, 0.5).Microseconds()), "direct-us-p50")
	for name, at := range map[string]float64{"p50": 0.5, "p99": 0.99} {
		added := quantile(routed, at) - quantile(direct, at)
		b.ReportMetric(float64(added.Microseconds()), "added-us-"+name)
	}
}

func quantile(samples []time.Duration, at float64) time.Duration {
	slices.Sort(samples)
	return samples[int(at*float64(len(samples)-1))]
}

// BenchmarkTokens measures streamed tokens per second and per CPU core. The CPU
// time includes the engine and the caller, which run in the same process. The
// target is 10,000 for the router alone.
func BenchmarkTokens(b *testing.B) {
	const streams, tokens = 16, 2000
	vm := startVM(b, "muc-a", benchDocument())
	benchEngine(b, vm, 0)
	total := 0
	started, cpu := time.Now(), processTime(b)
	for b.Loop() {
		var wg sync.WaitGroup
		for range streams {
			wg.Go(func() { readStream(b, vm, tokens) })
		}
		wg.Wait()
		total += streams * tokens
	}
	b.ReportMetric(float64(total)/time.Since(started).Seconds(), "tokens/s")
	b.ReportMetric(float64(total)/(processTime(b)-cpu).Seconds(), "tokens/core-s")
}

func readStream(b *testing.B, vm *testVM, tokens int) {
	resp, err := send(context.Background(), http.MethodPost, vm.base+"/v1/chat/completions", testKey, chatBody("dossier", tokens, true))
	if err != nil {
		b.Error(err)
		return
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	if !strings.HasSuffix(string(body), "data: [DONE]\n\n") {
		b.Errorf("incomplete stream: %.200s", body)
	}
}

// BenchmarkOpenStreams measures the memory per open stream. It includes the
// engine and the caller, which run in the same process; the target of 64 KB
// applies to the router alone.
func BenchmarkOpenStreams(b *testing.B) {
	const streams = 300
	for b.Loop() {
		vm := startVM(b, "muc-a", benchDocument())
		benchEngine(b, vm, time.Hour)
		before := heapAndStacks()
		ctx, cancel := context.WithCancel(context.Background())
		for range streams {
			resp, err := send(ctx, http.MethodPost, vm.base+"/v1/chat/completions", testKey, chatBody("dossier", 1000, true))
			if err != nil {
				b.Fatal(err)
			}
			defer resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				body, _ := io.ReadAll(resp.Body)
				b.Fatalf("status %d: %s", resp.StatusCode, body)
			}
		}
		b.ReportMetric(float64(heapAndStacks()-before)/streams, "bytes/stream-all-ends")
		cancel()
	}
}

func heapAndStacks() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

// BenchmarkClaim compares a request whose claim is replicated to three voters
// with synced logs with a request to a service without claims. The target for
// the added latency is less than 5 ms at p99.
func BenchmarkClaim(b *testing.B) {
	vms := startVMs(b, benchDocument(), "muc-a", "muc-b", "muc-a")
	startService(b, "orders", "o1", vms...)
	startService(b, "stock", "s1", vms...)
	await(b, "control log is available", func() bool {
		status, _, _ := call(b, "POST", vms[0].base+"/orders", testKey, "x")
		return status == 200
	})
	timed := func(path string) time.Duration {
		start := time.Now()
		if status, _, body := call(b, "POST", vms[1].base+path, testKey, "x"); status != 200 {
			b.Fatal(status, body)
		}
		return time.Since(start)
	}
	var plain, claimed []time.Duration
	for b.Loop() {
		plain = append(plain, timed("/stock"))
		claimed = append(claimed, timed("/orders"))
	}
	b.ReportMetric(float64((quantile(claimed, 0.5) - quantile(plain, 0.5)).Microseconds()), "added-us-p50")
	b.ReportMetric(float64((quantile(claimed, 0.99) - quantile(plain, 0.99)).Microseconds()), "added-us-p99")
}
