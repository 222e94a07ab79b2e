package translator

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"regexp"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/settings/resolver"
)

var idPattern = regexp.MustCompile(`^[A-Za-z0-9._~-]{1,128}$`)

// ValidID reports whether id is a valid submission id. "." and ".." are excluded because
// URL path cleaning removes them.
func ValidID(id string) bool {
	return idPattern.MatchString(id) && id != "." && id != ".."
}

// ValidPrefix reports whether prefix is a valid prefix for cancelling submissions.
func ValidPrefix(prefix string) bool { return idPattern.MatchString(prefix) }

// DecodedSubmission is a decoded submission body. The caller of DecodeSubmission sets the
// fields of the submission that come from the URL path and the API key.
type DecodedSubmission struct {
	Submission messenger.Submission
	Wait       bool
}

// DecodeSubmission decodes the body of a job or a request and computes its digest. It
// returns errors of type *Error that name the field and the offset.
func DecodeSubmission(kind messenger.Kind, body []byte) (DecodedSubmission, error) {
	decoded := DecodedSubmission{Wait: true}
	decoded.Submission.Kind = kind
	decoded.Submission.Priority = messenger.PriorityNormal
	w, err := newWalker(body)
	if err != nil {
		return DecodedSubmission{}, err
	}
	if kind == messenger.KindRequest {
		err = w.request(&decoded)
	} else {
		err = w.job(&decoded)
	}
	if err != nil {
		return DecodedSubmission{}, err
	}
	decoded.Submission.Digest, err = digest(decoded.Submission)
	return decoded, err
}

// DecodeCancelPrefix decodes the body of a cancellation by prefix.
func DecodeCancelPrefix(body []byte) (CancelPrefix, error) {
	var decoded CancelPrefix
	err := decodeField(body, "prefix", &decoded.Prefix)
	if err == nil && !ValidPrefix(decoded.Prefix) {
		err = badRequest("prefix", 0, "must be 1 to 128 of A-Z a-z 0-9 . _ ~ -")
	}
	return decoded, err
}

// MaxTickets is the maximum number of tickets in one response. It limits the size of the
// response; a caller that needs more tickets sends further requests.
const MaxTickets = 10_000

// DecodeTicketCount decodes the body of a request for tickets.
func DecodeTicketCount(body []byte) (TicketCount, error) {
	var decoded TicketCount
	err := decodeField(body, "count", &decoded.Count)
	if err == nil && (decoded.Count < 1 || decoded.Count > MaxTickets) {
		err = badRequest("count", 0, fmt.Sprintf("must be 1 to %d", MaxTickets))
	}
	return decoded, err
}

// DecodeDomainChange decodes the body of a take-out or a bring-back.
func DecodeDomainChange(body []byte) (DomainChange, error) {
	var decoded DomainChange
	err := decodeField(body, "reason", &decoded.Reason)
	if err == nil && !ValidReason(decoded.Reason) {
		err = badRequest("reason", 0, "must be 1 to 1024 bytes, not only white space")
	}
	return decoded, err
}

// ValidReason reports whether reason is a valid reason for a settings change.
func ValidReason(reason string) bool {
	return len(reason) <= 1024 && strings.TrimSpace(reason) != ""
}

// decodeField decodes a body with a single field.
func decodeField(body []byte, name string, target any) error {
	w, err := newWalker(body)
	if err != nil {
		return err
	}
	return w.object("", func(key, path string) error {
		if key != name {
			return w.unknownField(path)
		}
		return w.value(path, target)
	})
}

// walker decodes a body field by field. It rejects unknown fields, repeated fields and
// field names in another letter case, and reports their position. encoding/json alone
// accepts repeated fields and names in another letter case, and has no position for
// unknown fields.
type walker struct {
	decoder *json.Decoder
}

func newWalker(body []byte) (*walker, error) {
	if !utf8.Valid(body) {
		return nil, badRequest("", 0, "the body is not valid UTF-8")
	}
	var raw json.RawMessage
	if err := json.Unmarshal(body, &raw); err != nil {
		var syntax *json.SyntaxError
		if errors.As(err, &syntax) {
			return nil, badRequest("", syntax.Offset, "bad JSON: "+syntax.Error())
		}
		return nil, badRequest("", 0, "bad JSON: "+err.Error())
	}
	return &walker{decoder: json.NewDecoder(bytes.NewReader(body))}, nil
}

func badRequest(field string, offset int64, reason string) *Error {
	return &Error{Code: CodeBadRequest, Reason: reason, Field: field, Offset: &offset}
}

func (w *walker) badRequestAt(path, reason string) error {
	return badRequest(path, w.decoder.InputOffset(), reason)
}

func (w *walker) unknownField(path string) error { return w.badRequestAt(path, "unknown field") }

func (w *walker) open(path string, delim json.Delim, kind string) error {
	token, err := w.decoder.Token()
	if err != nil {
		return w.badRequestAt(path, "bad JSON: "+err.Error())
	}
	if token != delim {
		return w.badRequestAt(path, "must be "+kind)
	}
	return nil
}

func (w *walker) close(path string) error {
	if _, err := w.decoder.Token(); err != nil {
		return w.badRequestAt(path, "bad JSON: "+err.Error())
	}
	return nil
}

