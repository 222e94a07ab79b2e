package crowder

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// heldTime is how long a crowd stays after it has sent.
	heldTime = 200 * time.Millisecond
	// runningJob is the run time of the job that is being run when the crowd comes, and
	// shortJob that of the other ordinary jobs.
	runningJob = 300 * time.Millisecond
	shortJob   = 20 * time.Millisecond
	// servedWithin bounds the wait for an answer after a crowd. It only tells a program that
	// has stopped serving from one that serves; it is no measure of speed.
	servedWithin = 60 * time.Second
	servedPause  = 50 * time.Millisecond
	listenPause  = 10 * time.Millisecond
	// requestTimeout bounds one request for metrics.
	requestTimeout = 10 * time.Second
)

// Process is a process whose use of memory and descriptors a trial checks.
type Process struct {
	Name string
	PID  int
	// Ended is closed when the process has ended.
	Ended <-chan struct{}
	// MetricsAddress serves /metrics without a key.
	MetricsAddress string
	// MemoryBytes and Descriptors are the bounds. Files is the part of Descriptors that is
	// not for connections of a crowd.
	MemoryBytes int64
	Descriptors int
	Files       int
}

// Trial directs a crowd at targets of different processes at the same time, and checks the
// processes and their ordinary clients. Its fields must be set before Run.
type Trial struct {
	Crowd *Crowd
	// Programs selects the number of connections.
	Programs  string
	Targets   []Target
	Processes []Process
	// Submit hands in an ordinary job of the given run time and reports whether it was
	// answered as complete. The test that sets it checks that each answer is true.
	Submit func(runTime time.Duration) bool

	mu       sync.Mutex
	record   Record
	findings []string
}

// Record is what a trial has measured.
type Record struct {
	// Before, Held and After are the usage of each process, in the order of
	// Trial.Processes; Held is the highest while the crowd is there and soon afterwards, the peak in After is that
	// since the start of the trial.
	Before, Held, After []Usage
	// Reports are those of the groups, in the order of Trial.Targets.
	Reports []Report
}

// Run returns what was measured, and what is wrong.
func (t *Trial) Run(ctx context.Context) (Record, []string) {
	for _, p := range t.Processes {
		// Where the kernel has no such file, the peak is that since the start of the process,
		// which is no lower.
		_ = resetPeak(p.PID)
	}
	t.record.Before = t.usages()
	var jobs errgroup.Group
	submit := func(runTime time.Duration) {
		jobs.Go(func() error { t.Submit(runTime); return nil })
	}
	submit(runningJob)
	t.record.Reports = make([]Report, len(t.Targets))
	t.record.Held = make([]Usage, len(t.Processes))
	var groups errgroup.Group
	for i, target := range t.Targets {
		groups.Go(func() (err error) {
			group := Group{Crowd: t.Crowd, Target: target, Connections: t.Crowd.Connections[t.Programs], Held: func() {
				submit(shortJob)
				pause(ctx, heldTime)
				t.noteHeld()
			}}
			t.record.Reports[i], err = group.Run(ctx)
			return err
		})
	}
	if err := groups.Wait(); err != nil {
		t.find("the crowd could not be opened: %v", err)
	}
	// Submit returns no error.
	_ = jobs.Wait()
	t.awaitServed(ctx)
	t.awaitReleased(ctx)
	t.record.After = t.usages()
	t.checkBounds()
	return t.record, t.findings
}

func (t *Trial) find(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.findings = append(t.findings, fmt.Sprintf(format, args...))
}

func (t *Trial) usages() []Usage {
	usages := make([]Usage, len(t.Processes))
	for i, p := range t.Processes {
		if p.HasEnded() {
			t.find("%s has ended", p.Name)
			continue
		}
		usage, err := ReadUsage(p.PID)
		if err != nil {
			t.find("%s: %v", p.Name, err)
		}
		usages[i] = usage
	}
	return usages
}

// noteHeld takes the usage while a group of the crowd is there, and soon afterwards.
func (t *Trial) noteHeld() {
	usages := t.usages()
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, usage := range usages {
		if usage.Descriptors > t.record.Held[i].Descriptors {
			t.record.Held[i] = usage
		}
	}
}

func (t *Trial) checkBounds() {
	for i, p := range t.Processes {
		if peak := max(t.record.After[i].PeakBytes, t.record.Held[i].PeakBytes); peak > p.MemoryBytes {
			t.find("%s used %d MB of memory; bound %d MB", p.Name, peak/1e6, p.MemoryBytes/1e6)
		}
		if n := max(t.record.Held[i].Descriptors, t.record.After[i].Descriptors); n > p.Descriptors {
			t.find("%s had %d descriptors; bound %d", p.Name, n, p.Descriptors)
		}
	}
}

// awaitServed waits until an ordinary job is served and all processes answer.
func (t *Trial) awaitServed(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, servedWithin)
	defer cancel()
	if !t.await(ctx, func() bool { return t.Submit(shortJob) }) {
		t.find("no job was served within %v after the crowd", servedWithin)
	}
	client := &http.Client{Timeout: requestTimeout}
	defer client.CloseIdleConnections()
	for _, p := range t.Processes {
		if !t.await(ctx, func() bool { return answersMetrics(client, p.MetricsAddress) }) {
			t.find("%s did not answer within %v after the crowd", p.Name, servedWithin)
		}
	}
}

// awaitReleased waits until the connections of the crowd are closed. Otherwise those of one
// listener would count in the trial of another listener of the same process.
func (t *Trial) awaitReleased(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, servedWithin)
	defer cancel()
	t.noteHeld()
	for _, p := range t.Processes {
		released := t.await(ctx, func() bool {
			usage, err := ReadUsage(p.PID)
			return err == nil && usage.Descriptors <= p.Files
		})
		if !released {
			t.find("%s did not close the connections of the crowd within %v after its clients had gone", p.Name, servedWithin)
		}
	}
}

// await repeats an attempt until it succeeds. It reports false if ctx or a process ends
// before.
func (t *Trial) await(ctx context.Context, attempt func() bool) bool {
	for {
		if attempt() {
			return true
		}
		for _, p := range t.Processes {
			if p.HasEnded() {
				return false
			}
		}
		if !pause(ctx, servedPause) {
			return false
		}
	}
}

// AwaitListening waits until a new process accepts connections at an address. It gives up
// after servedWithin; the caller finds that the process does not serve.
func AwaitListening(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, servedWithin)
	defer cancel()
	var dialer net.Dialer
	for {
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if err == nil {
			_ = conn.Close()
			return
		}
		if !pause(ctx, listenPause) {
			return
		}
	}
}

func answersMetrics(client *http.Client, address string) bool {
	response, err := client.Get("http://" + address + "/metrics")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	// Only a complete answer counts.
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}

// HasEnded reports whether the process has ended.
func (p Process) HasEnded() bool {
	select {
	case <-p.Ended:
		return true
	default:
		return false
	}
}

// Lines returns the record as text, one line for each process.
func (r Record) Lines(processes []Process) []string {
	lines := make([]string, 0, len(processes))
	for i, p := range processes {
		lines = append(lines, fmt.Sprintf("%s: peak %d MB (%d MB resident before, %d MB after), %d descriptors while held, %d after",
			p.Name, max(r.After[i].PeakBytes, r.Held[i].PeakBytes)/1e6, r.Before[i].ResidentBytes/1e6, r.After[i].ResidentBytes/1e6,
			r.Held[i].Descriptors, r.After[i].Descriptors))
	}
	return append(lines, fmt.Sprintf("crowd: %+v", r.Reports))
}
