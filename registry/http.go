package registry

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"

	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/types"
	"mangohill.example/mangohill/workerapi"
)

const (
	// maxAnnouncementBytes limits the body of an announcement.
	maxAnnouncementBytes = 16 << 10
	maxNameBytes         = 128
	maxSlots             = 1 << 16 // per target
	// retrySeconds is the Retry-After value when a peer did not confirm an
	// announcement.
	retrySeconds = "1"
)

// Handler returns the handler of /v1/targets/{target}.
func (r *Registry) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/targets/{target}", r.servePut)
	mux.HandleFunc("DELETE /v1/targets/{target}", r.serveDelete)
	mux.HandleFunc("/v1/targets/{target}", serveOther)
	return mux
}

func serveOther(w http.ResponseWriter, req *http.Request) {
	w.Header().Set("Allow", "PUT, DELETE")
	kind.WriteProblem(w, kind.Errorf(kind.MethodNotAllowed, "method %s is not allowed for a target", req.Method))
}

func (r *Registry) servePut(w http.ResponseWriter, req *http.Request) {
	t, err := readAnnouncement(w, req)
	if err == nil {
		err = r.Announce(req.Context(), t)
	}
	if err != nil {
		writeError(w, err)
		return
	}
	body, err := json.Marshal(workerapi.AnnouncementResponse{AnnounceWithinMs: r.options.AnnounceInterval.Milliseconds()})
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body) // The target repeats an unanswered announcement.
}

func (r *Registry) serveDelete(w http.ResponseWriter, req *http.Request) {
	text := req.URL.Query().Get("incarnation")
	incarnation, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		writeError(w, kind.Errorf(kind.BadRequest, "incarnation %q is not a number", text))
		return
	}
	if err := r.Withdraw(req.Context(), req.PathValue("target"), incarnation); err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func readAnnouncement(w http.ResponseWriter, req *http.Request) (types.Target, error) {
	var a workerapi.Announcement
	body := http.MaxBytesReader(w, req.Body, maxAnnouncementBytes)
	if err := json.NewDecoder(body).Decode(&a); err != nil {
		return types.Target{}, kind.Errorf(kind.BadRequest, "announcement: %w", err)
	}
	t := types.Target{
		Name: req.PathValue("target"), Service: a.Service, Address: a.Address, FailureDomain: a.FailureDomain,
		Incarnation: a.Incarnation, Slots: a.Slots, Connections: a.Connections,
		State: types.TargetState(a.State), InFlight: a.InFlight,
	}
	return t, checkAnnouncement(t)
}

func checkAnnouncement(t types.Target) error {
	if t.Name == "" || len(t.Name) > maxNameBytes {
		return kind.Errorf(kind.BadRequest, "target name of %d bytes; 1 to %d are allowed", len(t.Name), maxNameBytes)
	}
	if t.Service == "" || len(t.Service) > maxNameBytes {
		return kind.Errorf(kind.BadRequest, "target %q: service name of %d bytes; 1 to %d are allowed", t.Name, len(t.Service), maxNameBytes)
	}
	if host, port, err := net.SplitHostPort(t.Address); err != nil || net.ParseIP(host) == nil || port == "" {
		return kind.Errorf(kind.BadRequest, "target %q: address %q is not IP:port", t.Name, t.Address)
	}
	if t.State != types.TargetReady && t.State != types.TargetLeaving {
		return kind.Errorf(kind.BadRequest, "target %q: state %q is neither ready nor leaving", t.Name, t.State)
	}
	if t.Slots < 1 || t.Slots > maxSlots || t.Connections < 0 || t.InFlight < 0 {
		return kind.Errorf(kind.BadRequest, "target %q: slots %d, connections %d or in_flight %d is out of range", t.Name, t.Slots, t.Connections, t.InFlight)
	}
	return nil
}

func writeError(w http.ResponseWriter, err error) {
	if kind.Of(err).Answer().Status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retrySeconds)
	}
	kind.WriteProblem(w, err)
}
