package invoker

import (
	"bytes"
	"encoding/json"
	"net/http"

	"github.com/burdockrudder/burdockrudder/internal/edge/guard"
)

// PathAnnounce is the agent's URL path for announcements by its endpoint.
const PathAnnounce = "/v1/announce"

const maxAnnouncementBytes = 16 << 10

// Announcement is the message that an endpoint sends to its agent every second.
type Announcement struct {
	Service string   `json:"service"`
	Slots   int      `json:"slots"`
	Labels  []string `json:"labels,omitempty"`
}

// Announcer serves announcements. Its fields must be set before the first request.
type Announcer struct {
	OnAnnounce func(service string, slots int, labels []string)
	OnDepart   func()
}

// Handler serves POST and DELETE on PathAnnounce.
func (a *Announcer) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PathAnnounce, a.announce)
	mux.HandleFunc("DELETE "+PathAnnounce, a.depart)
	return mux
}

func (a *Announcer) announce(w http.ResponseWriter, r *http.Request) {
	var announcement Announcement
	body, err := guard.ReadBody(w, r, maxAnnouncementBytes)
	if err != nil {
		respondBadRequest(w, err.Error())
		return
	}
	if _, refusal := guard.CheckBody(r, body); refusal != nil {
		respondBadRequest(w, refusal.Reason)
		return
	}
	if err := json.NewDecoder(bytes.NewReader(body)).Decode(&announcement); err != nil {
		respondBadRequest(w, err.Error())
		return
	}
	if announcement.Service == "" || announcement.Slots < 1 {
		respondBadRequest(w, "service and at least one slot are required")
		return
	}
	a.OnAnnounce(announcement.Service, announcement.Slots, announcement.Labels)
	w.WriteHeader(http.StatusNoContent)
}

func (a *Announcer) depart(w http.ResponseWriter, _ *http.Request) {
	a.OnDepart()
	w.WriteHeader(http.StatusNoContent)
}

func respondBadRequest(w http.ResponseWriter, reason string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusBadRequest)
	// A write fails only if the endpoint has disconnected, so the error is ignored.
	_ = json.NewEncoder(w).Encode(Failure{Error: reason})
}
