package server

import (
	"net/http"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/edge/guard"
	"github.com/burdockrudder/burdockrudder/internal/edge/translator"
)

// Estimates of the memory of a submission.
const (
	// copyCost is the number of copies of a body while it is decoded: the text itself, one
	// to check it, the decoder's buffer with room for twice the text, the payloads, and
	// their canonical form.
	copyCost = 6
	// fieldCost is the memory of a field of an object: the sums and names of the canonical
	// form, or a task of about 150 bytes in a slice with room for twice its elements.
	fieldCost = 384
	// depthCost is the stack that decoding takes for each level of nesting.
	depthCost = 2 << 10
	// taskCost is the memory of a task in the decisions until the answer, without its
	// payload.
	taskCost = 1 << 10
	// settingsValueCost is the memory of one value of a settings text, whose syntax tree
	// keeps its position and the white space around it.
	settingsValueCost = 512
)

// decodeSubmission decodes a submission whose decoded size the guard admits. What the
// tasks take stays reserved until the submission has been answered.
func (s *Server) decodeSubmission(
	w http.ResponseWriter, r *request, kind messenger.Kind, body []byte,
) (translator.DecodedSubmission, error) {
	shape := guard.Measure(body)
	cost := int64(copyCost*len(body) + fieldCost*shape.Fields + depthCost*shape.Depth)
	if refusal := guard.Charge(r.Request, cost); refusal != nil {
		return translator.DecodedSubmission{}, refuse(w, refusal)
	}
	decoded, err := translator.DecodeSubmission(kind, body)
	guard.Release(r.Request, cost)
	if err != nil {
		return decoded, err
	}
	kept := int64(len(body) + taskCost*len(decoded.Submission.Tasks))
	if refusal := guard.Charge(r.Request, kept); refusal != nil {
		return translator.DecodedSubmission{}, refuse(w, refusal)
	}
	return decoded, nil
}

// readSettings reads a settings text whose decoded size the guard admits.
func (s *Server) readSettings(w http.ResponseWriter, r *request) ([]byte, error) {
	body, err := s.readBody(w, r)
	if err != nil {
		return nil, err
	}
	shape := guard.Measure(body)
	cost := int64(copyCost*len(body) + settingsValueCost*(shape.Values+shape.Fields) + depthCost*shape.Depth)
	if refusal := guard.Charge(r.Request, cost); refusal != nil {
		return nil, refuse(w, refusal)
	}
	return body, nil
}
