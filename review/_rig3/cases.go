package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	firstService, secondService = "huvo11a", "huvo12b"
	// longTask is longer than any bound of the cases.
	longTask = 9 * time.Second
	// patientMS is the Deadline-Ms of clients that wait for a long job.
	patientMS = 20_000
)

func (s *site) operate() { s.change(1, firstService) }

// post submits a job and records its answer.
func (s *site) post(address, name, id, body string, deadlineMS int) result {
	s.record.write("client: POST %s at %s: %s", id, name, body)
	r := request(address, http.MethodPost, host, prefix+id, body, deadlineMS, time.Duration(deadlineMS)*time.Millisecond)
	s.record.write("client: POST %s at %s sent at %s: answered %d %s %v", id, name, s.record.at(r.sentAt), r.status, r.body, errText(r.err))
	return r
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return "(" + err.Error() + ")"
}

// cancelAndCheck cancels a job at an entry, and checks that nothing of it runs stop_ms after
// cancel_ms after the answer.
func (s *site) cancelAndCheck(entry int, id string) error {
	r := request(s.fronts[entry], http.MethodDelete, host, prefix+id, "", 1500, 4*time.Second)
	s.record.write("client: DELETE %s at entry %d sent at %s: answered %d after %v %s; at work: %v",
		id, entry, s.record.at(r.sentAt), r.status, r.endedAt.Sub(r.sentAt), errText(r.err), s.workers(id))
	if r.status != http.StatusOK && r.status != http.StatusGone {
		return fmt.Errorf("%w: the DELETE wasn't acknowledged", errNotRun)
	}
	// 50 ms more than the rule allows, for the delays of this process.
	time.Sleep(time.Until(r.endedAt.Add(cancelBound + stopBound + 50*time.Millisecond)))
	if left := s.workers(id); len(left) > 0 {
		s.record.broken("UNASKED: the DELETE of %s was answered %d, and %v later these run on: %v", id, r.status, time.Since(r.endedAt), left)
	}
	return nil
}

