package standin

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// AdmissionOptions configures how an engine keeps requests away. Its connections stay
// open. The zero value accepts all requests.
type AdmissionOptions struct {
	// RefuseChance is the probability that a request is refused with status 503,
	// without running.
	RefuseChance float64
	// PauseChance is the probability that a refusal asks for a pause. Refusals of
	// requests that are in flight at the same time ask for pauses that overlap.
	PauseChance float64
	// MinPause and MaxPause bound the pause that a refusal asks for.
	MinPause, MaxPause time.Duration
	// LeaveChance is the probability that the engine begins to leave with a refusal.
	LeaveChance float64
	// LeavingHeader is the header that all responses of an engine that leaves have, and
	// NotRunHeader that of refusals, whose request has not run. They are left out if empty.
	LeavingHeader, NotRunHeader string
}

const headerRetryAfter = "Retry-After"

func setIfNamed(h http.Header, name string) {
	if name != "" {
		h.Set(name, "1")
	}
}

// writeAdmission writes what the engine says about the requests that it accepts, and
// reports whether it has refused the request.
func (o *AdmissionOptions) writeAdmission(w http.ResponseWriter, leaving *atomic.Bool) (refused bool) {
	refused = rand.Float64() < o.RefuseChance
	if refused && rand.Float64() < o.LeaveChance {
		leaving.Store(true)
	}
	h := w.Header()
	if leaving.Load() {
		setIfNamed(h, o.LeavingHeader)
	}
	if !refused {
		return false
	}
	if rand.Float64() < o.PauseChance {
		h.Set(headerRetryAfter, strconv.FormatFloat(o.pause().Seconds(), 'f', -1, 64))
	}
	setIfNamed(h, o.NotRunHeader)
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// pause returns a random pause between MinPause and MaxPause.
func (o *AdmissionOptions) pause() time.Duration {
	return o.MinPause + time.Duration(rand.Float64()*float64(max(o.MaxPause-o.MinPause, 0)))
}
