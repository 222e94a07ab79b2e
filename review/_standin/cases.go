package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

// Bounds of the small sites.
const (
	cancelBound = 3000 * time.Millisecond
	stopBound   = 50 * time.Millisecond
	resendPause = 1300 * time.Millisecond
	// memoryLimit is memory_mb of an edge machine.
	memoryLimit = 284 << 20
)

// playForeignPing sends one ping of another writer, for a service that the desired state
// does not name, to the control address of one agent while a job is at work.
func playForeignPing(ctx context.Context, f *fleet, trouble bool) ([]string, error) {
	if err := f.start(2, 3); err != nil {
		return nil, err
	}
	const (
		job     = "5c0e7a21d94b36f8"
		runTime = 2500
		before  = 700 * time.Millisecond
	)
	answered := make(chan answer, 1)
	f.group.Go(func() error {
		answered <- f.post(f.entries[0], job, jobBody(12, runTime, 1600), 20*time.Second)
		return nil
	})
	time.Sleep(before)
	if trouble {
		ping := map[string]any{
			"service": "billing", "address": "127.0.0.1:9", "zone": "a", "version": "v7", "slots": 8, "state": "ready",
			"cold_remaining_ms": 0, "capacity": map[string]int{"cpu": 16000, "mem_mb": 32768, "gpu": 0},
			"labels": []string{"a"}, "clock_ms": 100, "seq": 1, "born": time.Now().UnixMilli(),
		}
		status, err := sendPing(ctx, f.executors[0].control, "i-billing-1", ping)
		f.record.add("other writer: ping of i-billing-1 (service billing) to %s: status %d, error %v", f.agents[0].name, status, err)
	}
	select {
	case got := <-answered:
		if !trouble && !got.completed() {
			return nil, fmt.Errorf("the job is not served: %v", got)
		}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	return f.runs.twiceSeen(), nil
}

// playCancelElsewhere cancels a job that need not be kept at another node than the one
// that has taken it, as a client does whose new connection the platform gives to that node.
func playCancelElsewhere(ctx context.Context, f *fleet, trouble bool) ([]string, error) {
	if err := f.start(2, 3); err != nil {
		return nil, err
	}
	const (
		job     = "7d10c3b2a9e84f56"
		runTime = 8000
	)
	answered := make(chan answer, 1)
	f.group.Go(func() error {
		answered <- f.post(f.entries[0], job, jobBody(4, runTime, 1600), 20*time.Second)
		return nil
	})
	time.Sleep(500 * time.Millisecond)
	var violations []string
	if trouble {
		f.record.add("client: DELETE %s at %s", job, f.entries[1].name)
		got := f.call(ctx, f.entries[1], http.MethodDelete, job, "")
		acked := time.Now()
		f.record.add("client: answer to DELETE %s at %s: %v", job, f.entries[1].name, got)
		if got.status != http.StatusGone && got.status/100 != 2 {
			return nil, fmt.Errorf("the cancel has no ack: %v", got)
		}
		limit := acked.Add(cancelBound + stopBound)
		time.Sleep(time.Until(limit.Add(200 * time.Millisecond)))
		for _, s := range f.runs.after(job, limit) {
			violations = append(violations, fmt.Sprintf("UNASKED: %s runs on %s more than %v after the cancel of its job was acknowledged with %d",
				s.run.Task, s.executor, cancelBound+stopBound, got.status))
		}
	}
	select {
	case got := <-answered:
		if !trouble && !got.completed() {
			return nil, fmt.Errorf("the job is not served: %v", got)
		}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	return violations, nil
}

// playOversizedJob submits one job that can never be done, because it has far more tasks
// than there is room for. The platform kills a process over its memory limit and starts it
// again; the client sends the job again after a broken connection, at the other node.
func playOversizedJob(ctx context.Context, f *fleet, trouble bool) ([]string, error) {
	if err := f.start(2, 2); err != nil {
		return nil, err
	}
	const (
		job      = "2f9b6c1d0e8a7354"
		tasks    = 3_000_000
		attempts = 6
		// endsForFault is how often the processes of a machine must end by themselves.
		endsForFault = 3
	)
	count := 100
	if trouble {
		count = tasks
	}
	ends := make([]int, len(f.entries))
	watchCtx, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	for i, entry := range f.entries {
		f.group.Go(func() error { return enforceMemory(watchCtx, f, entry, &ends[i]) })
	}
	for try := range attempts {
		got := f.post(f.entries[try%len(f.entries)], job, jobBody(count, 20, 1600), 20*time.Second)
		if got.status != 0 && got.status != http.StatusBadGateway && got.status != http.StatusGatewayTimeout {
			break
		}
		time.Sleep(resendPause)
	}
	stopWatching()
	time.Sleep(100 * time.Millisecond)
	var violations []string
	for i, n := range ends {
		f.record.add("%s ended %d times over its memory limit", f.entries[i].name, n)
		if n >= endsForFault {
			violations = append(violations, fmt.Sprintf("Fault: the process of %s ended by itself %d times (over %d MB of memory)",
				f.entries[i].name, n, memoryLimit>>20))
		}
	}
	if len(violations) < 2 {
		// The rule asks for two machines at least.
		return nil, nil
	}
	return violations, nil
}

// enforceMemory kills a process over the memory limit and starts it again, as the platform
// does.
func enforceMemory(ctx context.Context, f *fleet, p *process, ends *int) error {
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		p.mu.Lock()
		pid := p.command.Process.Pid
		p.mu.Unlock()
		used, err := residentBytes(pid)
		if err != nil || used <= memoryLimit {
			continue
		}
		f.record.add("platform: %s uses %d MB, the limit is %d MB; killed", p.name, used>>20, memoryLimit>>20)
		p.kill()
		*ends++
		time.Sleep(500 * time.Millisecond)
		if ctx.Err() != nil {
			return nil
		}
		if err := p.start(); err != nil {
			f.record.add("platform: %s not started again: %v", p.name, err)
			return nil
		}
	}
}

var errNoStatus = errors.New("no resident size in the status of the process")

func residentBytes(pid int) (int, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(data)) {
		if rest, found := strings.CutPrefix(line, "VmRSS:"); found {
			kb, err := strconv.Atoi(strings.Fields(rest)[0])
			return kb << 10, err
		}
	}
	return 0, errNoStatus
}

