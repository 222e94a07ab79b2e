package limiter

import (
	"fmt"
	"testing"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/settings/resolver"
)

// visits scans q and returns the tasks visited with their positions. The visitor returns
// Take for the tasks named in take, and Hold for all others.
func visits(q *Queue, now time.Time, take ...string) string {
	got := ""
	q.Scan(now, func(i Item, position int) ScanAction {
		got += fmt.Sprintf("%s@%d ", i.Task.Submission.ID, position)
		for _, id := range take {
			if id == i.Task.Submission.ID {
				return Take
			}
		}
		return Hold
	})
	return got
}

// Guards against a held task that prevents others from using free slots, that loses its
// position, or that precedes a task of higher priority.
func TestScanPassesOverHeldTasks(t *testing.T) {
	q := NewQueue("f", NewTeams())
	for i, id := range []string{"a", "b", "c"} {
		q.Push(epoch, item(id, "t", normal, 0, uint64(i)))
	}
	expect := func(got, want string) {
		t.Helper()
		if got != want {
			t.Errorf("visited %s, want %s", got, want)
		}
	}
	expect(visits(q, epoch, "b"), "a@1 b@2 c@2 ")
	q.Push(epoch, item("d", "t", high, 0, 9))
	expect(visits(q, epoch), "a@1 c@2 d@1 ")
	expect(visits(q, epoch, "a"), "d@1 a@2 c@2 ")
	if first, _ := q.Peek(epoch, nil); first.Task != task("d") {
		t.Errorf("Peek returned %v, want the first held task", first.Task)
	}
	if !q.Remove(task("d")) || q.Len() != 1 {
		t.Errorf("held task not removed, %d tasks in the queue", q.Len())
	}
	expect(visits(q, epoch, "c"), "c@1 ")
	q.Scan(epoch, func(Item, int) ScanAction { t.Error("visited an empty queue"); return Stop })
}

// Guards against charging a team twice, or not at all, for tasks that are held back
// before they are sent.
func TestScanChargesHeldTasksOnce(t *testing.T) {
	q := NewQueue("f", NewTeams())
	for i := range 200 {
		q.Push(epoch, item(fmt.Sprint("t", i), "t", normal, 0, uint64(i)))
		q.Push(epoch, item(fmt.Sprint("u", i), "u", normal, 0, uint64(i)))
	}
	taken := map[string]int{}
	held := map[Item]bool{}
	for taken["t"]+taken["u"] < 200 {
		slots := 10
		q.Scan(epoch, func(i Item, _ int) ScanAction {
			if i.Team == "t" && !held[i] {
				held[i] = true
				return Hold
			}
			if slots == 0 {
				return Stop
			}
			slots--
			taken[i.Team]++
			return Take
		})
		if popped, ok := q.Pop(epoch, nil); ok {
			taken[popped.Team]++
		}
	}
	// The teams may differ by the number of tasks that one scan holds back.
	if difference := taken["t"] - taken["u"]; difference < -maxHeldPerScan || difference > maxHeldPerScan {
		t.Errorf("tasks taken per team %v, want equal shares", taken)
	}
}

// Guards against held tasks of a team at its limit that prevent other teams' held tasks
// from using the fast endpoint.
func TestScanPassesOverHeldTasksOfTeamAtLimit(t *testing.T) {
	teams := NewTeams()
	q := NewQueue("f", teams)
	for i := range 2 * maxHeldPerScan {
		q.Push(epoch, item(fmt.Sprint("full", i), "t", high, 0, uint64(i)))
	}
	for range 2 {
		visits(q, epoch)
	}
	q.Push(epoch, item("u", "u", low, 0, 99))
	visits(q, epoch)
	teams.Set("f", "t", resolver.Team{MaxRunningTasks: 1})
	teams.Started("f", "t")
	if got, want := visits(q, epoch), fmt.Sprintf("u@%d ", 2*maxHeldPerScan+1); got != want {
		t.Errorf("visited %s, want %s", got, want)
	}
}

// Guards against a cost per event that grows with the number of waiting or held tasks,
// and against a held task that is never visited again.
func TestScanIsBounded(t *testing.T) {
	const n = 3 * maxHeld
	q := NewQueue("f", NewTeams())
	for i := range n {
		q.Push(epoch, item(fmt.Sprint(i), "t", normal, 0, uint64(i)))
	}
	seen := map[string]bool{}
	for range 2 * maxHeld {
		count := 0
		q.Scan(epoch, func(i Item, _ int) ScanAction {
			count++
			seen[i.Task.Submission.ID] = true
			return Hold
		})
		if count > 2*maxHeldPerScan+1 {
			t.Fatalf("one scan visited %d tasks", count)
		}
	}
	if len(q.held) != maxHeld {
		t.Errorf("%d tasks held, want maxHeld", len(q.held))
	}
	clear(seen)
	for range maxHeld {
		visits := func(i Item, _ int) ScanAction { seen[i.Task.Submission.ID] = true; return Hold }
		q.Scan(epoch, visits)
	}
	for _, e := range q.held {
		if !seen[e.Task.Submission.ID] {
			t.Errorf("held task %s was not visited", e.Task.Submission.ID)
		}
	}
}
