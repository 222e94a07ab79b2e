package translator

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// digest returns the hex SHA-256 of the canonical form of a submission. The id, the field
// wait and the defaults from the settings are not part of the canonical form, so that a
// resubmission after a settings change still has the same digest.
func digest(s messenger.Submission) (string, error) {
	s.Key, s.Digest = messenger.SubmissionKey{}, ""
	s.Tasks = slices.Clone(s.Tasks)
	for i, task := range s.Tasks {
		payload, err := canonical(task.Payload)
		if err != nil {
			return "", &Error{Code: CodeBadRequest, Reason: "bad payload: " + err.Error()}
		}
		s.Tasks[i].Payload = payload
		labels := slices.Clone(task.Labels)
		slices.Sort(labels)
		s.Tasks[i].Labels = slices.Compact(labels)
	}
	text, err := json.Marshal(s)
	if err != nil {
		return "", fmt.Errorf("canonical submission: %w", err)
	}
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:]), nil
}

// canonical returns the canonical form of a JSON text: without white space and with the
// fields of objects sorted by name. Repeated fields keep their order, because endpoints
// may differ in which of them they use. The value of a field is replaced by its SHA-256,
// because copying the text at each nesting level would cost the product of size and depth.
func canonical(text []byte) ([]byte, error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	var out bytes.Buffer
	if err := canonicalValue(decoder, &out); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

func canonicalValue(decoder *json.Decoder, out *bytes.Buffer) error {
	token, err := decoder.Token()
	if err != nil {
		return err
	}
	switch token {
	case json.Delim('{'):
		return canonicalObject(decoder, out)
	case json.Delim('['):
		return canonicalArray(decoder, out)
	}
	text, err := json.Marshal(token)
	out.Write(text)
	return err
}

func canonicalArray(decoder *json.Decoder, out *bytes.Buffer) error {
	out.WriteByte('[')
	for decoder.More() {
		if err := canonicalValue(decoder, out); err != nil {
			return err
		}
		out.WriteByte(',')
	}
	out.WriteByte(']')
	_, err := decoder.Token()
	return err
}

func canonicalObject(decoder *json.Decoder, out *bytes.Buffer) error {
	type field struct{ key, sum string }
	var fields []field
	for decoder.More() {
		var key, value bytes.Buffer
		if err := canonicalValue(decoder, &key); err != nil {
			return err
		}
		if err := canonicalValue(decoder, &value); err != nil {
			return err
		}
		sum := sha256.Sum256(value.Bytes())
		fields = append(fields, field{key.String(), string(sum[:])})
	}
	slices.SortStableFunc(fields, func(a, b field) int { return strings.Compare(a.key, b.key) })
	out.WriteByte('{')
	for _, f := range fields {
		out.WriteString(f.key + ":" + f.sum)
	}
	out.WriteByte('}')
	_, err := decoder.Token()
	return err
}