// each runs a part of a case for several numbers at the same time.
func each(n int, part func(i int) error) error {
	errs := make([]error, n)
	var group sync.WaitGroup
	for i := range n {
		group.Add(1)
		go func() {
			defer group.Done()
			errs[i] = part(i)
		}()
	}
	group.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// cancelMoved cancels jobs that were accepted before the desired state sent their queue to
// another service.
func cancelMoved(s *site, trouble bool) error {
	s.operate()
	err := s.start(func(i int, e *executor) {
		if i >= 6 {
			e.service = secondService
		}
	})
	if err != nil {
		return err
	}
	ids := make([]string, entryCount)
	for i := range ids {
		ids[i] = newID()
		go s.post(s.fronts[i], fmt.Sprint("entry ", i), ids[i], job(2, 1600, int(longTask.Milliseconds())), patientMS)
	}
	time.Sleep(time.Second)
	for _, id := range ids {
		if len(s.workers(id)) != 2 {
			return fmt.Errorf("%w: %s hasn't started", errNotRun, id)
		}
	}
	if trouble {
		s.change(4, secondService)
	}
	time.Sleep(2500 * time.Millisecond)
	return each(len(ids), func(i int) error { return s.cancelAndCheck(i, ids[i]) })
}

const (
	// lateBy is how late everything arrives on a connection that is delayed.
	lateBy = 2 * time.Second
	// deadlineMS is the Deadline-Ms of the site's clients.
	deadlineMS = 1500
	// delayedJobs is how many jobs each of the clients hands in, one after the other.
	delayedJobs = 3
)

// delayedPost lets the connections of four clients, one for each entry, be delayed. The
// clients send their jobs again, to another entry, after no response.
func delayedPost(s *site, trouble bool) error {
	s.operate()
	err := s.start(func(_ int, e *executor) {
		e.onStart = func(_ *executor, task string, _ int) { go s.checkTwice(task) }
	})
	if err != nil {
		return err
	}
	return each(entryCount, func(i int) error {
		first, second := s.fronts[i], (i+1)%entryCount
		if trouble {
			d, err := newDelay(s.net+"1", first, lateBy)
			if err != nil {
				return err
			}
			s.paths = append(s.paths, d)
			first = d.listener.Addr().String()
		}
		for range delayedJobs {
			id, body := newID(), job(2, 1600, 1200)
			r := s.post(first, fmt.Sprint("entry ", i), id, body, deadlineMS)
			if r.status == 0 || r.status == http.StatusBadGateway || r.status == http.StatusGatewayTimeout {
				time.Sleep(time.Until(r.endedAt.Add(resendPause)))
				s.post(s.fronts[second], fmt.Sprint("entry ", second), id, body, deadlineMS)
			}
			time.Sleep(time.Second)
		}
		return nil
	})
}

// sentAhead lets clients send a GET ahead on the connection of a POST, before its answer.
// The connections break, and the clients send their jobs again, to another entry.
func sentAhead(s *site, trouble bool) error {
	s.operate()
	err := s.start(func(_ int, e *executor) {
		e.onStart = func(_ *executor, task string, _ int) { go s.checkTwice(task) }
	})
	if err != nil {
		return err
	}
	return each(entryCount, func(i int) error {
		id, body := newID(), job(2, 1600, 6000)
		conn, err := dial(s.fronts[i])
		if err != nil {
			return fmt.Errorf("%w: %w", errNotRun, err)
		}
		defer conn.Close()
		go func() {
			s.record.write("client: POST %s at entry %d: %s", id, i, body)
			r := conn.exchange(http.MethodPost, host, prefix+id, body, patientMS, patientMS*time.Millisecond)
			s.record.write("client: POST %s at entry %d: answered %d %s %s", id, i, r.status, r.body, errText(r.err))
		}()
		time.Sleep(100 * time.Millisecond)
		if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", prefix, host); err != nil {
			return fmt.Errorf("%w: %w", errNotRun, err)
		}
		time.Sleep(400 * time.Millisecond)
		if !trouble {
			time.Sleep(7 * time.Second)
			return nil
		}
		_ = conn.Close()
		s.record.write("the connection of POST %s is closed; at work: %v", id, s.workers(id))
		time.Sleep(resendPause)
		s.post(s.fronts[(i+1)%entryCount], fmt.Sprint("entry ", (i+1)%entryCount), id, body, patientMS)
		return nil
	})
}

// checkTwice checks that a task runs on one executor at most.
func (s *site) checkTwice(task string) {
	s.snapshot.Lock()
	defer s.snapshot.Unlock()
	// The locks of all executors are held, so that what is seen is true at one moment.
	var at []string
	for _, e := range s.executors {
		e.mu.Lock()
		e.emulator.ExpireLease(time.Now())
		if _, runs := e.runs[task]; runs {
			at = append(at, e.id)
		}
	}
	for _, e := range s.executors {
		e.mu.Unlock()
	}
	if len(at) > 1 {
		s.record.broken("TWICE: %s runs at the same time on %v", task, at)
	}
}

// load posts jobs of a fixed shape at all entries, in turn, until stop is closed.
func (s *site) load(stop <-chan struct{}, pause time.Duration, body string) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(pause):
			go s.post(s.fronts[i%entryCount], fmt.Sprint("entry ", i%entryCount), newID(), body, 3000)
		}
	}
}

const (
	// recoverTime is the time that the machines have to serve again.
	recoverTime = 12 * time.Second
	// countTime is how long requests are counted before and after the disruption.
	countTime = 6 * time.Second
)

// tally counts the requests that were sent and those that were served.
type tally struct{ sent, served atomic.Int64 }

// count posts small jobs at all entries, in turn, for countTime, and waits for the answers.
func (s *site) count(name string) *tally {
	var t tally
	var group sync.WaitGroup
	for i, end := 0, time.Now().Add(countTime); time.Now().Before(end); i++ {
		group.Add(1)
		go func() {
			defer group.Done()
			t.sent.Add(1)
			r := s.post(s.fronts[i%entryCount], fmt.Sprint("entry ", i%entryCount), newID(), job(2, 1600, 200), 1500)
			if r.status == http.StatusOK {
				t.served.Add(1)
			}
		}()
		time.Sleep(50 * time.Millisecond)
	}
	group.Wait()
	s.record.write("%s: %d of %d requests were served", name, t.served.Load(), t.sent.Load())
	return &t
}

