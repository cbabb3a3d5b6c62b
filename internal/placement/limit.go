package placement

import (
	"math"
	"time"
)

// All VMs together stay within a rate limit in two ways. Each counts its own requests and
// those that the hints of the others name. And each has slots, permissions for one
// request, at regular intervals with a random phase; a slot expires, so that VMs that were
// idle do not all send before they know of each other. No VM waits for another, so a VM
// that is cut off continues with what it knows.

const (
	// limitWindow is the time over which targets judge the rate of requests.
	limitWindow = 4 * time.Second
	// limitBurst is the number of requests within limitWindow that VMs send beyond the
	// limit. Targets tolerate a few more, and half of the limit again; that covers the
	// requests that are not known yet.
	limitBurst = 1
	// limitTolerance is the multiple of the limit that targets tolerate within
	// limitWindow, and toleratedBurst the number of requests beyond that.
	limitTolerance = 1.5
	toleratedBurst = 5
	// slotValidity is how long a slot can be used.
	slotValidity = time.Second
	// slotSurplus is the rate of the slots of all VMs as a multiple of the limit, if the
	// VMs know each other's requests. Callers do not spread evenly over the VMs.
	slotSurplus = 2
	// minVisible is the number of VMs with hints of each other from which their requests
	// are known well enough for that.
	minVisible = 8
	// slotRisk is the logarithm of the probability that VMs without hints of each other
	// exceed the tolerated number in a window.
	slotRisk = -11.5
	// minSlotRate replaces lower limits for the slots, in requests per second. A target
	// that gets no request at all could not say that its limit has ended.
	minSlotRate = 0.05
	// idleFraction is the part of what a limit allows that large requests must have left
	// unused for small ones to use it.
	idleFraction = 0.4
	// MaxLimit is the highest limit that counts as one, in requests per second.
	MaxLimit = 1e6
	// limitReorder is how much later than a response with a limit one without it must
	// arrive to end the limit. Responses can overtake each other.
	limitReorder = 250 * time.Millisecond
)

// fleet is what the division of a limit depends on.
type fleet struct {
	// fronts is the number of VMs, and visible how many of them exchange hints with
	// this VM, including itself.
	fronts, visible int
	// random returns a random number from 0 to 1.
	random func() float64
}

// allowance returns how many known requests a limit allows within limitWindow. VMs
// without hints of each other are assumed to behave alike.
func (f fleet) allowance(limit float64) int {
	share := float64(f.visible) / float64(f.fronts)
	return max(int((limit*limitWindow.Seconds()+limitBurst)*share), 1)
}

// slotInterval returns the time between two slots of a VM.
func (f fleet) slotInterval(limit float64) time.Duration {
	limit = max(limit, minSlotRate)
	perSecond := f.slotFraction(limit) * limit / float64(f.fronts)
	return time.Duration(float64(time.Second) / perSecond)
}

// slotFraction returns the rate of the slots of all VMs as a multiple of the limit. If
// the VMs know little of each other's requests, it is so low that the tolerated number in
// a window is not exceeded whatever the phases are, or by random ones.
func (f fleet) slotFraction(limit float64) float64 {
	if f.visible >= min(minVisible, f.fronts) {
		return slotSurplus
	}
	seconds := (limitWindow + slotValidity).Seconds()
	tolerated := limitTolerance*limit*limitWindow.Seconds() + toleratedBurst
	if n := float64(f.fronts); n*(math.Floor(limit*seconds/n)+1) <= tolerated {
		return 1
	}
	return min(1, poissonMean(math.Floor(tolerated)+1)/(limit*seconds))
}

// poissonMean returns a mean with which a Poisson-distributed number reaches count with
// a probability of at most exp(slotRisk), by the Chernoff bound.
func poissonMean(count float64) float64 {
	low, high := 0.0, count
	for range 40 {
		if mean := (low + high) / 2; count-mean+count*math.Log(mean/count) > slotRisk {
			high = mean
		} else {
			low = mean
		}
	}
	return low
}

func (p *Placer) fleet() fleet {
	fronts := max(p.frontCount, 1)
	return fleet{fronts, min(max(p.visibleFronts, 1), fronts), p.draws}
}

// limitWait returns how long the limit leaves no room for a request.
func (a *admission) limitWait(now time.Time, f fleet) time.Duration {
	a.expireSlots(now, f.slotInterval(a.limit))
	return max(a.nextSlot.Sub(now), a.known.waitUntilBelow(now, f.allowance(a.limit)))
}

// expireSlots drops the slots that have expired.
func (a *admission) expireSlots(now time.Time, interval time.Duration) {
	if late := now.Sub(a.nextSlot) - slotValidity; late > 0 {
		a.nextSlot = a.nextSlot.Add((late/interval + 1) * interval)
	}
}

// isIdle reports whether so little of what the limit allows is in use that small requests
// may use it.
func (a *admission) isIdle(now time.Time, f fleet) bool {
	return a.known.within(now) < max(int(idleFraction*float64(f.allowance(a.limit))), 1)
}

// take uses a slot for a request of this VM.
func (a *admission) take(now time.Time, f fleet) {
	if a.limited {
		interval := f.slotInterval(a.limit)
		a.expireSlots(now, interval)
		a.nextSlot = a.nextSlot.Add(interval)
		a.known.record(now)
	}
}

// recordOther counts a request of another VM.
func (a *admission) recordOther(now time.Time) {
	if a.limited {
		a.known.record(now)
	}
}

// setLimit applies a limit. It reports whether the limit has changed.
func (a *admission) setLimit(now time.Time, limit float64, f fleet) bool {
	// Limits are compared with those in hints, which have the precision of a float32.
	limit = float64(float32(limit))
	a.limitSeen = now
	if a.limited && limit == a.limit {
		return false
	}
	a.moveSlots(now, limit, f)
	a.limited, a.limit = true, limit
	return true
}

// moveSlots sets the phase of the slots when the limit changes. The next slot keeps its
// place in the interval between two slots, so that the VMs stay spread: after a change to
// a lower limit, slots of the higher one would come too soon.
func (a *admission) moveSlots(now time.Time, limit float64, f fleet) {
	interval := f.slotInterval(limit)
	if !a.limited {
		a.known = requestCounter{}
		a.nextSlot = now.Add(time.Duration(f.random() * float64(interval)))
		return
	}
	before := f.slotInterval(a.limit)
	a.expireSlots(now, before)
	ratio := float64(interval) / float64(before)
	switch left := a.nextSlot.Sub(now); {
	case left > 0:
		a.nextSlot = now.Add(time.Duration(float64(left) * ratio))
	case f.random()*ratio > 1:
		// An open slot stays open with the probability that one is open at the lower
		// limit.
		a.nextSlot = now.Add(time.Duration(f.random() * float64(interval)))
	}
}

// endLimit ends the limit, unless it was named just before. It reports whether there was
// one.
func (a *admission) endLimit(now time.Time) bool {
	if !a.limited || now.Sub(a.limitSeen) <= limitReorder {
		return false
	}
	a.limited, a.limit = false, 0
	return true
}
