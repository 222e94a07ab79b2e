package journaler

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/coordinator"
	"github.com/burdockrudder/burdockrudder/internal/standin/tablekeeper"
)

// BenchmarkAdmission offers 2,000 jobs/s for 3 s to a table with 4 ms latency and
// 300 writes/s, with group commit and with one write per job.
func BenchmarkAdmission(b *testing.B) {
	for _, scenario := range []struct {
		name string
		rows int
	}{{"group_commit", DefaultMaxRows}, {"one_write_per_job", 1}} {
		b.Run(scenario.name, func(b *testing.B) {
			for range b.N {
				offer(b, scenario.rows)
			}
		})
	}
}

func offer(b *testing.B, rows int) {
	const jobs, perTick = 6000, 2
	var mu sync.Mutex
	sent := make(map[string]time.Time, jobs)
	latency := hdrhistogram.New(1, 60_000_000, 3)
	failed, settled := 0, make(chan struct{}, jobs)
	journal := &Journal{
		Table: &tablekeeper.Keeper{
			WriteLatency: 4 * time.Millisecond, Jitter: 0.1, WritesPerSecond: 300, Seed: 1,
		},
		Writer: "e1~1", WritesPerSecond: 300, MaxRows: rows,
		Emit: func(event coordinator.Event) {
			e := event.(coordinator.IntentSettled)
			mu.Lock()
			defer mu.Unlock()
			if e.Failed {
				failed++
			} else if err := latency.RecordValue(time.Since(sent[e.Key.ID]).Microseconds()); err != nil {
				b.Error(err)
			}
			settled <- struct{}{}
		},
	}
	ctx, cancel := context.WithCancel(b.Context())
	var group errgroup.Group
	group.Go(func() error { return journal.Run(ctx) })
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for i := range jobs {
		if i%perTick == 0 {
			<-ticker.C
		}
		effect := intent(i, "e1~1")
		mu.Lock()
		sent[effect.Row.Key.ID] = time.Now()
		mu.Unlock()
		journal.CommitIntent(effect)
	}
	for range jobs {
		<-settled
	}
	cancel()
	if err := group.Wait(); err != nil {
		b.Error(err)
	}
	b.ReportMetric(float64(latency.ValueAtQuantile(50))/1000, "p50_ms")
	b.ReportMetric(float64(latency.ValueAtQuantile(99))/1000, "p99_ms")
	b.ReportMetric(float64(failed), "refused")
}