// deafAgents sends each executor's agent one ping of another writer.
func deafAgents(s *site, trouble bool) error {
	s.operate()
	if err := s.start(func(int, *executor) {}); err != nil {
		return err
	}
	before := s.count("before")
	if before.served.Load()*4 < before.sent.Load() {
		return fmt.Errorf("%w: too little was served before the disruption", errNotRun)
	}
	if trouble {
		for _, e := range s.executors {
			e.foreignPing(100_000)
		}
	}
	time.Sleep(recoverTime)
	for _, e := range s.executors {
		s.record.write("executor %s: its ping with seq %d was answered %d", e.id, e.seq.Load(), e.lastStatus.Load())
	}
	after := s.count("from 12 s after the pings")
	if after.served.Load()*4 < after.sent.Load() {
		s.record.broken("RECOVER: %d of %d requests sent later than %v after the pings were served, %d of %d before them",
			after.served.Load(), after.sent.Load(), recoverTime, before.served.Load(), before.sent.Load())
	}
	return nil
}

const (
	// unreadRounds bounds the rounds of cancelUnread, unreadJobs the jobs in each.
	unreadRounds = 10
	unreadJobs   = 12
	// freezeTime is how long an entry stands still; the site file freezes for up to 4 s.
	freezeTime = 450 * time.Millisecond
)

// cancelUnread cancels jobs that were sent to an entry which stands still, and which has
// not read them.
func cancelUnread(s *site, trouble bool) error {
	s.operate()
	if err := s.start(func(int, *executor) {}); err != nil {
		return err
	}
	for round := range unreadRounds {
		if err := s.unreadRound(round%entryCount, trouble); err != nil || s.record.count() > 0 {
			return err
		}
	}
	return nil
}

func (s *site) unreadRound(frozen int, trouble bool) error {
	other := (frozen + 1) % entryCount
	conns := make([]*connection, unreadJobs)
	for i := range conns {
		conn, err := dial(s.fronts[frozen])
		if err != nil {
			return fmt.Errorf("%w: %w", errNotRun, err)
		}
		defer conn.Close()
		if r := conn.exchange(http.MethodGet, host, prefix, "", 1500, time.Second); r.status != http.StatusOK {
			return fmt.Errorf("%w: GET was answered %d %s", errNotRun, r.status, errText(r.err))
		}
		conns[i] = conn
	}
	if trouble {
		s.entries[frozen].signal(syscall.SIGSTOP)
		s.record.write("entry %d stands still", frozen)
	}
	thaw := time.Now().Add(freezeTime)
	ids := make([]string, unreadJobs)
	for i, conn := range conns {
		ids[i] = newID()
		s.record.write("client: POST %s at entry %d, on an open connection", ids[i], frozen)
		go func() {
			r := conn.exchange(http.MethodPost, host, prefix+ids[i], job(1, 1600, int(longTask.Milliseconds())), patientMS, patientMS*time.Millisecond)
			s.record.write("client: POST %s at entry %d: answered %d %s %s", ids[i], frozen, r.status, r.body, errText(r.err))
		}()
	}
	time.Sleep(150 * time.Millisecond)
	answers := make([]result, unreadJobs)
	var group sync.WaitGroup
	for i, id := range ids {
		group.Add(1)
		go func() {
			defer group.Done()
			r := request(s.fronts[other], http.MethodDelete, host, prefix+id, "", 1500, 4*time.Second)
			s.record.write("client: DELETE %s at entry %d sent at %s: answered %d after %v %s",
				id, other, s.record.at(r.sentAt), r.status, r.endedAt.Sub(r.sentAt), errText(r.err))
			answers[i] = r
		}()
	}
	time.Sleep(time.Until(thaw))
	if trouble {
		s.entries[frozen].signal(syscall.SIGCONT)
		s.record.write("entry %d goes on", frozen)
	}
	group.Wait()
	// contact_ms after the freeze all machines are in touch, and in the calm cancel_ms and
	// stop_ms after that the tasks have to end. 50 ms more are for the delays of this process.
	time.Sleep(time.Until(time.Now().Add(contactTime + cancelBound + stopBound + 50*time.Millisecond)))
	for i, id := range ids {
		acked := answers[i].status == http.StatusOK || answers[i].status == http.StatusGone
		if left := s.workers(id); acked && len(left) > 0 {
			s.record.broken("UNASKED: the DELETE of %s was answered %d, and %v later this runs on: %v",
				id, answers[i].status, time.Since(answers[i].endedAt), left)
		}
	}
	return nil
}