// playSmallerNextBoot crashes an executor, which starts again under its id with a quarter
// of the capacity.
func playSmallerNextBoot(ctx context.Context, f *fleet, trouble bool) ([]string, error) {
	if err := f.start(1, 1); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	for client := range 12 {
		f.group.Go(func() error {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return nil
				case <-ctx.Done():
					return nil
				default:
				}
				f.post(f.entries[0], fmt.Sprintf("a%03x%012x", client, n), jobBody(1, 300, 1600), 1500*time.Millisecond)
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	time.Sleep(2 * time.Second)
	if trouble {
		f.executors[0].crash()
		time.Sleep(300 * time.Millisecond)
		f.executors[0].boot(4000)
	}
	time.Sleep(4 * time.Second)
	close(stop)
	f.runs.mu.Lock()
	defer f.runs.mu.Unlock()
	return f.runs.over, nil
}

// playLostAnswerAndCrash loses the answer to one start that was carried out, and crashes
// the executor 20 ms later. It starts again soon, under its id and of another kind.
func playLostAnswerAndCrash(ctx context.Context, f *fleet, trouble bool) ([]string, error) {
	if err := f.start(1, 2); err != nil {
		return nil, err
	}
	const (
		job    = "81f4b0c96e2d7a35"
		warmUp = 40
		down   = 400 * time.Millisecond
	)
	for i := range warmUp {
		if got := f.post(f.entries[0], fmt.Sprintf("b%015x", i), jobBody(2, 40, 1600), 2*time.Second); !got.completed() {
			return nil, fmt.Errorf("a job before the disruption is not served: %v", got)
		}
	}
	target := f.executors[0]
	crashed := make(chan struct{})
	if trouble {
		target.loseAnswer(job, func() {
			time.Sleep(20 * time.Millisecond)
			target.crash()
			time.Sleep(down)
			target.setLabels("b", "r1-1")
			target.boot(executorCPU)
			target.pingOnce(ctx)
			close(crashed)
		})
	}
	got := f.post(f.entries[0], job, neededJobBody(100, 1600, target.onlyLabel()), 1500*time.Millisecond)
	if !trouble {
		if !got.completed() {
			return nil, fmt.Errorf("the job is not served: %v", got)
		}
		return nil, nil
	}
	select {
	case <-crashed:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if started := f.runs.after(job, time.Time{}); got.rejected() && len(started) > 0 {
		return []string{fmt.Sprintf("REFUSED: %s has started on %s, and its only attempt was answered with %d",
			started[0].run.Task, started[0].executor, got.status)}, nil
	}
	return nil, nil
}

// playOneWayCuts cuts the links of the machines beside the executors one way, one machine at
// a time: what its agent sends to the entries is lost, what they send arrives. Long after the
// last cut, clients come again.
func playOneWayCuts(ctx context.Context, f *fleet, trouble bool) ([]string, error) {
	f.withLinks = true
	if err := f.start(2, 3); err != nil {
		return nil, err
	}
	const (
		cut          = 2 * time.Second
		pause        = 4 * time.Second
		recoverBound = 12 * time.Second
	)
	before := f.countServed("c")
	for _, agent := range f.agents {
		if trouble {
			f.cutLinks(agent.name)
		}
		time.Sleep(cut)
		f.cutLinks("")
		time.Sleep(pause)
	}
	f.record.add("no disruption from here on")
	time.Sleep(recoverBound)
	after := f.countServed("d")
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	f.record.add("served %d of %d before, %d of %d later than %v after the last cut", before, sampleJobs, after, sampleJobs, recoverBound)
	if 4*before < sampleJobs {
		return nil, fmt.Errorf("only %d of %d jobs were served before", before, sampleJobs)
	}
	if 4*after < sampleJobs {
		return []string{fmt.Sprintf("RECOVER: %d of %d jobs are served later than %v after the machines are back, %d of %d were before",
			after, sampleJobs, recoverBound, before, sampleJobs)}, nil
	}
	return nil, nil
}

// playCutAndReset loses what one entry sends to one agent for a while, and resets the
// connection of a client of that entry meanwhile. The client sends its job again, at the
// other entry.
func playCutAndReset(ctx context.Context, f *fleet, trouble bool) ([]string, error) {
	f.withLinks = true
	if err := f.start(2, 3); err != nil {
		return nil, err
	}
	const (
		job         = "93d2e5a1c07b6f48"
		runTime     = 3000
		beforePost  = 150 * time.Millisecond
		beforeReset = 200 * time.Millisecond
	)
	agent := f.agents[0].name
	body := jobBody(12, runTime, 1600)
	if trouble {
		f.record.add("the open connection from %s to %s is silent", f.entries[0].name, agent)
		f.links[0].setMuted(agent)
	}
	time.Sleep(beforePost)
	callCtx, reset := context.WithCancel(ctx)
	defer reset()
	first := make(chan answer, 1)
	f.group.Go(func() error {
		first <- f.postUntil(callCtx, f.entries[0], job, body)
		return nil
	})
	time.Sleep(beforeReset)
	if !trouble {
		if got := <-first; !got.completed() {
			return nil, fmt.Errorf("the job is not served: %v", got)
		}
		return f.runs.twiceSeen(), nil
	}
	f.record.add("the client's connection to %s is reset", f.entries[0].name)
	reset()
	second := make(chan answer, 1)
	f.group.Go(func() error {
		time.Sleep(resendPause)
		second <- f.post(f.entries[1], job, body, 20*time.Second)
		return nil
	})
	select {
	case <-second:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	return f.runs.twiceSeen(), nil
}

// cutLinks loses what a process sends to the entries; an empty name ends the cut.
func (f *fleet) cutLinks(name string) {
	f.record.add("datagrams to the entries are lost from: %q", name)
	for _, l := range f.links {
		l.setCut(name)
	}
}

// sampleJobs is the number of jobs that countServed submits.
const sampleJobs = 40

// countServed submits jobs, to the nodes in turn, and returns how many were completed.
func (f *fleet) countServed(prefix string) int {
	served := 0
	for i := range sampleJobs {
		entry := f.entries[i%len(f.entries)]
		if f.post(entry, fmt.Sprintf("%s%015x", prefix, i), jobBody(1, 20, 1600), 1500*time.Millisecond).completed() {
			served++
		}
		time.Sleep(50 * time.Millisecond)
	}
	return served
}
