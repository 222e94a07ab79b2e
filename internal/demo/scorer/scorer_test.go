package scorer

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const ms = time.Millisecond

func job(arrival time.Duration, priority int, runTimes ...time.Duration) Job {
	j := Job{Arrival: arrival, Priority: priority}
	for _, r := range runTimes {
		j.Tasks = append(j.Tasks, Task{RunTime: r})
	}
	return j
}

// Guards against an ideal schedule that differs from its definition, which would
// make every response ratio too high or too low.
func TestIdeal(t *testing.T) {
	tests := []struct {
		name  string
		jobs  []Job
		slots []Slot
		want  []time.Duration
	}{
		{
			name:  "one task on the faster slot",
			jobs:  []Job{job(0, 0, 100*ms)},
			slots: []Slot{{Speed: 0.25}, {Speed: 1}},
			want:  []time.Duration{100 * ms},
		},
		{
			name:  "waits for the fast slot rather than start on a slow one",
			jobs:  []Job{job(0, 0, 100*ms, 100*ms)},
			slots: []Slot{{Speed: 0.25}, {Speed: 1}},
			want:  []time.Duration{200 * ms},
		},
		{
			name:  "longest task first",
			jobs:  []Job{job(0, 0, 100*ms, 100*ms, 200*ms)},
			slots: []Slot{{Speed: 1}, {Speed: 1}},
			want:  []time.Duration{200 * ms},
		},
		{
			name:  "high priority starts before waiting tasks",
			jobs:  []Job{job(0, 0, 100*ms, 100*ms), job(10*ms, 2, 50*ms)},
			slots: []Slot{{Speed: 1}},
			want:  []time.Duration{250 * ms, 140 * ms},
		},
		{
			name:  "closed slots start nothing",
			jobs:  []Job{job(0, 0, 100*ms)},
			slots: []Slot{{Speed: 1, Closed: []Window{{From: 0, To: 300 * ms}}}},
			want:  []time.Duration{400 * ms},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := Ideal(test.jobs, test.slots, Delays{})
			if diff := cmp.Diff(test.want, got.Response); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Guards against wasted messages that are counted as necessary.
func TestWastedPerStart(t *testing.T) {
	m := Messages{Starts: 10, Submissions: 1, Work: 44, Other: 1, Store: 4}
	withStore, without := m.WastedPerStart()
	if withStore != 0.7 || without != 0.3 {
		t.Errorf("got %g and %g, want 0.7 and 0.3", withStore, without)
	}
}