// drainIgnored lets an executor drain after its agent has got pings of another writer.
func drainIgnored(s *site, trouble bool) error {
	s.operate()
	err := s.start(func(_ int, e *executor) {
		e.onStart = func(e *executor, task string, _ int) {
			acked := e.drainAckedAt.Load()
			if late := time.Since(time.Unix(0, acked)); acked != 0 && late > drainBound {
				s.record.broken("DRAIN: %s starts on %s %v after its ping that says draining was acknowledged", task, e.id, late)
			}
		}
	})
	if err != nil {
		return err
	}
	stop := make(chan struct{})
	go s.load(stop, 100*time.Millisecond, job(8, 1600, 900))
	time.Sleep(4 * time.Second)
	e := s.executors[0]
	for i := range 3 {
		if trouble {
			e.foreignPing(int64(100_000 + i))
		}
		if i < 2 {
			time.Sleep(heartbeat)
		}
	}
	time.Sleep(500 * time.Millisecond)
	e.state.Store("draining")
	if status := e.ping(); status != http.StatusOK {
		return fmt.Errorf("%w: the draining ping was answered %d", errNotRun, status)
	}
	time.Sleep(8 * time.Second)
	close(stop)
	time.Sleep(2 * time.Second)
	return nil
}

const (
	// openConnections is how many connections clients have open to each entry.
	openConnections = 120
	// roll_term: by default all machines, one at a time, each 1 s. The site file has gaps of
	// 1.1 s and 1.3 s; this is the longer one.
	rolledEntries = 4
	rollGap       = 1300 * time.Millisecond
)

// drainCancel stops the entries one after the other, while clients cancel jobs.
func drainCancel(s *site, trouble bool) error {
	s.operate()
	err := s.start(func(_ int, e *executor) { e.taskCPU = 200 })
	if err != nil {
		return err
	}
	var mu sync.Mutex
	// running holds the jobs that were sent to each entry and that nobody has cancelled.
	running := make([][]string, entryCount)
	stopped := make([]time.Time, entryCount)
	stop := make(chan struct{})
	var group sync.WaitGroup
	everyEntry := func(pause time.Duration, act func(i int)) {
		for i := range entryCount {
			group.Add(1)
			go func() {
				defer group.Done()
				for {
					select {
					case <-stop:
						return
					case <-time.After(pause):
						act(i)
					}
				}
			}()
		}
	}
	// A client keeps its connections open; an entry that stops still answers on them.
	pools := make([]chan *connection, entryCount)
	for i := range pools {
		pools[i] = make(chan *connection, openConnections)
		for range openConnections {
			conn, err := dial(s.fronts[i])
			if err != nil {
				return fmt.Errorf("%w: %w", errNotRun, err)
			}
			if r := conn.exchange(http.MethodGet, host, prefix, "", 1500, time.Second); r.status != http.StatusOK {
				return fmt.Errorf("%w: GET was answered %d %s", errNotRun, r.status, errText(r.err))
			}
			pools[i] <- conn
		}
	}
	everyEntry(90*time.Millisecond, func(i int) {
		if mu.Lock(); !stopped[i].IsZero() {
			mu.Unlock()
			return
		}
		id := newID()
		running[i] = append(running[i], id)
		mu.Unlock()
		go s.post(s.fronts[i], fmt.Sprint("entry ", i), id, job(1, 200, int(longTask.Milliseconds())), patientMS)
	})
	time.Sleep(6 * time.Second)
	everyEntry(100*time.Millisecond, func(i int) {
		mu.Lock()
		at, id := -1, ""
		for k := 1; k < entryCount && at < 0; k++ {
			if other := (i + k) % entryCount; len(running[other]) > 3 {
				at, id = other, running[other][0]
				running[other] = running[other][1:]
			}
		}
		mu.Unlock()
		if at < 0 {
			return
		}
		select {
		case conn := <-pools[i]:
			go s.cancelOn(conn, pools[i], i, at, id, &mu, stopped)
		default:
		}
	})
	time.Sleep(time.Second)
	for i, p := range s.entries[:rolledEntries] {
		if trouble {
			go s.roll(i, p, &mu, stopped)
		}
		time.Sleep(rollGap)
	}
	time.Sleep(gracePeriod + 2*time.Second)
	close(stop)
	group.Wait()
	time.Sleep(2 * time.Second)
	return nil
}

