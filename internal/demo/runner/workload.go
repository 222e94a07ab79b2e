package runner

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/demo/scorer"
)

// The shape of the load: most tasks run for 50 ms to 1 s, a few for several seconds,
// and declared run times are wrong by a factor of up to 5.
const (
	minRunTime          = 50 * time.Millisecond
	maxRunTime          = time.Second
	stragglerShare      = 0.02
	minStragglerRunTime = 2 * time.Second
	maxStragglerRunTime = 5 * time.Second
	maxDeclaredError    = 5.0
	maxJobTasks         = 20
	highPriorityShare   = 0.15
	resubmitShare       = 0.05
)

// plannedTask is one task with its true and its declared run time.
type plannedTask struct {
	runTime  time.Duration
	declared time.Duration
	echo     string
}

// plannedJob is one submission of the load.
type plannedJob struct {
	id       string
	arrival  time.Duration
	high     bool
	resubmit bool
	tasks    []plannedTask
}

// planLoad draws the jobs of a run: Poisson arrivals at a share of the capacity.
func planLoad(d Deployment, seed uint64, count int, load float64) []plannedJob {
	random := rand.New(rand.NewPCG(seed, uint64(count)))
	jobs := make([]plannedJob, count)
	work := 0.0
	for i := range jobs {
		jobs[i] = planJob(random, fmt.Sprintf("job-%d-%04d", seed, i))
		for _, task := range jobs[i].tasks {
			work += task.runTime.Seconds()
		}
	}
	rate := load * d.capacity() / (work / float64(count))
	at := 0.0
	for i := range jobs {
		at += random.ExpFloat64() / rate
		jobs[i].arrival = time.Duration(at * float64(time.Second))
	}
	return jobs
}

func planJob(random *rand.Rand, id string) plannedJob {
	job := plannedJob{
		id:       id,
		high:     random.Float64() < highPriorityShare,
		resubmit: random.Float64() < resubmitShare,
	}
	for i := range 1 + random.IntN(maxJobTasks) {
		runTime := randomBetween(random, minRunTime, maxRunTime)
		if random.Float64() < stragglerShare {
			runTime = randomBetween(random, minStragglerRunTime, maxStragglerRunTime)
		}
		errorFactor := math.Pow(maxDeclaredError, 2*random.Float64()-1)
		job.tasks = append(job.tasks, plannedTask{
			runTime:  runTime,
			declared: time.Duration(float64(runTime) * errorFactor).Round(time.Millisecond),
			echo:     fmt.Sprintf("%s#%d", id, i),
		})
	}
	return job
}

func randomBetween(random *rand.Rand, low, high time.Duration) time.Duration {
	return (low + time.Duration(random.Int64N(int64(high-low)))).Round(time.Millisecond)
}

// scorerJobs converts the load to jobs of the scorer.
func scorerJobs(jobs []plannedJob) []scorer.Job {
	converted := make([]scorer.Job, len(jobs))
	for i, job := range jobs {
		converted[i] = scorer.Job{ID: job.id, Arrival: job.arrival}
		if job.high {
			converted[i].Priority = 1
		}
		for _, task := range job.tasks {
			converted[i].Tasks = append(converted[i].Tasks, scorer.Task{RunTime: task.runTime})
		}
	}
	return converted
}
