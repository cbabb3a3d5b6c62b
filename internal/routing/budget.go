package routing

import "time"

// byteBucket is a token bucket in bytes that limits what this VM sends over a
// shared link. The rate of the link is divided by the number of VM slots, so
// that all VMs together stay within it. A transfer is sent whole and may
// overdraw the bucket; nothing more is sent until the level is positive again.
type byteBucket struct {
	level    float64
	refilled time.Time
}

// burstWindow limits the unused bandwidth that accumulates.
const burstWindow = time.Second

// available refills the bucket and reports whether a transfer may start.
func (b *byteBucket) available(now time.Time, bytesPerSecond float64) bool {
	if b.refilled.IsZero() {
		b.level = bytesPerSecond * burstWindow.Seconds()
	} else {
		b.level += bytesPerSecond * now.Sub(b.refilled).Seconds()
		b.level = min(b.level, bytesPerSecond*burstWindow.Seconds())
	}
	b.refilled = now
	return b.level > 0
}

func (b *byteBucket) take(bytes int) { b.level -= float64(bytes) }
