package placer

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/limiter"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// The simulated fleet is the one of the design page: 11 endpoints of 8 slots, whose
// speeds differ by a factor of up to 4. roundTrips is the sum, in seconds, of the client
// and endpoint round trips at Lamis.
const (
	simEndpoints = 11
	simSlots     = 8
	roundTrips   = 0.007
)

func slowOf(e int) float64 { return 1 + 3*float64(e)/(simEndpoints-1) }

type simJob struct {
	at       float64
	priority messenger.Priority
	work     []float64
	declared []float64
	left     int
	finish   float64
	ideal    float64
}

// workload generates random jobs at load 0.7. With bursts, the load is 3 for 2 s of every
// 10 s and 0.125 otherwise, which averages 0.7 too.
func workload(r *rand.Rand, seconds float64, bursts bool) []*simJob {
	capacity := 0.0
	for e := range simEndpoints {
		capacity += simSlots / slowOf(e)
	}
	const meanWork = 0.98*0.317 + 0.02*4 // log-uniform 0.05-1 s, 2% of 2-6 s
	const meanTasks = 8
	var jobs []*simJob
	for at := 0.0; ; {
		load := 0.7
		if bursts {
			load = 0.125
			if math.Mod(at, 10) < 2 {
				load = 3
			}
		}
		// An interval that reaches into the next burst is cut, so that the burst starts
		// on time.
		step := r.ExpFloat64() * meanWork * meanTasks / (capacity * load)
		if bursts && load < 1 && math.Mod(at, 10)+step > 10 {
			at = 10 * math.Ceil(at/10+1e-9)
			continue
		}
		at += step
		if at > seconds {
			return jobs
		}
		jobs = append(jobs, drawJob(r, at, meanTasks))
	}
}

func drawJob(r *rand.Rand, at float64, meanTasks int) *simJob {
	j := &simJob{at: at, priority: []messenger.Priority{0, 1, 1, 1, 2}[r.IntN(5)]}
	n := min(210, 1+int(r.ExpFloat64()*(float64(meanTasks)-0.5)))
	for range n {
		work := 0.05 * math.Pow(20, r.Float64())
		if r.Float64() < 0.02 {
			work = 2 + 4*r.Float64()
		}
		j.work = append(j.work, work)
		j.declared = append(j.declared, work*randomErrorFactor(r))
	}
	j.left = n
	return j
}

// schedule sets the ideal response time of each job. It is that of a scheduler that
// knows all run times and places the tasks in order of arrival, the longest task of a
// job first, each in the slot that finishes it first.
func schedule(jobs []*simJob) {
	var free [simEndpoints * simSlots]float64
	for _, j := range jobs {
		work := slices.Sorted(slices.Values(j.work))
		for _, w := range slices.Backward(work) {
			best, finish := 0, math.Inf(1)
			for s := range free {
				if f := max(free[s], j.at) + w*slowOf(s/simSlots); f < finish {
					best, finish = s, f
				}
			}
			free[best] = finish
			j.ideal = max(j.ideal, finish-j.at)
		}
	}
}

type simTask struct{ job, index int }

type simEvent struct {
	at       float64
	seq      int
	task     simTask
	endpoint int // -1 for the arrival of a job, -2 for a tick
}

type simEvents []simEvent

func (h simEvents) Len() int      { return len(h) }
func (h simEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h simEvents) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}
func (h *simEvents) Push(v any) { *h = append(*h, v.(simEvent)) }
func (h *simEvents) Pop() any {
	last := len(*h) - 1
	v := (*h)[last]
	*h = (*h)[:last]
	return v
}

// placement chooses an endpoint, or returns how the task is to wait.
type placement func(s *simulation, q Query) (int, limiter.ScanAction)

// order returns the rank of a waiting task. The task with the lowest rank starts first.
type order func(s *simulation, t simTask) uint64

type simulation struct {
	jobs    []*simJob
	index   *Index
	queue   *limiter.Queue
	ageing  bool
	inOrder bool
	place   placement
	order   order
	r       *rand.Rand
	events  simEvents
	seq     int
	now     float64
	ticks   bool
}

func (s *simulation) clock() time.Time {
	return epoch.Add(time.Duration(s.now * float64(time.Second)))
}

func (s *simulation) add(at float64, t simTask, endpoint int) {
	s.seq++
	heap.Push(&s.events, simEvent{at, s.seq, t, endpoint})
}

