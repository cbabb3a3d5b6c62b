package edge

import (
	"encoding/json"
	"net/http"
)

// maxPeerRequestBytes limits the body of a request from another VM.
const maxPeerRequestBytes = 1 << 20

// readJSON decodes the body of a request. If that fails, it responds with status
// 400 and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxPeerRequestBytes)).Decode(into)
	if err != nil {
		http.Error(w, "request cannot be decoded: "+err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// Encoding fails only if the client has disconnected.
	_ = json.NewEncoder(w).Encode(value)
}
