package orders

import "time"

const (
	// LeaseDuration is how long the holder may send orders to targets after a
	// renewal.
	LeaseDuration = 5 * time.Second
	// RenewInterval is the time between two renewals. After a failed renewal it
	// leaves two more attempts before the lease expires.
	RenewInterval = LeaseDuration / 3
	// driftPermille is the maximum rate error of a VM's clock, in thousandths.
	driftPermille = 10
)

// Lease is the order lease as seen by its holder. It permits its holder to send
// orders to targets.
type Lease struct {
	// FencingToken identifies the lease. A target that checks fencing tokens
	// rejects orders with a lower one.
	FencingToken uint64
	// expires is when this VM must stop sending orders, by its own clock.
	expires time.Time
	// exclusiveFrom is when the lease of the former holder has expired for
	// certain.
	exclusiveFrom time.Time
}

// NewLease returns a new lease. The time sent is before the acquire command was
// proposed, the time committed after its commit.
func NewLease(fencingToken uint64, sent, committed time.Time) Lease {
	// The former holder's last renewal was committed before this command and
	// proposed even earlier. Either clock may drift by driftPermille. The
	// factor is (1+d)/(1-d), rounded up, for a drift of d.
	takeoverWait := LeaseDuration * (1000 + 2*driftPermille + 1) / 1000
	return Lease{FencingToken: fencingToken, expires: sent.Add(LeaseDuration), exclusiveFrom: committed.Add(takeoverWait)}
}

// Renew extends the lease after a renewal that was proposed at sent was
// committed.
func (l *Lease) Renew(sent time.Time) { l.expires = sent.Add(LeaseDuration) }

// Expiry returns the expiry time of the lease. The holder must end its calls to
// targets by then.
func (l *Lease) Expiry() time.Time { return l.expires }

// Holds reports whether the lease permits orders to targets that check fencing
// tokens.
func (l *Lease) Holds(now time.Time) bool { return l.FencingToken != 0 && now.Before(l.expires) }

// IsExclusive reports whether the lease permits orders to targets that do not
// check fencing tokens.
func (l *Lease) IsExclusive(now time.Time) bool { return l.Holds(now) && !now.Before(l.exclusiveFrom) }