func (s *simulation) run() {
	for i, j := range s.jobs {
		s.add(j.at, simTask{job: i}, -1)
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		switch e.endpoint {
		case -2:
			s.ticks = false
		case -1:
			s.arrive(e.task.job)
		default:
			s.finish(e)
		}
		s.dispatch()
	}
}

func (s *simulation) arrive(job int) {
	j := s.jobs[job]
	for i := range j.work {
		t := simTask{job, i}
		item := limiter.Item{
			Task:     messenger.TaskKey{Submission: messenger.SubmissionKey{ID: fmt.Sprint(job)}, Index: i},
			Arrival:  s.order(s, t),
			Enqueued: s.clock(),
			Declared: seconds(j.declared[i]),
		}
		if s.ageing {
			item.Priority = j.priority
		}
		s.queue.Push(s.clock(), item)
	}
}

func (s *simulation) finish(e simEvent) {
	j := s.jobs[e.task.job]
	s.index.Returned(s.clock(), fmt.Sprint(e.endpoint), TaskResult{
		RunTime:  seconds(j.work[e.task.index] * slowOf(e.endpoint)),
		Declared: seconds(j.declared[e.task.index]),
	})
	j.left--
	j.finish = s.now
}

func (s *simulation) dispatch() {
	if s.inOrder {
		s.dispatchInOrder()
	} else {
		s.queue.Scan(s.clock(), func(item limiter.Item, position int) limiter.ScanAction {
			return s.try(item, position)
		})
	}
	if s.queue.Len() > 0 {
		s.tick()
	}
}

// dispatchInOrder starts tasks in order only: while the first task waits, so do the
// others. The length of the queue is used as the task's wait position, since otherwise
// the queue grows without bound.
func (s *simulation) dispatchInOrder() {
	for {
		item, ok := s.queue.Peek(s.clock(), s.r)
		if !ok || s.try(item, s.queue.Len()) != limiter.Take {
			return
		}
		s.queue.Pop(s.clock(), s.r)
	}
}

func (s *simulation) try(item limiter.Item, position int) limiter.ScanAction {
	e, step := s.place(s, Query{Declared: item.Declared, WaitPosition: position})
	if step != limiter.Take {
		return step
	}
	var job int
	if _, err := fmt.Sscan(item.Task.Submission.ID, &job); err != nil {
		panic(err)
	}
	s.index.Sent(s.clock(), fmt.Sprint(e), messenger.Resources{})
	s.add(s.now+s.jobs[job].work[item.Task.Index]*slowOf(e), simTask{job, item.Task.Index}, e)
	return limiter.Take
}

// tick schedules another dispatch after 50 ms, for tasks that were held back.
func (s *simulation) tick() {
	if !s.ticks {
		s.ticks = true
		s.add(s.now+0.05, simTask{}, -2)
	}
}

func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }

func choose(s *simulation, q Query) (int, limiter.ScanAction) {
	c, ok := s.index.Choose(s.clock(), s.r, q)
	if c.Reason == ReasonHeldBack {
		return 0, limiter.Hold
	}
	if !ok {
		return 0, limiter.Stop
	}
	var e int
	if _, err := fmt.Sscan(c.Endpoint, &e); err != nil {
		panic(err)
	}
	return e, limiter.Take
}

// leastUsed returns the candidate with the fewest outstanding tasks, which is the policy
// "join the shortest queue".
func (s *simulation) leastUsed(candidates []int) (int, limiter.ScanAction) {
	best, used := 0, simSlots
	for _, e := range candidates {
		if n := s.index.Outstanding(fmt.Sprint(e)); n < used {
			best, used = e, n
		}
	}
	if used == simSlots {
		return 0, limiter.Stop
	}
	return best, limiter.Take
}

func shortestQueue(s *simulation, _ Query) (int, limiter.ScanAction) {
	return s.leastUsed(s.r.Perm(simEndpoints))
}

func twoChoices(s *simulation, _ Query) (int, limiter.ScanAction) {
	free := slices.DeleteFunc(s.r.Perm(simEndpoints), func(e int) bool {
		return s.index.Outstanding(fmt.Sprint(e)) >= simSlots
	})
	return s.leastUsed(free[:min(2, len(free))])
}

