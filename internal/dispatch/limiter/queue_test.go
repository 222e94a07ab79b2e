package limiter

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/settings/resolver"
)

var epoch = time.Unix(1_000_000, 0)

const (
	low    = messenger.PriorityLow
	normal = messenger.PriorityNormal
	high   = messenger.PriorityHigh
)

func task(id string) messenger.TaskKey {
	return messenger.TaskKey{Submission: messenger.SubmissionKey{Firm: "f", Service: "s", ID: id}}
}

func item(id, team string, p messenger.Priority, enqueued time.Duration, arrival uint64) Item {
	return Item{Task: task(id), Team: team, Priority: p, Enqueued: epoch.Add(enqueued), Arrival: arrival}
}

// Guards against an order other than by priority with ageing, then team share, arrival
// of the job, longest declared run time and task index.
func TestQueueOrder(t *testing.T) {
	second := item("a", "t", normal, 0, 1)
	second.Task.Index = 1
	long := second
	long.Declared = time.Second
	for _, scenario := range []struct {
		name  string
		items []Item
		now   time.Duration
		want  string
	}{
		{"priority before arrival", []Item{item("a", "t", low, 0, 1), item("b", "t", high, 0, 2)}, 0, "b0 a0 "},
		{"arrival of the job", []Item{item("b", "t", normal, 0, 2), item("a", "t", normal, 0, 1)}, 0, "a0 b0 "},
		{"task index", []Item{second, item("a", "t", normal, 0, 1)}, 0, "a0 a1 "},
		{"longest declared of a job", []Item{item("a", "t", normal, 0, 1), long}, 0, "a1 a0 "},
		{"arrival before declared", []Item{long, item("b", "t", normal, 0, 0)}, 0, "b0 a1 "},
		{"priority raised after 10 s", []Item{item("a", "t", low, 0, 1), item("b", "t", normal, 10*time.Second, 2)},
			10 * time.Second, "a0 b0 "},
		{"low behind fresh high before 20 s", []Item{item("a", "t", low, 0, 1), item("b", "t", high, 19*time.Second, 2)},
			20*time.Second - 1, "b0 a0 "},
		{"low before fresh high after 20 s", []Item{item("a", "t", low, 0, 1), item("b", "t", high, 19*time.Second, 2)},
			20 * time.Second, "a0 b0 "},
		{"teams alternate", []Item{item("a", "t", normal, 0, 1), item("b", "t", normal, 0, 2), item("c", "u", normal, 0, 3)},
			0, "a0 c0 b0 "},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			q := NewQueue("f", NewTeams())
			for _, i := range scenario.items {
				q.Push(i.Enqueued, i)
			}
			got := ""
			for q.Len() > 0 {
				peeked, _ := q.Peek(epoch.Add(scenario.now), nil)
				popped, _ := q.Pop(epoch.Add(scenario.now), nil)
				if peeked != popped {
					t.Errorf("Peek returned %v, Pop %v", peeked.Task, popped.Task)
				}
				got += fmt.Sprintf("%s%d ", popped.Task.Submission.ID, popped.Task.Index)
			}
			if got != scenario.want {
				t.Errorf("got %q, want %q", got, scenario.want)
			}
		})
	}
}

// Guards against shares that don't follow the weights, and against a team that
// accumulates credit while it is idle.
func TestQueueSharesFollowWeights(t *testing.T) {
	teams := NewTeams()
	teams.Set("f", "big", resolver.Team{Weight: 3})
	teams.Set("f", "small", resolver.Team{Weight: 1})
	q := NewQueue("f", teams)
	push := func(team string, n int) {
		for i := range n {
			q.Push(epoch, item(fmt.Sprint(team, q.Len(), i), team, normal, 0, uint64(i)))
		}
	}
	count := func(n int) map[string]int {
		got := map[string]int{}
		for range n {
			popped, _ := q.Pop(epoch, nil)
			got[popped.Team]++
		}
		return got
	}
	push("big", 1)
	push("small", 500)
	count(101) // team big is idle after its only task
	push("big", 500)
	if got := count(400); got["big"] < 299 || got["big"] > 301 {
		t.Errorf("tasks per team %v, want 300 of big and 100 of small", got)
	}
}

// Guards against a team that exceeds its limit of running tasks, and against a team at
// its limit that blocks the other teams.
func TestQueuePassesOverTeamAtLimit(t *testing.T) {
	teams := NewTeams()
	teams.Set("f", "t", resolver.Team{Weight: 100, MaxRunningTasks: 1, MaxWaitingTasks: 2})
	q := NewQueue("f", teams)
	q.Push(epoch, item("a", "t", high, 0, 1))
	q.Push(epoch, item("b", "t", high, 0, 2))
	q.Push(epoch, item("c", "u", low, 0, 3))
	if teams.MayWait("f", "t", 1) || !teams.MayWait("f", "u", 1) {
		t.Error("MayWait does not follow the limit of waiting tasks")
	}
	for _, want := range []string{"a", "c"} {
		popped, _ := q.Pop(epoch, nil)
		teams.Started("f", popped.Team)
		if popped.Task.Submission.ID != want {
			t.Errorf("got %v, want %s", popped.Task, want)
		}
	}
	if _, ok := q.Peek(epoch, nil); ok {
		t.Error("Peek returned a task of a team at its limit")
	}
	teams.Ended("f", "t")
	if popped, ok := q.Pop(epoch, nil); !ok || popped.Task.Submission.ID != "b" {
		t.Errorf("got %v, %v", popped.Task, ok)
	}
}

