package messenger

import "fmt"

// Incarnation identifies one run of a process. It consists of the process name and a
// random suffix generated at start, so a restarted process has a new incarnation.
type Incarnation string

// SubmissionKey identifies a submission. IDs are unique per firm and service.
type SubmissionKey struct {
	Firm    string `json:"firm"`
	Service string `json:"service"`
	ID      string `json:"id"`
}

// String returns the key as firm/service/id.
func (k SubmissionKey) String() string {
	return k.Firm + "/" + k.Service + "/" + k.ID
}

// TaskKey identifies one task of a submission.
type TaskKey struct {
	Submission SubmissionKey `json:"submission"`
	Index      int           `json:"index"`
}

// String returns the key as firm/service/id#index.
func (k TaskKey) String() string {
	return fmt.Sprintf("%s#%d", k.Submission, k.Index)
}
