// Package tracer tells the story of one job from the logs of all processes: its lines in order
// of time, what the clocks of the hosts show, and the cause of its outcome.
package tracer

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/report/collector"
)

// maxLines bounds the kept lines of a job.
const maxLines = 20_000

// Story collects the lines of one job. It implements collector.Sink.
type Story struct {
	ID string

	Lines []collector.Line
	// Left counts the lines of the job beyond maxLines.
	Left int
	Bad  int
	// processes are all processes that have logged anything.
	processes map[string]bool
}

// Add implements collector.Sink.
func (s *Story) Add(line *collector.Line) {
	if s.processes == nil {
		s.processes = make(map[string]bool)
	}
	s.processes[line.Process] = true
	if !line.Concerns(s.ID) {
		return
	}
	if len(s.Lines) >= maxLines {
		s.Left++
		return
	}
	s.Lines = append(s.Lines, *line)
}

// AddBad implements collector.Sink.
func (s *Story) AddBad(string, error) { s.Bad++ }

// taskKey identifies one attempt of one task.
type taskKey struct {
	task    string
	attempt int
}

// ClockOffsets returns, for each process whose lines contradict the order of messages, by
// how much its clock is behind the others at least. A task starts after it was placed, and
// its entry answers after it has ended.
func (s *Story) ClockOffsets() map[string]time.Duration {
	placed := map[taskKey]time.Time{}
	offsets := map[string]time.Duration{}
	for i := range s.Lines {
		if l := &s.Lines[i]; isPlacement(l) {
			placed[taskKey{string(l.Task), l.Attempt}] = l.Time
		}
	}
	for i := range s.Lines {
		l := &s.Lines[i]
		at, known := placed[taskKey{string(l.Task), l.Attempt}]
		if !known || l.Message != "decision" || l.Kind != "start" {
			continue
		}
		if behind := at.Sub(l.Time); behind >= offsets[l.Process] && behind > 0 {
			// One nanosecond more, so that the start is sorted behind its placement.
			offsets[l.Process] = behind + 1
		}
	}
	return offsets
}

func isPlacement(l *collector.Line) bool {
	return l.Message == "decision" && (l.Kind == "place" || l.Kind == "place_again")
}

// Write prints the story.
func (s *Story) Write(w io.Writer) error {
	offsets := s.ClockOffsets()
	slices.SortStableFunc(s.Lines, func(a, b collector.Line) int {
		return a.Time.Add(offsets[a.Process]).Compare(b.Time.Add(offsets[b.Process]))
	})
	var text strings.Builder
	fmt.Fprintf(&text, "job %s: %d lines of %d processes\n", s.ID, len(s.Lines), len(s.involved()))
	for _, process := range collector.SortedKeys(offsets) {
		fmt.Fprintf(&text, "the clock of %s is at least %s behind; its times are moved by that\n", process, offsets[process])
	}
	if s.Bad > 0 {
		fmt.Fprintf(&text, "%d lines could not be decoded\n", s.Bad)
	}
	if s.Left > 0 {
		fmt.Fprintf(&text, "%d more lines are left out\n", s.Left)
	}
	for i := range s.Lines {
		l := &s.Lines[i]
		at := l.Time.Add(offsets[l.Process])
		fmt.Fprintf(&text, "%s %+9.3fs %-20s %s\n", at.Format("15:04:05.000"), at.Sub(s.begin(offsets)).Seconds(), l.Process, describe(l))
	}
	fmt.Fprintf(&text, "cause: %s\n", s.Cause())
	_, err := io.WriteString(w, text.String())
	return err
}

func (s *Story) begin(offsets map[string]time.Duration) time.Time {
	return s.Lines[0].Time.Add(offsets[s.Lines[0].Process])
}

func (s *Story) involved() map[string]bool {
	involved := map[string]bool{}
	for i := range s.Lines {
		involved[s.Lines[i].Process] = true
	}
	return involved
}

