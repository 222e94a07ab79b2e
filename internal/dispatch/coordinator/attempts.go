package coordinator

import "time"

// attemptMemory is how long the attempt numbers of an ended volatile job are kept. It exceeds
// the time for which agents keep records of volatile tasks, 10 s.
const attemptMemory = 15 * time.Second

// usedAttempts are the attempt numbers that an ended job has used.
type usedAttempts struct {
	// next is above all of them.
	next int
	at   time.Time
}

// rememberAttempts keeps the attempt numbers of a job that is removed. If its caller submits it
// again, agents may still have records of its tasks, and take lower numbers for late copies.
func (s *State) rememberAttempts(j *job) {
	next := j.firstAttempt
	for i := range j.tasks {
		next = max(next, j.tasks[i].attempt+1)
	}
	s.usedAttempts[j.submission.Key] = usedAttempts{next: next, at: s.now}
}

func (s *State) forgetAttempts() {
	for key, used := range s.usedAttempts {
		if s.now.Sub(used.at) > attemptMemory {
			delete(s.usedAttempts, key)
		}
	}
}
