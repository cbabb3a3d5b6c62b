package orders

import "time"

const (
	// LeaseDuration is how long a holder may order targets after a renewal.
	LeaseDuration = 5 * time.Second
	// RenewInterval leaves two more tries before the lease ends.
	RenewInterval = LeaseDuration / 3
	// driftPermille bounds the rate error of each VM's clock.
	driftPermille = 10
)

// Lease is the order lease as seen by its holder.
type Lease struct {
	// Fence is the fencing number.
	Fence uint64
	// until is when this VM must stop, by its own clock.
	until time.Time
	// quiet is when the former holder has stopped for certain.
	quiet time.Time
}

// Take begins a lease. Sent is the time before the command was proposed,
// answered the time after it was committed.
func Take(fence uint64, sent, answered time.Time) Lease {
	// The former holder's last renewal was committed before this command and
	// proposed earlier still. Both clocks may be off by the bound.
	wait := LeaseDuration * (1000 + 2*driftPermille + 1) / 1000
	return Lease{Fence: fence, until: sent.Add(LeaseDuration), quiet: answered.Add(wait)}
}

// Renew extends the lease after a renewal that was proposed at sent.
func (l *Lease) Renew(sent time.Time) { l.until = sent.Add(LeaseDuration) }

// Until returns the time at which no order may be on its way any more.
func (l *Lease) Until() time.Time { return l.until }

// Holds reports whether targets that check fencing may be ordered.
func (l *Lease) Holds(now time.Time) bool { return l.Fence != 0 && now.Before(l.until) }

// HoldsAlone reports whether targets that do not check fencing may be
// ordered.
func (l *Lease) HoldsAlone(now time.Time) bool { return l.Holds(now) && !now.Before(l.quiet) }
