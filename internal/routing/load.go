package routing

import (
	"time"

	"github.com/cuminwing/cuminwing/internal/target"
)

const (
	// rememberedDispatches covers the dispatches of one VM to one target
	// between two load reports; older ones are part of the report.
	rememberedDispatches = 32
	// defaultHold stands in for the time that a request keeps a batch slot
	// until answers were observed.
	defaultHold = 2 * time.Second
	holdWeight  = 1.0 / 32
)

// instant is the time since the picker's epoch; durations are compared much
// faster than values of type time.Time.
type instant = time.Duration

// dispatch is one request sent to a target.
type dispatch struct {
	at   instant
	work time.Duration
}

// load is what this VM believes about the work queued at one incarnation. It
// starts from the last report and adds what this VM sent since.
type load struct {
	ref      target.Ref
	sequence uint64
	// reported is when the prefill work of the last report, and of what was
	// sent since, is done.
	reported instant
	// sent is when the prefill work that this VM sent is done.
	sent instant
	// others counts the requests of other VMs in the last report.
	others int
	// own counts the requests of this VM in flight.
	own    int
	slots  int
	recent [rememberedDispatches]dispatch
	next   int
}

// report takes over a load report that is newer than the last one.
func (l *load) report(t *target.Target, at instant, tokensPerSecond float64) {
	if t.Sequence == l.sequence {
		return
	}
	l.sequence = t.Sequence
	l.slots = t.BatchSlots
	work, count := l.since(at)
	queued := time.Duration(float64(t.Load.QueuedPrefillTokens) / tokensPerSecond * float64(time.Second))
	l.reported = at + queued + work
	included := max(0, l.own-count)
	l.others = max(0, t.Load.Running+t.Load.Waiting-included)
}

// since sums what this VM sent after at.
func (l *load) since(at instant) (work time.Duration, count int) {
	for i := range l.recent {
		if d := &l.recent[i]; d.at > at {
			work += d.work
			count++
		}
	}
	return work, count
}

// dispatched adds a request with the given prefill work.
func (l *load) dispatched(now instant, work time.Duration) {
	l.own++
	l.recent[l.next] = dispatch{now, work}
	l.next = (l.next + 1) % rememberedDispatches
	l.reported = max(l.reported, now) + work
	l.sent = max(l.sent, now) + work
}

// finished removes a request.
func (l *load) finished(now instant) {
	l.own = max(0, l.own-1)
	if l.own == 0 {
		l.sent = now
	}
}

// wait returns how long a new request waits until its prefill begins. The
// prefill queue and the wait for a batch slot pass at the same time.
func (l *load) wait(now instant, hold time.Duration) time.Duration {
	wait := max(0, l.reported-now, l.sent-now)
	if l.slots > 0 {
		if over := l.own + l.others - l.slots + 1; over > 0 {
			wait = max(wait, hold*time.Duration(over)/time.Duration(l.slots))
		}
	}
	return wait
}
