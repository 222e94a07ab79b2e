package server

import (
	"crypto/rand"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/coordinator"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/edge/guard"
	"github.com/burdockrudder/burdockrudder/internal/edge/translator"
)

func (s *Server) submitJob(w http.ResponseWriter, r *request) error {
	return s.submit(w, r, messenger.KindJob)
}

func (s *Server) submitRequest(w http.ResponseWriter, r *request) error {
	return s.submit(w, r, messenger.KindRequest)
}

func (s *Server) submit(w http.ResponseWriter, r *request, kind messenger.Kind) error {
	body, err := s.readBody(w, r)
	if err != nil {
		return err
	}
	decoded, err := s.decodeSubmission(w, r, kind, body)
	if err != nil {
		return err
	}
	submission := s.completeSubmission(decoded.Submission, r)
	event := func(call coordinator.CallID) coordinator.Event {
		return coordinator.Submitted{Call: call, Submission: submission}
	}
	if !decoded.Wait {
		return s.submitAsync(w, r, submission.Key.ID, event)
	}
	answer, err := s.Dispatcher.Call(r.Context(), event)
	return s.answerOutcome(w, submission.Key.ID, answer, err)
}

// completeSubmission sets the fields of the submission that come from the path and the
// API key, and the defaults of the id and the deadline.
func (s *Server) completeSubmission(submission messenger.Submission, r *request) messenger.Submission {
	submission.Key.Firm = r.PathValue("firm")
	submission.Key.Service = r.PathValue("service")
	submission.Team = r.identity.key.Team
	if submission.Key.ID == "" {
		submission.Key.ID = rand.Text()
	}
	if submission.Deadline == 0 {
		submission.Deadline = s.defaultDeadline(submission.Key)
	}
	return submission
}

// defaultDeadline returns the default deadline of the service, or 0 for an undeclared
// service, whose submissions the coordinator refuses.
func (s *Server) defaultDeadline(key messenger.SubmissionKey) time.Duration {
	tree := s.tree()
	if tree == nil {
		return 0
	}
	resolved, _ := tree.ResolveAdmission(key.Firm, key.Service)
	return time.Duration(resolved.DefaultDeadline)
}

// callResult is the result of a background call to the dispatcher.
type callResult struct {
	answer coordinator.Answer
	err    error
}

// submitAsync passes the submission to the dispatcher and responds with 202, or with the
// dispatcher's answer if that arrives within RefusalWindow: a caller should not get a
// 202 for a submission that is refused at once. The call to the dispatcher outlives the
// HTTP request, so that a disconnect of the caller does not withdraw the submission.
func (s *Server) submitAsync(w http.ResponseWriter, r *request, id string, event func(coordinator.CallID) coordinator.Event) error {
	replies := make(chan callResult, 1)
	release := guard.Detach(r.Request)
	s.background.Go(func() error {
		defer release()
		answer, err := s.Dispatcher.Call(s.callContext, event)
		replies <- callResult{answer, err}
		return nil
	})
	window := time.NewTimer(s.RefusalWindow)
	defer window.Stop()
	select {
	case got := <-replies:
		return s.answerOutcome(w, id, got.answer, got.err)
	case <-window.C:
	case <-r.Context().Done():
	}
	s.writeJSON(w, http.StatusAccepted, inProgress(id, "submitted"))
	return nil
}

func inProgress(id, reason string) translator.Outcome {
	return translator.Outcome{ID: id, Status: translator.StatusInProgress, Reason: reason}
}

func (s *Server) queryJob(w http.ResponseWriter, r *request) error {
	key, err := submissionKey(r)
	if err != nil {
		return err
	}
	wait, err := waitParameter(r)
	if err != nil {
		return err
	}
	answer, err := s.Dispatcher.Call(r.Context(), func(call coordinator.CallID) coordinator.Event {
		return coordinator.Queried{Call: call, Key: key, Wait: wait}
	})
	return s.answerOutcome(w, key.ID, answer, err)
}

