package runner

import (
	"slices"
	"sync"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/standin/executor"
)

// observations records the task starts and ends that an endpoint observed. They
// don't depend on what entries and agents report.
type observations struct {
	mu     sync.Mutex
	starts []observedStart
	ends   []observedEnd
}

type observedStart struct {
	task string
	at   time.Time
}

type observedEnd struct {
	at      time.Time
	runTime time.Duration
}

func (o *observations) started(task string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.starts = append(o.starts, observedStart{task: task, at: time.Now()})
}

func (o *observations) ended(_ string, runTime time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ends = append(o.ends, observedEnd{at: time.Now(), runTime: runTime})
}

func (o *observations) startList() []observedStart {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.starts)
}

func (o *observations) endList() []observedEnd {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.ends)
}

func (c *cluster) newExecutor(number int, observed *observations, agent string) *executor.Endpoint {
	return &executor.Endpoint{
		Service:     c.deployment.Service,
		Slots:       c.deployment.Slots,
		Connections: c.deployment.Connections,
		Speed:       c.deployment.speed(number),
		Agent:       agent,
		HTTP:        c.http,
		OnStart:     observed.started,
		OnEnd:       observed.ended,
	}
}
