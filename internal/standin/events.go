package standin

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cuminwing/cuminwing/internal/adapter/targethttp"
	"github.com/cuminwing/cuminwing/internal/pause"
	"github.com/cuminwing/cuminwing/internal/prefix"
	"github.com/cuminwing/cuminwing/internal/target"
)

const (
	// maxEvents limits the events kept for readers; a reader that is further
	// behind gets a snapshot.
	maxEvents         = 4096
	eventPollInterval = 5 * time.Millisecond
	// maxLoadSamples limits the load history. It must span the lag of load
	// reports.
	maxLoadSamples = 256
)

type loggedEvent struct {
	event     prefix.Event
	visibleAt time.Time
}

// eventLog assigns sequence numbers to cache events and keeps the latest events.
// Events start at number 2, so that even the snapshot of an empty log ends at 1
// and never at 0, which requests a snapshot.
type eventLog struct {
	lag  time.Duration
	loss float64

	mu             sync.Mutex
	nextSequence   uint64
	oldestSequence uint64
	events         []loggedEvent
}

func newEventLog(o CacheOptions) *eventLog {
	return &eventLog{lag: o.EventLag, loss: o.EventLossRate, nextSequence: 2, oldestSequence: 2}
}

func (l *eventLog) lastSequence() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.nextSequence - 1
}

// add assigns the next sequence number to the event. An event that is dropped as
// lost leaves a gap in the numbers.
func (l *eventLog) add(e prefix.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.Sequence = l.nextSequence
	l.nextSequence++
	if rand.Float64() < l.loss {
		return
	}
	l.events = append(l.events, loggedEvent{e, time.Now().Add(l.lag)})
	if len(l.events) > maxEvents {
		l.events = l.events[1:]
		l.oldestSequence = l.events[0].event.Sequence
	}
}

// since returns the visible events after the given sequence number. It reports
// false if some of them are no longer kept or the number was never assigned.
func (l *eventLog) since(after uint64) ([]prefix.Event, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if after+1 < l.oldestSequence || after >= l.nextSequence {
		return nil, false
	}
	now := time.Now()
	var events []prefix.Event
	for _, e := range l.events {
		if e.event.Sequence > after && !e.visibleAt.After(now) {
			events = append(events, e.event)
		}
	}
	return events, true
}

func (k *kvEngine) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "query parameter after must be an unsigned integer", http.StatusBadRequest)
		return
	}
	response := targethttp.CacheEvents{Incarnation: k.incarnation, LastSequence: after}
	deadline := time.Now().Add(targethttp.MaxEventsWait)
	for after > 0 {
		events, kept := k.events.since(after)
		if !kept {
			after = 0
			break
		}
		if len(events) > 0 {
			response.Events, response.LastSequence = events, events[len(events)-1].Sequence
			break
		}
		if time.Now().After(deadline) || !pause.For(r.Context(), eventPollInterval) {
			break
		}
	}
	if after == 0 {
		response.Snapshot = true
		response.Events, response.LastSequence = k.cache.snapshot()
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(response)
}

// loadHistory keeps recent load samples, so that load reports can be delayed.
type loadHistory struct {
	lag time.Duration

	mu      sync.Mutex
	current target.Load
	samples []loadSample
}

type loadSample struct {
	at   time.Time
	load target.Load
}

func (l *loadHistory) update(f func(*target.Load)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(&l.current)
	l.samples = append(l.samples, loadSample{time.Now(), l.current})
	if len(l.samples) > maxLoadSamples {
		l.samples = l.samples[1:]
	}
}

// report returns the load as of lag before now.
func (l *loadHistory) report() target.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	cutoff := time.Now().Add(-l.lag)
	for i := len(l.samples) - 1; i >= 0; i-- {
		if !l.samples[i].at.After(cutoff) {
			return l.samples[i].load
		}
	}
	return target.Load{}
}
