// Package collector reads the structured logs of entries and agents and aggregates them.
// The memory that it uses depends on the length of the logged time and on the number of
// queues and processes, not on the number of lines.
package collector

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"
)

// Line is a line of a log. Fields that a line does not have are zero.
type Line struct {
	Time    time.Time
	Process string
	Message string

	ID         string
	Submission string
	Queue      string
	Status     int
	Outcome    string
	// After is the time from the request to its answer, RetryAfter what the caller was told.
	After      time.Duration
	RetryAfter time.Duration
	Kind       string
	Task       json.RawMessage
	Attempt    int
	Endpoint   string
	Owner      string
	Reason     string
	State      string
	RunTime    time.Duration
	// Version is the version of the settings.
	Version     uint64
	Incarnation string
	Peer        string
	Considered  int
	RunnerUp    string
	// Text is the line as it was read.
	Text string
}

// rawLine has the names of the log's fields. Durations are in seconds.
type rawLine struct {
	Time        string          `json:"ts"`
	Message     string          `json:"msg"`
	ID          string          `json:"id"`
	Submission  string          `json:"submission"`
	Queue       string          `json:"queue"`
	Status      json.RawMessage `json:"status"`
	Outcome     string          `json:"outcome"`
	After       json.RawMessage `json:"after"`
	RetryAfter  json.RawMessage `json:"retry_after"`
	Kind        string          `json:"kind"`
	Task        json.RawMessage `json:"task"`
	Attempt     int             `json:"attempt"`
	Endpoint    string          `json:"endpoint"`
	Owner       string          `json:"owner"`
	Reason      string          `json:"reason"`
	State       string          `json:"state"`
	RunTime     json.RawMessage `json:"run_time"`
	Version     json.RawMessage `json:"version"`
	Incarnation string          `json:"incarnation"`
	Peer        string          `json:"peer"`
	Considered  int             `json:"considered"`
	RunnerUp    string          `json:"runner_up"`
}

var errNoObject = errors.New("the line holds no JSON object")

// parseLine decodes a line of a log. If words stand before the JSON object, the last one is
// the name of the process: logs of several processes may have been joined in one file.
func parseLine(process string, text []byte) (Line, error) {
	begin := bytes.IndexByte(text, '{')
	if begin < 0 {
		return Line{}, errNoObject
	}
	if words := bytes.Fields(text[:begin]); len(words) > 0 {
		process = string(words[len(words)-1])
	}
	var raw rawLine
	if err := json.Unmarshal(text[begin:], &raw); err != nil {
		return Line{}, fmt.Errorf("decode line: %w", err)
	}
	at, err := time.Parse(time.RFC3339Nano, raw.Time)
	if err != nil {
		return Line{}, fmt.Errorf("decode the time of a line: %w", err)
	}
	if raw.Message == "" {
		return Line{}, errors.New("the line has no message")
	}
	return Line{
		Time: at, Process: process, Message: raw.Message, ID: raw.ID, Submission: raw.Submission, Queue: raw.Queue,
		Status: int(number(raw.Status)), Outcome: raw.Outcome, After: seconds(raw.After), RetryAfter: seconds(raw.RetryAfter),
		Kind: raw.Kind, Task: raw.Task, Attempt: raw.Attempt, Endpoint: raw.Endpoint, Owner: raw.Owner, Reason: raw.Reason,
		State: raw.State, RunTime: seconds(raw.RunTime), Version: uint64(number(raw.Version)), Incarnation: raw.Incarnation,
		Peer: raw.Peer, Considered: raw.Considered, RunnerUp: raw.RunnerUp, Text: string(text[begin:]),
	}, nil
}

// number returns the number in a field, or zero: fields of one name differ in type between
// messages.
func number(field json.RawMessage) float64 {
	var n float64
	if json.Unmarshal(field, &n) != nil || n < 0 {
		return 0
	}
	return n
}

func seconds(field json.RawMessage) time.Duration {
	return time.Duration(number(field) * float64(time.Second))
}

// Concerns reports whether a line belongs to a job.
func (l *Line) Concerns(id string) bool {
	return l.ID == id || strings.Contains(l.Submission, id) || strings.Contains(string(l.Task), id)
}
