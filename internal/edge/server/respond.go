package server

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/burdockrudder/burdockrudder/internal/edge/guard"
	"github.com/burdockrudder/burdockrudder/internal/edge/translator"
)

// retryAfterSeconds is the Retry-After of responses to retryable refusals. Most causes of
// such refusals, such as a full queue or a lease that is being renewed, end within about
// a second.
const retryAfterSeconds = "1"

func (s *Server) writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(body); err != nil {
		s.Logger.Debug("could not write the HTTP response", zap.Error(err))
	}
}

// writeError responds with the error's status and JSON body. An error without a code is
// logged and not sent to the caller, because its text may disclose internals.
func (s *Server) writeError(w http.ResponseWriter, err error) {
	var fault *translator.Error
	if !errors.As(err, &fault) {
		s.Logger.Error("HTTP request failed, responding with status 500", zap.Error(err))
		fault = newError(translator.CodeInternal, "internal error; see the entry's log")
	}
	if fault.Code.Retryable() {
		w.Header().Set("Retry-After", retryAfterSeconds)
	}
	if fault.Code == translator.CodeUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	s.writeJSON(w, fault.Code.Status(), fault)
}

func newError(code translator.Code, reason string) *translator.Error {
	return &translator.Error{Code: code, Reason: reason}
}

func notFound() error {
	return newError(translator.CodeNotFound, "no such object, or not visible to the key")
}

// readBody reads the whole body, limited to BodyTimeout and maxBodyBytes. It clears the
// read deadline afterwards, because the deadline would otherwise end the wait for the
// outcome of the submission.
func (s *Server) readBody(w http.ResponseWriter, r *request) ([]byte, error) {
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(time.Now().Add(s.BodyTimeout)); err != nil {
		return nil, err
	}
	body, err := guard.ReadBody(w, r.Request, maxBodyBytes)
	var refusal *guard.Refusal
	if errors.As(err, &refusal) {
		return nil, refuse(w, refusal)
	}
	if err != nil {
		return nil, newError(translator.CodeBadRequest, "the body did not arrive completely")
	}
	return body, control.SetReadDeadline(time.Time{})
}

// refuse returns the error for a request that the guard has refused, and that has not been
// passed on.
func refuse(w http.ResponseWriter, refusal *guard.Refusal) error {
	refusal.SetHeader(w.Header())
	if refusal.Status == http.StatusServiceUnavailable {
		return newError(translator.CodeNotRun, refusal.Reason)
	}
	return newError(translator.CodeTooLarge, refusal.Reason)
}