func (w *walker) object(path string, field func(key, path string) error) error {
	if err := w.open(path, '{', "an object"); err != nil {
		return err
	}
	seen := make(map[string]bool)
	for w.decoder.More() {
		token, err := w.decoder.Token()
		if err != nil {
			return w.badRequestAt(path, "bad JSON: "+err.Error())
		}
		key, _ := token.(string)
		fieldPath := strings.TrimPrefix(path+"."+key, ".")
		if seen[key] {
			return w.badRequestAt(fieldPath, "repeated field")
		}
		seen[key] = true
		if err := field(key, fieldPath); err != nil {
			return err
		}
	}
	return w.close(path)
}

func (w *walker) value(path string, target any) error {
	offset := w.decoder.InputOffset()
	var raw json.RawMessage
	if err := w.decoder.Decode(&raw); err != nil {
		return badRequest(path, offset, "bad JSON: "+err.Error())
	}
	if string(raw) == "null" {
		return badRequest(path, offset, "must not be null")
	}
	if err := json.Unmarshal(raw, target); err != nil {
		return badRequest(path, offset, typeReason(err))
	}
	return nil
}

func typeReason(err error) string {
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) {
		return fmt.Sprintf("wrong type: %s, want %s", wrong.Value, wrong.Type)
	}
	return err.Error()
}

func (w *walker) duration(path string, target *time.Duration) error {
	var parsed resolver.Duration
	if err := w.value(path, &parsed); err != nil {
		return err
	}
	if parsed <= 0 {
		return w.badRequestAt(path, "must be positive")
	}
	*target = time.Duration(parsed)
	return nil
}

func (w *walker) job(d *DecodedSubmission) error {
	err := w.object("", func(key, path string) error {
		if key == "tasks" {
			return w.tasks(path, &d.Submission.Tasks)
		}
		return w.option(key, path, d)
	})
	if err == nil && len(d.Submission.Tasks) == 0 {
		return w.badRequestAt("tasks", "at least one task is required")
	}
	return err
}

func (w *walker) request(d *DecodedSubmission) error {
	var task messenger.TaskSpec
	err := w.object("", func(key, path string) error {
		switch key {
		case "payload", "labels", "declared_run_time":
			return w.taskField(key, path, &task)
		case "repeatable":
			return w.value(path, &d.Submission.Repeatable)
		default:
			return w.option(key, path, d)
		}
	})
	if err == nil && task.Payload == nil {
		return w.badRequestAt("payload", "is required")
	}
	d.Submission.Tasks = []messenger.TaskSpec{task}
	return err
}

func (w *walker) option(key, path string, d *DecodedSubmission) error {
	switch key {
	case "id":
		return w.id(path, &d.Submission.Key.ID)
	case "deadline":
		return w.duration(path, &d.Submission.Deadline)
	case "priority":
		return w.priority(path, &d.Submission.Priority)
	case "wait":
		return w.value(path, &d.Wait)
	default:
		return w.unknownField(path)
	}
}

func (w *walker) id(path string, target *string) error {
	if err := w.value(path, target); err != nil {
		return err
	}
	if !ValidID(*target) {
		return w.badRequestAt(path, "must be 1 to 128 of A-Z a-z 0-9 . _ ~ - and not . or ..")
	}
	return nil
}

var priorities = map[string]messenger.Priority{
	"low":    messenger.PriorityLow,
	"normal": messenger.PriorityNormal,
	"high":   messenger.PriorityHigh,
}

func (w *walker) priority(path string, target *messenger.Priority) error {
	var name string
	if err := w.value(path, &name); err != nil {
		return err
	}
	priority, ok := priorities[name]
	if !ok {
		return w.badRequestAt(path, "must be high, normal or low")
	}
	*target = priority
	return nil
}

func (w *walker) tasks(path string, target *[]messenger.TaskSpec) error {
	if err := w.open(path, '[', "an array"); err != nil {
		return err
	}
	for w.decoder.More() {
		if len(*target) == messenger.MaxTasks {
			// No settings allow more. The rest is not decoded: a body of many small tasks
			// takes 260 times its size.
			reason := fmt.Sprintf("more than %d tasks", messenger.MaxTasks)
			return &Error{Code: CodeNeverRunnable, Reason: reason, Field: path}
		}
		taskPath := fmt.Sprintf("%s[%d]", path, len(*target))
		var task messenger.TaskSpec
		err := w.object(taskPath, func(key, path string) error {
			return w.taskField(key, path, &task)
		})
		if err != nil {
			return err
		}
		if task.Payload == nil {
			return w.badRequestAt(taskPath+".payload", "is required")
		}
		*target = append(*target, task)
	}
	return w.close(path)
}

func (w *walker) taskField(key, path string, task *messenger.TaskSpec) error {
	switch key {
	case "payload":
		var raw json.RawMessage
		if err := w.decoder.Decode(&raw); err != nil {
			return w.badRequestAt(path, "bad JSON: "+err.Error())
		}
		task.Payload = raw
		return nil
	case "labels":
		return w.value(path, &task.Labels)
	case "declared_run_time":
		return w.duration(path, &task.DeclaredRunTime)
	default:
		return w.unknownField(path)
	}
}