// describe renders what a line says.
func describe(l *collector.Line) string {
	parts := []string{l.Message}
	add := func(name, value string) {
		if value != "" && value != "0" && value != "0s" {
			parts = append(parts, name+"="+value)
		}
	}
	add("kind", l.Kind)
	add("task", strings.Trim(string(l.Task), `"`))
	add("attempt", fmt.Sprint(l.Attempt))
	add("endpoint", l.Endpoint)
	add("owner", l.Owner)
	add("state", l.State)
	add("reason", l.Reason)
	add("considered", fmt.Sprint(l.Considered))
	add("runner_up", l.RunnerUp)
	add("status", fmt.Sprint(l.Status))
	add("outcome", strings.TrimSuffix(l.Outcome, ": "))
	add("run_time", l.RunTime.String())
	add("after", l.After.String())
	add("retry_after", l.RetryAfter.String())
	return strings.Join(parts, " ")
}

// Cause returns the reason for the job's outcome in one line, or which process's log is
// missing.
func (s *Story) Cause() string {
	if len(s.Lines) == 0 {
		return "no line names the job: it was not submitted, or the log of its entry is missing"
	}
	if missing := s.missing(); len(missing) > 0 {
		return "unknown: the log of " + strings.Join(missing, ", ") + " is missing"
	}
	var answered, gaveUp, left *collector.Line
	for i := range s.Lines {
		l := &s.Lines[i]
		switch {
		case l.Message == "answered":
			answered = l
		case l.Message == "decision" && l.Kind == "give_up" && gaveUp == nil:
			gaveUp = l
		case l.Message == "caller closed the connection before the answer":
			left = l
		}
	}
	switch {
	case answered != nil && answered.Status == 200:
		return fmt.Sprintf("%s after %s; %s", strings.TrimSuffix(answered.Outcome, ": "), answered.After, s.slowest())
	case gaveUp != nil:
		return fmt.Sprintf("given up by %s: %s; %s", gaveUp.Process, gaveUp.Reason, s.troubles())
	case answered != nil:
		return fmt.Sprintf("answered with %d by %s: %s", answered.Status, answered.Process, answered.Outcome)
	case left != nil:
		return fmt.Sprintf("the caller left %s after %s; %s", left.Process, left.After, s.slowest())
	}
	last := &s.Lines[len(s.Lines)-1]
	return fmt.Sprintf("no answer is logged; the last line is from %s: %s", last.Process, describe(last))
}

// missing returns the processes that the job's lines name and that have logged nothing.
func (s *Story) missing() []string {
	missing := map[string]bool{}
	for i := range s.Lines {
		l := &s.Lines[i]
		names := []string{processOf(l.Owner)}
		if isPlacement(l) {
			names = append(names, l.Endpoint)
		}
		for _, name := range names {
			if name != "" && !s.processes[name] {
				missing[name] = true
			}
		}
	}
	return collector.SortedKeys(missing)
}

// processOf returns the name in an incarnation, name~suffix.
func processOf(incarnation string) string {
	name, _, _ := strings.Cut(incarnation, "~")
	return name
}

// slowest describes the run that took longest.
func (s *Story) slowest() string {
	var longest *collector.Line
	for i := range s.Lines {
		if l := &s.Lines[i]; l.Message == "run ended" && (longest == nil || l.RunTime > longest.RunTime) {
			longest = l
		}
	}
	if longest == nil {
		return "no run is logged"
	}
	return fmt.Sprintf("the longest run took %s at %s (%s), attempts after the first: %d",
		longest.RunTime, longest.Process, longest.State, s.attemptsAgain())
}

func (s *Story) attemptsAgain() int {
	again := 0
	for i := range s.Lines {
		if l := &s.Lines[i]; l.Message == "decision" && l.Kind == "place_again" {
			again++
		}
	}
	return again
}

// troubles describes the first run or start that did not succeed.
func (s *Story) troubles() string {
	for i := range s.Lines {
		l := &s.Lines[i]
		switch {
		case l.Message == "run ended" && l.State != "succeeded",
			l.Message == "decision" && l.Kind == "refuse",
			l.Message == "decision" && l.Kind == "overdue",
			l.Message == "start was not carried out in time; stopping the run":
			return "first trouble: " + l.Process + " " + describe(l)
		}
	}
	return "no run of it has failed"
}
