package journaler

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/coordinator"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/standin/tableserver"
	"github.com/burdockrudder/burdockrudder/internal/storage/storer"
)

// The offered load, and the latency and write limit of the table, of the admission target.
const (
	benchJobs            = 6000
	arrivalInterval      = time.Second / 2000
	benchWritesPerSecond = 300
	benchWriteLatency    = 4 * time.Millisecond
)

// BenchmarkAdmission offers 2,000 jobs/s for 3 s to a table with 4 ms latency and
// 300 writes/s.
func BenchmarkAdmission(b *testing.B) {
	for _, scenario := range []struct {
		name     string
		entries  int
		rows     int
		outcomes bool
	}{
		{"group_commit", 1, DefaultMaxRows, false},
		{"with_outcomes", 1, DefaultMaxRows, true},
		{"three_entries", 3, DefaultMaxRows, true},
		{"one_write_per_job", 1, 1, false},
	} {
		b.Run(scenario.name, func(b *testing.B) {
			for range b.N {
				load := newAdmissionLoad(scenario.outcomes)
				load.run(b, scenario.entries, scenario.rows)
				load.report(b)
			}
		})
	}
}

// timedTable measures the duration of writes, to separate the time spent in the table
// server from that spent in the journal.
type timedTable struct {
	storer.Table
	load *admissionLoad
}

func (t timedTable) Write(ctx context.Context, puts []storer.Put, atomic bool) ([]storer.PutResult, error) {
	began := time.Now()
	results, err := t.Table.Write(ctx, puts, atomic)
	t.load.mu.Lock()
	defer t.load.mu.Unlock()
	t.load.transactions++
	return results, firstError(err, t.load.writes.RecordValue(time.Since(began).Microseconds()))
}

func firstError(err, recorded error) error {
	if err != nil {
		return err
	}
	return recorded
}

type admissionLoad struct {
	outcomes bool
	settled  chan struct{}

	mu           sync.Mutex
	sent         map[string]time.Time
	admissions   *hdrhistogram.Histogram
	writes       *hdrhistogram.Histogram
	transactions int
	failed       int
	journals     []*Journal
}

func newAdmissionLoad(outcomes bool) *admissionLoad {
	const maxMicroseconds, digits = 60_000_000, 3
	return &admissionLoad{
		outcomes:   outcomes,
		settled:    make(chan struct{}, 2*benchJobs),
		sent:       make(map[string]time.Time, benchJobs),
		admissions: hdrhistogram.New(1, maxMicroseconds, digits),
		writes:     hdrhistogram.New(1, maxMicroseconds, digits),
	}
}

func (l *admissionLoad) run(b *testing.B, entries, rows int) {
	table := timedTable{load: l, Table: &tableserver.Table{
		WriteLatency: benchWriteLatency, Jitter: 0.1, WritesPerSecond: benchWritesPerSecond, Seed: 1,
	}}
	ctx, cancel := context.WithCancel(b.Context())
	var group errgroup.Group
	for i := range entries {
		journal := &Journal{
			Table: table, Writer: messenger.Incarnation(fmt.Sprintf("e%d~1", i)), MaxRows: rows,
			WritesPerSecond: benchWritesPerSecond / float64(entries), Emit: l.emit,
		}
		l.journals = append(l.journals, journal)
		group.Go(func() error { return journal.Run(ctx) })
	}
	expected := l.offer()
	for range expected {
		<-l.settled
	}
	cancel()
	if err := group.Wait(); err != nil {
		b.Error(err)
	}
}

// offer submits the jobs at even intervals. It polls the clock, because an idle Go process
// rounds timers up to 1 ms: arrivals, waits for the rate limiter and the latency of the
// table server would fall on the same ticks, and a 4 ms write would take 4.5 ms.
func (l *admissionLoad) offer() (expected int) {
	began := time.Now()
	for i := range benchJobs {
		due := began.Add(time.Duration(i) * arrivalInterval)
		for time.Now().Before(due) {
			runtime.Gosched()
		}
		effect := intent(i, "e1~1")
		l.mu.Lock()
		l.sent[effect.Row.Key.ID] = time.Now()
		l.mu.Unlock()
		l.journals[i%len(l.journals)].CommitIntent(effect)
		expected++
		if l.outcomes {
			l.journals[i%len(l.journals)].CommitOutcome(outcome(i, "settled"))
			expected++
		}
	}
	return expected
}

func (l *admissionLoad) emit(event coordinator.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch e := event.(type) {
	case coordinator.IntentSettled:
		if e.Failed {
			l.failed++
		} else if l.admissions.RecordValue(time.Since(l.sent[e.Key.ID]).Microseconds()) != nil {
			l.failed++
		}
	case coordinator.OutcomeSettled:
		if e.Failed {
			return
		}
	}
	l.settled <- struct{}{}
}

func (l *admissionLoad) report(b *testing.B) {
	const microsecondsPerMS = 1000.0
	b.ReportMetric(float64(l.admissions.ValueAtQuantile(50))/microsecondsPerMS, "p50_ms")
	b.ReportMetric(float64(l.admissions.ValueAtQuantile(99))/microsecondsPerMS, "p99_ms")
	b.ReportMetric(float64(l.writes.ValueAtQuantile(50))/microsecondsPerMS, "write_p50_ms")
	b.ReportMetric(float64(l.transactions), "transactions")
	b.ReportMetric(float64(l.failed), "refused")
	b.ReportMetric(0, "ns/op")
}