func byArrival(_ *simulation, t simTask) uint64 { return uint64(t.job) }

// longestFirst orders by arrival, and within a job by declared time.
func longestFirst(s *simulation, t simTask) uint64 {
	declared, rank := s.jobs[t.job].declared, 0
	for i, d := range declared {
		if d > declared[t.index] || d == declared[t.index] && i < t.index {
			rank++
		}
	}
	return uint64(t.job)<<8 + uint64(rank)
}

// byDeclaredWork orders by the declared work of the whole job, in microseconds.
func byDeclaredWork(s *simulation, t simTask) uint64 {
	sum := 0.0
	for _, d := range s.jobs[t.job].declared {
		sum += d
	}
	return uint64(sum * 1e6)
}

func simulate(seed uint64, bursts bool, p simPolicy) []*simJob {
	jobs := workload(rand.New(rand.NewPCG(seed, 7)), 300, bursts)
	schedule(jobs)
	s := &simulation{
		jobs: jobs, index: New(), queue: limiter.NewQueue("", limiter.NewTeams()),
		ageing: p.ageing, inOrder: p.inOrder, place: p.place, order: p.order,
		r: rand.New(rand.NewPCG(seed, 9)),
	}
	s.index.Policy = p.policy
	for e := range simEndpoints {
		s.index.Put(epoch.Add(-time.Minute), Endpoint{Name: fmt.Sprint(e), Slots: simSlots, RampUp: time.Second})
	}
	s.run()
	return jobs
}

// ratios returns, in ascending order, the ratio of actual to ideal response time of the
// jobs that arrived after the warm-up of 20 s.
func ratios(jobs []*simJob, only messenger.Priority) []float64 {
	var all []float64
	for _, j := range jobs {
		if j.at > 20 && (only < 0 || j.priority == only) {
			all = append(all, (j.finish-j.at+roundTrips)/(j.ideal+roundTrips))
		}
	}
	slices.Sort(all)
	return all
}

func quantile(sorted []float64, q float64) float64 {
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

type simPolicy struct {
	name    string
	policy  Policy
	place   placement
	order   order
	ageing  bool
	inOrder bool
}

func holdBack(margin float64) Policy { return Policy{HoldBack: true, Margin: margin} }

var simPolicies = []simPolicy{
	{"two_choices/fifo", Policy{}, twoChoices, byArrival, false, false},
	{"shortest_queue/fifo", Policy{}, shortestQueue, byArrival, false, false},
	{"least_finish/fifo", Policy{}, choose, byArrival, false, false},
	{"hold_back_1.5_in_order/fifo", holdBack(1.5), choose, byArrival, false, true},
	{"hold_back_1/fifo", holdBack(1), choose, byArrival, false, false},
	{"hold_back_1.5/fifo", holdBack(1.5), choose, byArrival, false, false},
	{"hold_back_2/fifo", holdBack(2), choose, byArrival, false, false},
	{"hold_back_1.5/longest_first", holdBack(1.5), choose, longestFirst, false, false},
	{"least_finish/least_work", Policy{}, choose, byDeclaredWork, false, false},
	{"hold_back_1.5/least_work", holdBack(1.5), choose, byDeclaredWork, false, false},
	{"least_finish/ageing", Policy{}, choose, byArrival, true, false},
	{"hold_back_1.5/ageing", holdBack(1.5), choose, byArrival, true, false},
}

// BenchmarkPolicies reports the ratio of actual to ideal response time of the jobs for
// each policy, over three seeds. Run it with -benchtime 1x. The figures don't depend on
// the machine.
func BenchmarkPolicies(b *testing.B) {
	for _, bursts := range []bool{false, true} {
		for _, p := range simPolicies {
			b.Run(fmt.Sprintf("bursts=%v/%s", bursts, p.name), func(b *testing.B) {
				for range b.N {
					var jobs []*simJob
					for seed := range uint64(3) {
						jobs = append(jobs, simulate(seed, bursts, p)...)
					}
					all, urgent := ratios(jobs, -1), ratios(jobs, messenger.PriorityHigh)
					b.ReportMetric(quantile(all, 0.5), "p50")
					b.ReportMetric(quantile(all, 0.9), "p90")
					b.ReportMetric(quantile(all, 0.99), "p99")
					b.ReportMetric(quantile(urgent, 0.99), "high-p99")
				}
			})
		}
	}
}
