package targethttp

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"net/url"

	"github.com/cuminwing/cuminwing/internal/target"
)

// AnnouncePath is the path to which targets send their announcements as
// heartbeats.
const AnnouncePath = "/v1/announce"

const maxAnnouncementBytes = 64 << 10

// AnnounceHandler decodes and validates announcements from targets and calls
// accept with each valid one.
func AnnounceHandler(accept func(target.Announcement)) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+AnnouncePath, func(w http.ResponseWriter, r *http.Request) {
		var a target.Announcement
		body := http.MaxBytesReader(w, r.Body, maxAnnouncementBytes)
		if err := json.NewDecoder(body).Decode(&a); err != nil {
			http.Error(w, "decode announcement: "+err.Error(), http.StatusBadRequest)
			return
		}
		if reason := validateAnnouncement(a); reason != "" {
			http.Error(w, reason, http.StatusBadRequest)
			return
		}
		accept(a)
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

func validateAnnouncement(a target.Announcement) string {
	if a.ID == "" || a.Incarnation == 0 || a.Zone == "" {
		return "id, incarnation and zone are required"
	}
	u, err := url.Parse(a.URL)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") {
		return "url must be an http or https URL"
	}
	if _, err := netip.ParseAddrPort(u.Host); err != nil {
		return "url must have an IP address and port, because names are not looked up"
	}
	return ""
}
