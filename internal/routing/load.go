package routing

import (
	"time"

	"github.com/cuminwing/cuminwing/internal/target"
)

const (
	// maxRecentDispatches limits the dispatches to one target that are kept. It
	// covers those between two load reports; older ones are included in the
	// report.
	maxRecentDispatches = 32
	// defaultHoldTime is the assumed time that a request occupies a batch slot
	// until durations have been observed.
	defaultHoldTime = 2 * time.Second
	// holdTimeWeight is the weight of a new duration in the moving average.
	holdTimeWeight = 1.0 / 32
)

// instant is the time since the picker's epoch. Comparing durations is much
// faster than comparing values of type time.Time.
type instant = time.Duration

// reportLag is the assumed age of a load report on receipt. Requests dispatched
// within the lag are added to the reported load.
const reportLag = 200 * time.Millisecond

// reportTTL is how long a report counts as evidence of the in-flight requests
// of other VMs. Reports of targets in other zones may be lost.
const reportTTL = 3 * time.Second

// recentDispatch is a request sent to a target.
type recentDispatch struct {
	at      instant
	prefill time.Duration
	own     bool
}

// loadEstimate is this VM's estimate of the work queued at one incarnation: the
// last load report plus the requests that this VM and its peers have dispatched
// since.
type loadEstimate struct {
	ref      target.Ref
	sequence uint64
	// reportedBusyUntil is when the target finishes the prefill work of the last
	// report and of the requests dispatched since.
	reportedBusyUntil instant
	// sentBusyUntil is when the target finishes the prefill work known to be
	// dispatched. It guards against reports that are older than reportLag.
	sentBusyUntil instant
	// othersInFlight counts the requests of other VMs: those in the last report,
	// which was received at reportReceived, and those dispatched since.
	othersInFlight int
	reportReceived instant
	// ownInFlight counts the in-flight requests of this VM.
	ownInFlight int
	batchSlots  int
	recent      [maxRecentDispatches]recentDispatch
	next        int
}

// applyHeartbeat applies the load in a heartbeat if the heartbeat is newer than
// the last one.
func (l *loadEstimate) applyHeartbeat(t *target.Target, received instant, tokensPerSecond float64) {
	if t.Sequence == l.sequence {
		return
	}
	l.sequence = t.Sequence
	l.batchSlots = t.BatchSlots
	l.applyReport(t.Load, received, tokensPerSecond)
}

// applyReport replaces the reported load and adds the dispatches that the
// report does not include yet.
func (l *loadEstimate) applyReport(reported target.Load, received instant, tokensPerSecond float64) {
	l.reportReceived = received
	measuredAt := received - reportLag
	queued := time.Duration(float64(reported.QueuedPrefillTokens) / tokensPerSecond * float64(time.Second))
	l.reportedBusyUntil = measuredAt + queued
	ownInReport := l.ownInFlight
	l.othersInFlight = 0
	for i := range l.recent {
		d := &l.recent[i]
		if d.at <= measuredAt {
			continue
		}
		l.reportedBusyUntil = max(l.reportedBusyUntil, d.at) + d.prefill
		if d.own {
			ownInReport--
		} else {
			l.othersInFlight++
		}
	}
	l.othersInFlight += max(0, reported.Running+reported.Waiting-max(0, ownInReport))
}

// addOwn adds a request of this VM with the given prefill time.
func (l *loadEstimate) addOwn(now instant, prefill time.Duration) {
	l.ownInFlight++
	l.add(recentDispatch{now, prefill, true})
}

// addOther adds a request of another VM with the given prefill time.
func (l *loadEstimate) addOther(now instant, prefill time.Duration) {
	l.othersInFlight++
	l.add(recentDispatch{now, prefill, false})
}

func (l *loadEstimate) add(d recentDispatch) {
	l.recent[l.next] = d
	l.next = (l.next + 1) % maxRecentDispatches
	l.reportedBusyUntil = max(l.reportedBusyUntil, d.at) + d.prefill
	l.sentBusyUntil = max(l.sentBusyUntil, d.at) + d.prefill
}

// finishOwn removes a request of this VM.
func (l *loadEstimate) finishOwn() { l.ownInFlight = max(0, l.ownInFlight-1) }

// expectedWait returns how long a new request waits until its prefill begins.
// It waits in the prefill queue and for a batch slot at the same time, so the
// longer wait counts.
func (l *loadEstimate) expectedWait(now instant, holdTime time.Duration) time.Duration {
	wait := max(0, l.reportedBusyUntil-now, l.sentBusyUntil-now)
	if now-l.reportReceived > reportTTL {
		l.othersInFlight = 0
	}
	if l.batchSlots > 0 {
		if over := l.ownInFlight + l.othersInFlight - l.batchSlots + 1; over > 0 {
			wait = max(wait, holdTime*time.Duration(over)/time.Duration(l.batchSlots))
		}
	}
	return wait
}
