package routing

import (
	"time"

	"github.com/cuminwing/cuminwing/internal/target"
)

const (
	// rememberedDispatches covers the dispatches to one target between two
	// load reports; older ones are part of the report.
	rememberedDispatches = 32
	// defaultHold stands in for the time that a request keeps a batch slot
	// until answers were observed.
	defaultHold = 2 * time.Second
	holdWeight  = 1.0 / 32
)

// instant is the time since the picker's epoch; durations are compared much
// faster than values of type time.Time.
type instant = time.Duration

// reportLag is the assumed age of a load report when it is heard. Work that
// was sent within the lag is added to the report.
const reportLag = 200 * time.Millisecond

// reportLife is how long a report says something about the requests of other
// VMs. Reports of targets in other zones may fail to come.
const reportLife = 3 * time.Second

// dispatch is one request sent to a target.
type dispatch struct {
	at   instant
	work time.Duration
	own  bool
}

// load is what this VM believes about the work queued at one incarnation. It
// starts from the last report and adds what this VM and its peers sent since.
type load struct {
	ref      target.Ref
	sequence uint64
	// reported is when the prefill work of the last report, and of what was
	// sent since, is done.
	reported instant
	// sent is when the prefill work that is known to be sent is done. It
	// guards against reports that are older than assumed.
	sent instant
	// others counts the requests of other VMs in the last report, which was
	// heard at heard, and those that they sent since.
	others int
	heard  instant
	// own counts the requests of this VM in flight.
	own    int
	slots  int
	recent [rememberedDispatches]dispatch
	next   int
}

// heartbeat takes over the load in a heartbeat that is newer than the last one.
func (l *load) heartbeat(t *target.Target, heard instant, tokensPerSecond float64) {
	if t.Sequence == l.sequence {
		return
	}
	l.sequence = t.Sequence
	l.slots = t.BatchSlots
	l.report(t.Load, heard, tokensPerSecond)
}

// report takes over a load report.
func (l *load) report(reported target.Load, heard instant, tokensPerSecond float64) {
	l.heard = heard
	made := heard - reportLag
	queued := time.Duration(float64(reported.QueuedPrefillTokens) / tokensPerSecond * float64(time.Second))
	l.reported = made + queued
	included := l.own
	l.others = 0
	for i := range l.recent {
		d := &l.recent[i]
		if d.at <= made {
			continue
		}
		l.reported = max(l.reported, d.at) + d.work
		if d.own {
			included--
		} else {
			l.others++
		}
	}
	l.others += max(0, reported.Running+reported.Waiting-max(0, included))
}

// dispatched adds a request of this VM with the given prefill work.
func (l *load) dispatched(now instant, work time.Duration) {
	l.own++
	l.add(dispatch{now, work, true})
}

// dispatchedElsewhere adds a request of another VM.
func (l *load) dispatchedElsewhere(now instant, work time.Duration) {
	l.others++
	l.add(dispatch{now, work, false})
}

func (l *load) add(d dispatch) {
	l.recent[l.next] = d
	l.next = (l.next + 1) % rememberedDispatches
	l.reported = max(l.reported, d.at) + d.work
	l.sent = max(l.sent, d.at) + d.work
}

// finished removes a request of this VM.
func (l *load) finished() { l.own = max(0, l.own-1) }

// wait returns how long a new request waits until its prefill begins. The
// prefill queue and the wait for a batch slot pass at the same time.
func (l *load) wait(now instant, hold time.Duration) time.Duration {
	wait := max(0, l.reported-now, l.sent-now)
	if now-l.heard > reportLife {
		l.others = 0
	}
	if l.slots > 0 {
		if over := l.own + l.others - l.slots + 1; over > 0 {
			wait = max(wait, hold*time.Duration(over)/time.Duration(l.slots))
		}
	}
	return wait
}