// Guards against heaps that lose, repeat or misorder tasks when many tasks wait, move to
// a higher level and are removed.
func TestQueueWith100000Items(t *testing.T) {
	const n = 100_000
	q := NewQueue("f", NewTeams())
	for i := range n {
		enqueued := time.Duration(i) * 100 * time.Microsecond
		q.Push(epoch.Add(enqueued), item(fmt.Sprint(i), "t", messenger.Priority(i%levels), enqueued, uint64(i)))
	}
	for i := 0; i < n; i += 10 {
		if !q.Remove(task(fmt.Sprint(i))) || q.Remove(task(fmt.Sprint(i))) {
			t.Fatalf("task %d was not removed exactly once", i)
		}
	}
	now := epoch.Add(10 * time.Second)
	var before Item
	for popped := range n - n/10 {
		got, ok := q.Pop(now, nil)
		if !ok {
			t.Fatalf("queue empty after %d tasks", popped)
		}
		a, b := EffectivePriority(now, before), EffectivePriority(now, got)
		if popped > 0 && (b > a || a == b && got.Arrival <= before.Arrival) {
			t.Fatalf("wrong order: %+v after %+v", got, before)
		}
		before = got
	}
	if q.Len() != 0 {
		t.Errorf("%d tasks left in the queue", q.Len())
	}
}

// Guards against a team that starves or exceeds its limit under random sequences of
// calls, and against wrong counts of waiting tasks.
func TestQueueProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		teams := NewTeams()
		names := []string{"t", "u", "v"}
		limits := map[string]int{}
		for _, name := range names {
			limits[name] = rapid.IntRange(0, 3).Draw(t, "limit")
			teams.Set("f", name, resolver.Team{Weight: rapid.IntRange(1, 9).Draw(t, "weight"), MaxRunningTasks: limits[name]})
		}
		q := NewQueue("f", teams)
		now, pushed, running := epoch, 0, map[string]int{}
		waits := map[messenger.TaskKey]Item{}
		started := func(got Item) {
			delete(waits, got.Task)
			running[got.Team]++
			teams.Started("f", got.Team)
			if limits[got.Team] > 0 && running[got.Team] > limits[got.Team] {
				t.Fatalf("team %s exceeds its limit of running tasks", got.Team)
			}
		}
		serve := func() bool {
			got, ok := q.Pop(now, nil)
			if !ok {
				return false
			}
			if waits[got.Task] != got {
				t.Fatalf("Pop returned %+v, pushed was %+v", got, waits[got.Task])
			}
			started(got)
			return true
		}
		end := func(name string) {
			if running[name] > 0 {
				running[name]--
				teams.Ended("f", name)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				pushed++
				p := messenger.Priority(rapid.IntRange(0, 2).Draw(t, "priority"))
				i := item(fmt.Sprint(pushed), rapid.SampledFrom(names).Draw(t, "team"), p, now.Sub(epoch), uint64(pushed))
				q.Push(now, i)
				waits[i.Task] = i
			},
			"pop": func(*rapid.T) { serve() },
			"end": func(t *rapid.T) { end(rapid.SampledFrom(names).Draw(t, "team")) },
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"scan": func(t *rapid.T) {
				q.Scan(now, func(i Item, position int) ScanAction {
					if waits[i.Task] != i || position < 1 {
						t.Fatalf("Scan visited %+v at position %d, pushed was %+v", i, position, waits[i.Task])
					}
					step := rapid.SampledFrom([]ScanAction{Take, Hold, Hold, Stop}).Draw(t, "step")
					if step == Take {
						started(i)
					}
					return step
				})
			},
			"remove": func(t *rapid.T) {
				key := task(fmt.Sprint(rapid.IntRange(0, pushed+1).Draw(t, "id")))
				_, want := waits[key]
				if q.Remove(key) != want {
					t.Fatalf("Remove(%v) did not return %v", key, want)
				}
				delete(waits, key)
			},
			"": func(t *rapid.T) {
				total := 0
				for _, name := range names {
					total += teams.Waiting("f", name)
				}
				if q.Len() != len(waits) || total != len(waits) {
					t.Fatalf("%d tasks in the queue, %d counted for the teams, want %d", q.Len(), total, len(waits))
				}
			},
		})
		for len(waits) > 0 {
			busy := running["t"] + running["u"] + running["v"]
			if !serve() && busy == 0 {
				t.Fatal("tasks wait, but none runs and none may start")
			}
			for _, name := range names {
				end(name)
			}
		}
	})
}

// Guards against retries that exceed their share of the starts, and against tokens that
// accumulate beyond the burst.
func TestBudget(t *testing.T) {
	b := NewBudget(0.1, 2)
	retries := func() (n int) {
		for b.Retry() {
			n++
		}
		return n
	}
	for _, step := range []struct{ starts, want int }{{0, 2}, {9, 0}, {2, 1}, {1000, 2}} {
		for range step.starts {
			b.Started()
		}
		if got := retries(); got != step.want {
			t.Errorf("%d retries after %d starts, want %d", got, step.starts, step.want)
		}
	}
}
