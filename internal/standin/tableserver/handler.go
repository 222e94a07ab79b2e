package tableserver

import (
	"encoding/json"
	"errors"
	"net/http"

	"github.com/burdockrudder/burdockrudder/internal/storage/storer"
)

// PathFaults is the path at which a PUT of Faults replaces the injected faults.
const PathFaults = "/v1/faults"

var errReplyLost = errors.New("reply lost after the write took effect")

// Handler serves the table protocol of docs/platform.md, and PathFaults.
func (t *Table) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+storer.PathRead, t.serveRead)
	mux.HandleFunc("POST "+storer.PathScan, t.serveScan)
	mux.HandleFunc("POST "+storer.PathWrite, t.serveWrite)
	mux.HandleFunc("PUT "+PathFaults, t.serveFaults)
	return mux
}

func (t *Table) serveRead(w http.ResponseWriter, r *http.Request) {
	var request storer.ReadRequest
	if !decode(w, r, &request) {
		return
	}
	rows, err := t.Read(r.Context(), request.Keys)
	respond(w, storer.RowsReply{Rows: rows}, err)
}

func (t *Table) serveScan(w http.ResponseWriter, r *http.Request) {
	var request storer.ScanRequest
	if !decode(w, r, &request) {
		return
	}
	rows, err := t.Scan(r.Context(), request.Prefix)
	respond(w, storer.RowsReply{Rows: rows}, err)
}

func (t *Table) serveWrite(w http.ResponseWriter, r *http.Request) {
	var request storer.WriteRequest
	if !decode(w, r, &request) {
		return
	}
	results, err := t.Write(r.Context(), request.Puts, request.Atomic)
	respond(w, storer.WriteReply{Results: results}, err)
}

func (t *Table) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if !decode(w, r, &faults) {
		return
	}
	t.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}

func decode(w http.ResponseWriter, r *http.Request, request any) bool {
	body := http.MaxBytesReader(w, r.Body, storer.MaxBodyBytes)
	err := json.NewDecoder(body).Decode(request)
	if err == nil {
		return true
	}
	status := http.StatusBadRequest
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		status = http.StatusRequestEntityTooLarge
	}
	reply(w, status, storer.ErrorReply{Error: err.Error()})
	return false
}

func respond(w http.ResponseWriter, body any, err error) {
	switch {
	case err == nil:
		reply(w, http.StatusOK, body)
	case errors.Is(err, errReplyLost):
		// Aborting the handler closes the connection without an answer.
		panic(http.ErrAbortHandler)
	case errors.Is(err, storer.ErrUnavailable):
		reply(w, http.StatusServiceUnavailable, storer.ErrorReply{Error: err.Error()})
	default:
		reply(w, http.StatusBadRequest, storer.ErrorReply{Error: err.Error()})
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write fails only if the client has disconnected; there is nobody to report
	// the error to.
	_ = json.NewEncoder(w).Encode(body)
}
