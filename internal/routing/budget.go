package routing

import "time"

// linkBudget limits what this VM sends over the link between regions. The
// link's rate is divided by the number of VM slots, so that all VMs together
// stay within it. A prompt may overdraw the budget, because it is sent whole;
// nothing more is sent until the debt is paid.
type linkBudget struct {
	level float64
	last  time.Time
}

// linkBurst is how much unused budget is kept.
const linkBurst = time.Second

// available reports whether the link may be used now.
func (b *linkBudget) available(now time.Time, bytesPerSecond float64) bool {
	if b.last.IsZero() {
		b.level = bytesPerSecond * linkBurst.Seconds()
	} else {
		b.level += bytesPerSecond * now.Sub(b.last).Seconds()
		b.level = min(b.level, bytesPerSecond*linkBurst.Seconds())
	}
	b.last = now
	return b.level > 0
}

func (b *linkBudget) spend(bytes int) { b.level -= float64(bytes) }