// waitParameter reads the query parameter wait. Without a value it means true.
func waitParameter(r *request) (bool, error) {
	query := r.URL.Query()
	if !query.Has("wait") {
		return false, nil
	}
	text := query.Get("wait")
	if text == "" {
		return true, nil
	}
	wait, err := strconv.ParseBool(text)
	if err != nil {
		return false, &translator.Error{Code: translator.CodeBadRequest, Field: "wait", Reason: "must be true or false"}
	}
	return wait, nil
}

func submissionKey(r *request) (messenger.SubmissionKey, error) {
	key := messenger.SubmissionKey{Firm: r.PathValue("firm"), Service: r.PathValue("service"), ID: r.PathValue("id")}
	if !translator.ValidID(key.ID) {
		return key, notFound()
	}
	return key, nil
}

func (s *Server) cancelJob(w http.ResponseWriter, r *request) error {
	key, err := submissionKey(r)
	if err != nil {
		return err
	}
	return s.cancel(w, r, key, false)
}

func (s *Server) cancelPrefix(w http.ResponseWriter, r *request) error {
	body, err := s.readBody(w, r)
	if err != nil {
		return err
	}
	decoded, err := translator.DecodeCancelPrefix(body)
	if err != nil {
		return err
	}
	key := messenger.SubmissionKey{Firm: r.PathValue("firm"), Service: r.PathValue("service"), ID: decoded.Prefix}
	return s.cancel(w, r, key, true)
}

func (s *Server) cancel(w http.ResponseWriter, r *request, key messenger.SubmissionKey, prefix bool) error {
	answer, err := s.Dispatcher.Call(r.Context(), func(call coordinator.CallID) coordinator.Event {
		return coordinator.CancelRequested{Call: call, Key: key, Prefix: prefix}
	})
	if err != nil {
		return s.noAnswer(err)
	}
	switch a := answer.(type) {
	case coordinator.CancelAnswer:
		s.writeJSON(w, http.StatusOK, translator.Cancelled{Cancelled: a.Cancelled})
		return nil
	case coordinator.RefusalAnswer:
		return refusal(a)
	default:
		return fmt.Errorf("cancel %s: unexpected answer %T", key, answer)
	}
}

func (s *Server) tickets(w http.ResponseWriter, r *request) error {
	body, err := s.readBody(w, r)
	if err != nil {
		return err
	}
	decoded, err := translator.DecodeTicketCount(body)
	if err != nil {
		return err
	}
	answer, err := s.Dispatcher.Call(r.Context(), func(call coordinator.CallID) coordinator.Event {
		return coordinator.TicketsRequested{
			Call: call, Firm: r.PathValue("firm"), Service: r.PathValue("service"), Count: decoded.Count,
		}
	})
	if err != nil {
		return s.noAnswer(err)
	}
	switch a := answer.(type) {
	case coordinator.TicketsAnswer:
		s.writeJSON(w, http.StatusOK, translator.Tickets{IDs: a.IDs})
		return nil
	case coordinator.RefusalAnswer:
		return refusal(a)
	default:
		return fmt.Errorf("tickets: unexpected answer %T", answer)
	}
}

func (s *Server) answerOutcome(w http.ResponseWriter, id string, answer coordinator.Answer, err error) error {
	if err != nil {
		return s.noAnswer(err)
	}
	switch a := answer.(type) {
	case coordinator.OutcomeAnswer:
		s.writeJSON(w, http.StatusOK, translator.NewOutcome(a.Outcome))
		return nil
	case coordinator.RefusalAnswer:
		if a.Refusal.Code == messenger.CodeInProgress {
			w.Header().Set("Retry-After", retryAfterSeconds)
			s.writeJSON(w, http.StatusAccepted, inProgress(id, a.Refusal.Reason))
			return nil
		}
		return refusal(a)
	default:
		return fmt.Errorf("submission %s: unexpected answer %T", id, answer)
	}
}

func refusal(a coordinator.RefusalAnswer) error {
	return newError(translator.Code(a.Refusal.Code), a.Refusal.Reason)
}

// noAnswer returns the error for a call that the dispatcher did not answer. That includes
// calls whose caller disconnected, who never receives the response.
func (s *Server) noAnswer(err error) error {
	s.Logger.Debug("dispatcher did not answer the call, responding with no_answer", zap.Error(err))
	return newError(translator.CodeNoAnswer, "the entry gave no answer; the call may have taken effect")
}
