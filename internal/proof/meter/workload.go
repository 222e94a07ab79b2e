package meter

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/demo/scorer"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// The shape of the load is the same as in the demo.
const (
	minRunTime          = 50 * time.Millisecond
	maxRunTime          = time.Second
	minStragglerRunTime = 2 * time.Second
	maxStragglerRunTime = 5 * time.Second
	maxJobTasks         = 20
	highPriorityShare   = 0.15
)

// The shape of bursts: load as a multiple of the capacity, times in seconds.
const (
	burstLoad   = 3.0
	burstLength = 2.0
	burstPeriod = 10.0
)

type plannedTask struct {
	runTime, declared time.Duration
}

type plannedJob struct {
	arrival time.Duration
	high    bool
	tasks   []plannedTask
}

// planLoad draws Poisson arrivals over the span of the run.
func planLoad(o Options) []plannedJob {
	random := rand.New(rand.NewPCG(o.Seed, 1))
	rate := o.capacity() / (o.meanRunTime() * (1 + maxJobTasks) / 2)
	var jobs []plannedJob
	at := 0.0
	for {
		at = o.nextArrival(at, random.ExpFloat64()/rate)
		if at > o.Span.Seconds() {
			return jobs
		}
		job := o.planJob(random)
		job.arrival = time.Duration(at * float64(time.Second))
		jobs = append(jobs, job)
	}
}

// nextArrival returns the time at which the offered work since from, counted in
// jobs at full capacity, has grown by the given step.
func (o Options) nextArrival(from, step float64) float64 {
	if !o.Bursts {
		return from + step/o.Load
	}
	quietLoad := (o.Load*burstPeriod - burstLoad*burstLength) / (burstPeriod - burstLength)
	for {
		phase := math.Mod(from, burstPeriod)
		load, until := burstLoad, burstLength
		if phase >= burstLength {
			load, until = quietLoad, burstPeriod
		}
		if step <= load*(until-phase) {
			return from + step/load
		}
		step -= load * (until - phase)
		// Rounding could leave the time just before the boundary and repeat this
		// phase; the extra 1e-9 s prevents that.
		from += until - phase + 1e-9
	}
}

func (o Options) planJob(random *rand.Rand) plannedJob {
	job := plannedJob{high: random.Float64() < highPriorityShare}
	for range 1 + random.IntN(maxJobTasks) {
		runTime := randomBetween(random, minRunTime, maxRunTime)
		stragglerRunTime := randomBetween(random, minStragglerRunTime, maxStragglerRunTime)
		if random.Float64() < o.StragglerShare {
			runTime = stragglerRunTime
		}
		errorFactor := math.Pow(o.DeclaredError, 2*random.Float64()-1)
		job.tasks = append(job.tasks, plannedTask{
			runTime:  runTime,
			declared: time.Duration(float64(runTime) * errorFactor).Round(time.Millisecond),
		})
	}
	return job
}

func randomBetween(random *rand.Rand, low, high time.Duration) time.Duration {
	return (low + time.Duration(random.Int64N(int64(high-low)))).Round(time.Millisecond)
}

// meanRunTime returns the mean run time of a task, in seconds on speed 1.
func (o Options) meanRunTime() float64 {
	usual := (minRunTime + maxRunTime).Seconds() / 2
	straggle := (minStragglerRunTime + maxStragglerRunTime).Seconds() / 2
	return (1-o.StragglerShare)*usual + o.StragglerShare*straggle
}

// speed returns the speed of an endpoint. The order is mixed, so that each
// failure domain has fast and slow endpoints.
func (o Options) speed(agent int) float64 {
	const stride = 4
	if o.Agents == 1 {
		return 1
	}
	position := agent * stride % o.Agents
	if o.Agents%2 == 0 {
		// A stride of 4 would reach only some of an even number of positions.
		position = agent
	}
	return 1 - (1-o.SlowestSpeed)*float64(position)/float64(o.Agents-1)
}

// capacity returns the work, in run time on speed 1, that all slots do per second.
func (o Options) capacity() float64 {
	sum := 0.0
	for i := range o.Agents {
		sum += float64(o.Slots) * o.speed(i)
	}
	return sum
}

func (o Options) slots() []scorer.Slot {
	var slots []scorer.Slot
	for i := range o.Agents {
		for range o.Slots {
			slots = append(slots, scorer.Slot{Speed: o.speed(i)})
		}
	}
	return slots
}

func scorerJobs(jobs []plannedJob) []scorer.Job {
	converted := make([]scorer.Job, len(jobs))
	for i, job := range jobs {
		converted[i] = scorer.Job{ID: jobID(i), Arrival: job.arrival}
		if job.high {
			converted[i].Priority = 1
		}
		for _, task := range job.tasks {
			converted[i].Tasks = append(converted[i].Tasks, scorer.Task{RunTime: task.runTime})
		}
	}
	return converted
}

func jobID(number int) string { return fmt.Sprintf("job-%06d", number) }

// submission returns the job as a submission.
func (j plannedJob) submission(number int) messenger.Submission {
	submission := messenger.Submission{
		Key:      messenger.SubmissionKey{Firm: firmName, Service: serviceName, ID: jobID(number)},
		Kind:     messenger.KindJob,
		Priority: messenger.PriorityNormal,
		Digest:   jobID(number),
	}
	if j.high {
		submission.Priority = messenger.PriorityHigh
	}
	for _, task := range j.tasks {
		submission.Tasks = append(submission.Tasks, messenger.TaskSpec{DeclaredRunTime: task.declared})
	}
	return submission
}
