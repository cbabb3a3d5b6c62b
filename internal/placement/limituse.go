package placement

import "time"

// A limit counts requests, whatever their size. While targets of a service have limits,
// the largest requests use them, because each of those relieves the other targets most,
// which have to serve everything else.

// sizeSamples is the number of latest requests from which it is derived which sizes use
// the limits.
const sizeSamples = 64

// sizeSample is the prompt size of a request.
type sizeSample struct {
	at     time.Time
	tokens int
}

// requestSizes are the sizes of the latest requests of a service.
type requestSizes struct {
	samples [sizeSamples]sizeSample
	count   int
}

func (r *requestSizes) record(now time.Time, tokens int) {
	r.samples[r.count%sizeSamples] = sizeSample{now, tokens}
	r.count++
}

// isAmongLargest reports whether a request with the given number of tokens is among the
// largest ones, which arrive at the given rate per second. Of requests of one size, of
// which only a part can be among them, it selects that part by a random number from 0 to
// 1.
func (r *requestSizes) isAmongLargest(now time.Time, tokens int, perSecond, random float64) bool {
	oldest := now
	larger, equal := 0.0, 0.0
	for _, s := range r.samples[:min(r.count, sizeSamples)] {
		if s.at.Before(oldest) {
			oldest = s.at
		}
		switch {
		case s.tokens > tokens:
			larger++
		case s.tokens == tokens:
			equal++
		}
	}
	room := perSecond*now.Sub(oldest).Seconds() - larger
	return room > 0 && random*equal < room
}

// limitUse tells how a request may use targets with limits.
type limitUse struct {
	// scarce is set if targets of the service have limits and others have none.
	scarce bool
	// preferred is set if the request is large enough to use up a limit.
	preferred bool
}

// limitUseFor returns how a request with the given number of tokens may use targets with
// limits. Each VM counts on an equal share of the limits.
func (p *Placer) limitUseFor(s *service, now time.Time, tokens int) limitUse {
	perSecond := 0.0
	limited, unlimited := false, false
	for _, m := range s.members {
		switch {
		case m.Excluded || m.down:
		case m.admission.limited:
			limited = true
			perSecond += m.admission.limit / float64(p.fleet().fronts)
		default:
			unlimited = true
		}
	}
	if !limited || !unlimited {
		return limitUse{preferred: true}
	}
	return limitUse{scarce: true, preferred: s.sizes.isAmongLargest(now, tokens, perSecond, p.draw())}
}

// allows reports whether the request may use m. Small requests use the limit of m only
// while the large ones leave enough of it.
func (u limitUse) allows(m *member, now time.Time, f fleet) bool {
	return u.preferred || !m.admission.limited || m.admission.isIdle(now, f)
}

// delayToOthers returns the time in milliseconds by which work of a request at m delays
// the requests that cannot use targets with limits.
func (u limitUse) delayToOthers(m *member, workMS float64) float64 {
	if u.scarce && u.preferred && !m.admission.limited {
		return workMS
	}
	return 0
}