// roll stops an entry as the platform does, and starts it again after a short delay.
func (s *site) roll(i int, p *process, mu *sync.Mutex, stopped []time.Time) {
	mu.Lock()
	stopped[i] = time.Now()
	mu.Unlock()
	s.record.write("platform: SIGTERM of entry %d", i)
	p.signal(syscall.SIGTERM)
	ended := p.end()
	select {
	case <-ended:
		s.record.write("platform: entry %d has ended, %v after the SIGTERM", i, time.Since(stopped[i]))
	case <-time.After(gracePeriod):
		s.record.write("platform: entry %d hasn't ended within grace_s: SIGKILL", i)
		p.signal(syscall.SIGKILL)
		<-ended
	}
	time.Sleep(time.Second)
	if err := p.start(); err != nil {
		s.record.write("platform: entry %d couldn't be started: %v", i, err)
		return
	}
	s.record.write("platform: entry %d is started again", i)
}

// cancelOn cancels a job on an open connection and checks that it is answered.
func (s *site) cancelOn(conn *connection, pool chan *connection, entry, at int, id string, mu *sync.Mutex, stopped []time.Time) {
	r := conn.exchange(http.MethodDelete, host, prefix+id, "", 1500, 5*time.Second)
	took := r.endedAt.Sub(r.sentAt)
	s.record.write("client: DELETE %s (taken by entry %d) on an open connection of entry %d, sent at %s: answered %d after %v %s",
		id, at, entry, s.record.at(r.sentAt), r.status, took, errText(r.err))
	if r.status != 0 && !r.closes {
		pool <- conn
		return
	}
	defer conn.Close()
	mu.Lock()
	since := stopped[entry]
	mu.Unlock()
	planned := !since.IsZero() && r.endedAt.After(since) && r.endedAt.Before(since.Add(gracePeriod+time.Second))
	if r.status == 0 && planned && took > lossSlack && took < routeTimeout {
		s.record.broken("LOST: entry %d got a SIGTERM at %s; the connection of DELETE %s, sent %v later, ended without an answer after %v",
			entry, s.record.at(since), id, r.sentAt.Sub(since), took)
	}
}

// cancelCopied cancels jobs right after their 2xx answers, and lets a copy of each job's
// request arrive at another entry seconds after the answer.
func cancelCopied(s *site, trouble bool) error {
	s.operate()
	if err := s.start(func(int, *executor) {}); err != nil {
		return err
	}
	return each(entryCount, func(i int) error {
		other := (i + 1) % entryCount
		id, body := newID(), job(2, 1600, 900)
		if r := s.post(s.fronts[i], fmt.Sprint("entry ", i), id, body, 3000); r.status != http.StatusOK {
			return fmt.Errorf("%w: the POST was answered %d", errNotRun, r.status)
		}
		time.Sleep(100 * time.Millisecond)
		if err := s.cancelAndCheck(i, id); err != nil {
			return err
		}
		time.Sleep(time.Second)
		if trouble {
			go s.post(s.fronts[other], fmt.Sprint("entry ", other, " (a copy)"), id, body, 3000)
		}
		time.Sleep(500 * time.Millisecond)
		if left := s.workers(id); len(left) > 0 {
			s.record.broken("UNASKED: the cancelling of %s was acknowledged more than %v ago, and these are started: %v", id, cancelBound, left)
		}
		return nil
	})
}
