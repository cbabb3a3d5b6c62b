package edge

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/cuminwing/cuminwing/internal/proxy"
)

const (
	// ExplainPath is the path of the call that explains where a request would go. The front
	// serves it on its metrics port.
	ExplainPath = "/explain-placement"
	// maxExplainBytes and explainReadTime limit the request of such a call.
	maxExplainBytes = 64 << 10
	explainReadTime = 2 * time.Second
	// explainPauseFactor is the least time between two explanations, as a multiple of the time
	// that the first one took: requests are not placed meanwhile, and an explanation among 600
	// modelled engines takes 3 ms. maxExplainPause limits it.
	explainPauseFactor = 9
	maxExplainPause    = time.Second
)

// registerExplain registers the call that explains where a request would go. One at a time is
// answered, with pauses, because requests wait for the placement meanwhile.
func (f *Front) registerExplain(mux *http.ServeMux) {
	turn := make(chan struct{}, 1)
	var next time.Time
	mux.HandleFunc("POST "+ExplainPath, func(w http.ResponseWriter, r *http.Request) {
		select {
		case turn <- struct{}{}:
			defer func() { <-turn }()
		default:
			http.Error(w, "another explanation is in progress", http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Connection", "close")
		// It fails only on a closed connection.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(explainReadTime))
		var q proxy.ExplainRequest
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxExplainBytes)).Decode(&q); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		select {
		case <-time.After(time.Until(next)):
		case <-r.Context().Done():
			return
		}
		began := time.Now()
		report, err := f.handler.Explain(q)
		ended := time.Now()
		next = ended.Add(min(explainPauseFactor*ended.Sub(began), maxExplainPause))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		report.VM, report.Zone = f.settings.VM, f.settings.Zone
		w.Header().Set("Content-Type", "application/json")
		// A write error means that the client has disconnected.
		_ = json.NewEncoder(w).Encode(report)
	})
}
