package checker

import (
	"fmt"
	"maps"
	"strings"

	"github.com/anishathalye/porcupine"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/coordinator"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/proof/driver"
)

// taskStart is the input of an operation that starts a task at an endpoint.
type taskStart struct {
	task       messenger.TaskKey
	repeatable bool
}

// callInput is the input of a caller's call; the output of the operation is the answer.
type callInput struct {
	key messenger.SubmissionKey
}

// submissionState is the model's state of one submission.
type submissionState struct {
	// started holds the indexes of the tasks that have started.
	started map[int]bool
	// outcome describes the outcome that was sent to callers; it is empty before that.
	outcome string
	// notRun holds the indexes of the tasks that an outcome reported as not run.
	notRun map[int]bool
}

// CheckSubmissions checks the task starts and the answers of a run, per submission:
//   - A task of a submission that is not repeatable starts at most once.
//   - All answers with an outcome contain the same outcome.
//   - No task of a submission has started before a refusal that says that the
//     submission has not run.
//   - A task that an outcome reports as not run has not started, and never starts
//     later.
func CheckSubmissions(w *driver.World) error {
	return check(submissionModel(), submissionHistory(w))
}

func submissionHistory(w *driver.World) []porcupine.Operation {
	calls := make(map[coordinator.CallID]driver.CallerCall)
	repeatable := make(map[messenger.SubmissionKey]bool)
	for _, call := range w.Calls {
		calls[call.Call] = call
		if submitted, ok := call.Event.(coordinator.Submitted); ok {
			repeatable[submitted.Submission.Key] = submitted.Submission.Repeatable
		}
	}
	var operations []porcupine.Operation
	for _, start := range w.Starts {
		operations = append(operations, porcupine.Operation{
			Input: taskStart{task: start.Task, repeatable: repeatable[start.Task.Submission]},
			Call:  int64(start.At), Return: int64(start.At),
		})
	}
	for _, answer := range w.Answers {
		key, ok := keyOfCall(calls[answer.Call])
		if ok {
			operations = append(operations, porcupine.Operation{
				Input: callInput{key: key}, Output: answer.Answer,
				Call: int64(calls[answer.Call].At), Return: int64(answer.At),
			})
		}
	}
	return operations
}

func keyOfCall(call driver.CallerCall) (messenger.SubmissionKey, bool) {
	switch event := call.Event.(type) {
	case coordinator.Submitted:
		return event.Submission.Key, true
	case coordinator.Queried:
		return event.Key, true
	default:
		return messenger.SubmissionKey{}, false
	}
}

func submissionModel() porcupine.Model {
	return porcupine.Model{
		Partition: bySubmission,
		Init:      func() any { return submissionState{} },
		Step: func(state, input, output any) (bool, any) {
			s := state.(submissionState)
			if start, ok := input.(taskStart); ok {
				return s.start(start)
			}
			return s.answer(output.(coordinator.Answer))
		},
		Equal: func(a, b any) bool {
			x, y := a.(submissionState), b.(submissionState)
			return x.outcome == y.outcome && maps.Equal(x.started, y.started) && maps.Equal(x.notRun, y.notRun)
		},
		DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v %+v", input, output) },
	}
}

func bySubmission(history []porcupine.Operation) [][]porcupine.Operation {
	partitionIndex := make(map[messenger.SubmissionKey]int)
	var partitions [][]porcupine.Operation
	for _, op := range history {
		key := keyOfInput(op.Input)
		i, known := partitionIndex[key]
		if !known {
			i = len(partitions)
			partitionIndex[key] = i
			partitions = append(partitions, nil)
		}
		partitions[i] = append(partitions[i], op)
	}
	return partitions
}

func keyOfInput(input any) messenger.SubmissionKey {
	if start, ok := input.(taskStart); ok {
		return start.task.Submission
	}
	return input.(callInput).key
}

func (s submissionState) start(start taskStart) (bool, any) {
	index := start.task.Index
	if s.notRun[index] || (s.started[index] && !start.repeatable) {
		return false, s
	}
	s.started = withIndex(s.started, index)
	return true, s
}

func withIndex(set map[int]bool, index int) map[int]bool {
	grown := make(map[int]bool, len(set)+1)
	maps.Copy(grown, set)
	grown[index] = true
	return grown
}

func (s submissionState) answer(answer coordinator.Answer) (bool, any) {
	switch a := answer.(type) {
	case coordinator.OutcomeAnswer:
		return s.answerOutcome(a.Outcome)
	case coordinator.RefusalAnswer:
		switch a.Refusal.Code {
		case messenger.CodeNotRun, messenger.CodeNeverRunnable, messenger.CodeQuota:
			return len(s.started) == 0, s
		default:
			return true, s
		}
	default:
		return true, s
	}
}

func (s submissionState) answerOutcome(outcome messenger.Outcome) (bool, any) {
	text := describeOutcome(outcome)
	if s.outcome != "" {
		return s.outcome == text, s
	}
	for i, task := range outcome.Tasks {
		switch task.State {
		case messenger.TaskNotRun:
			if s.started[i] {
				return false, s
			}
			s.notRun = withIndex(s.notRun, i)
		case messenger.TaskSucceeded, messenger.TaskFailed, messenger.TaskInterrupted:
			if !s.started[i] {
				return false, s
			}
		case messenger.TaskMayHaveRun:
		}
	}
	s.outcome = text
	return true, s
}

// describeOutcome returns a text that is equal for two outcomes if they do not differ in
// anything that a caller can see.
func describeOutcome(outcome messenger.Outcome) string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s", outcome.Status, outcome.Reason)
	for _, task := range outcome.Tasks {
		fmt.Fprintf(&text, " %s %q %s", task.State, task.Result, task.Reason)
	}
	return text.String()
}
