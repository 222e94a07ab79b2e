package driver

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/coordinator"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/proof/scripter"
)

// submitLoad submits a job every interval, to the entries in turn. Every third job is
// submitted again to the next entry, up to 3 s later.
func submitLoad(t *testing.T, w *World, step scripter.Step) {
	random := rand.New(rand.NewPCG(w.Seed, 99))
	interval := step.Duration(t, "every", 60*time.Millisecond)
	straggle := step.Float(t, "straggle", 0)
	for i := range step.Int(t, "jobs", 80) {
		id := fmt.Sprintf("%s-%03d", step.Text("id", "job"), i)
		tasks := 1 + random.IntN(step.Int(t, "tasks", 12))
		submission := testSubmission(id, tasks, func() Payload {
			run := 50*time.Millisecond + time.Duration(random.Int64N(int64(950*time.Millisecond)))
			if random.Float64() < straggle {
				run += 6 * time.Second
			}
			return Payload{RunTime: run}
		})
		submission.Repeatable = step.Has("repeatable")
		submission.Deadline = step.Duration(t, "deadline", submission.Deadline)
		if step.Has("misdeclared") {
			misdeclare(submission, random)
		}
		entry := fmt.Sprintf("entry-%d", i%w.Entries+1)
		at := step.At + time.Duration(i)*interval
		w.At(at, func() { w.Submit(entry, submission) })
		if i%3 == 0 {
			again := fmt.Sprintf("entry-%d", (i+1)%w.Entries+1)
			w.At(at+time.Duration(random.Int64N(int64(3*time.Second))), func() { w.Submit(again, submission) })
		}
	}
}

// misdeclare sets declared run times of 500 ms multiplied or divided by a random factor
// of up to 5, whatever the tasks' actual run times are.
func misdeclare(submission messenger.Submission, random *rand.Rand) {
	for i := range submission.Tasks {
		declared := 500 * time.Millisecond * time.Duration(1+random.IntN(5))
		if random.IntN(2) == 0 {
			declared = 500 * time.Millisecond / time.Duration(1+random.IntN(5))
		}
		submission.Tasks[i].DeclaredRunTime = declared
	}
}

func testSubmission(id string, tasks int, payload func() Payload) messenger.Submission {
	submission := messenger.Submission{
		Key:      messenger.SubmissionKey{Firm: firmName, Service: serviceName, ID: id},
		Kind:     messenger.KindJob,
		Deadline: 20 * time.Second,
		Digest:   id,
	}
	for i := range tasks {
		p := payload()
		p.Echo = fmt.Sprintf("%s#%d", id, i)
		text, err := json.Marshal(p)
		if err != nil {
			panic(err)
		}
		submission.Tasks = append(submission.Tasks, messenger.TaskSpec{Payload: text})
	}
	return submission
}

func scriptSubmission(t *testing.T, w *World, step scripter.Step, id string) messenger.Submission {
	run := step.Duration(t, "run", 200*time.Millisecond)
	submission := testSubmission(id, step.Int(t, "tasks", 1), func() Payload {
		return Payload{RunTime: run + time.Duration(w.random.Int64N(int64(run)/4+1)), Fail: step.Has("fail")}
	})
	submission.Repeatable = step.Has("repeatable")
	submission.Deadline = step.Duration(t, "deadline", submission.Deadline)
	if label := step.Text("label", ""); label != "" {
		for i := range submission.Tasks {
			submission.Tasks[i].Labels = []string{label}
		}
	}
	if step.Has("urgent") {
		submission.Priority = messenger.PriorityHigh
	}
	return submission
}

// submitTickets requests ids (tickets) from an entry. At the time "use" it submits a job
// with each id to the entry "via", and submits the job again to the entry "again" if that
// value is set.
func submitTickets(t *testing.T, w *World, step scripter.Step) {
	entry := step.Word(0)
	call := w.Call(entry, func(call coordinator.CallID) coordinator.Event {
		return coordinator.TicketsRequested{
			Call: call, Firm: firmName, Service: serviceName, Count: step.Int(t, "count", 10),
		}
	})
	w.At(step.Duration(t, "use", step.At+time.Second), func() {
		answer, _ := w.Answer(call)
		issued, ok := answer.(coordinator.TicketsAnswer)
		if !ok {
			t.Errorf("line %d: the entry issued no tickets; its answer is %v", step.Line, answer)
			return
		}
		for _, id := range issued.IDs {
			submission := scriptSubmission(t, w, step, id)
			w.Submit(step.Text("via", entry), submission)
			if again := step.Text("again", ""); again != "" {
				w.Submit(again, submission)
			}
		}
	})
}
