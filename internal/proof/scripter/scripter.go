// Package scripter reads the test scripts of the decision code and of the driver.
//
// A script is a txtar archive. The first line of the archive's comment says which
// failure the script guards against. The file "script" holds one step per line: the
// time since the start, a verb, its arguments (words) and its named values
// (name=value). Indented lines are the expected results of the step above them. Lines
// that start with # are comments.
package scripter

import (
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/txtar"
)

const scriptFile = "script"

// Script is one test script.
type Script struct {
	Name string
	// Guards says which failure the script guards against.
	Guards string
	Steps  []Step
}

// Step is one line of a script with the indented lines of its expected results.
type Step struct {
	Line  int
	At    time.Duration
	Verb  string
	Words []string
	Named map[string]string
	Want  []string
}

// Each runs a subtest for each script whose path matches the pattern.
func Each(t *testing.T, pattern string, run func(t *testing.T, script Script)) {
	t.Helper()
	paths, err := filepath.Glob(pattern)
	if err != nil {
		t.Fatal(err)
	}
	if len(paths) == 0 {
		t.Fatalf("no script matches %s", pattern)
	}
	for _, path := range paths {
		script, err := Load(path)
		if err != nil {
			t.Fatal(err)
		}
		t.Run(script.Name, func(t *testing.T) {
			t.Parallel()
			run(t, script)
		})
	}
}

// Load reads a script.
func Load(path string) (Script, error) {
	archive, err := txtar.ParseFile(path)
	if err != nil {
		return Script{}, fmt.Errorf("read script: %w", err)
	}
	script, err := parse(archive)
	if err != nil {
		return Script{}, fmt.Errorf("script %s: %w", path, err)
	}
	script.Name = strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
	return script, nil
}

func parse(archive *txtar.Archive) (Script, error) {
	guards, _, _ := strings.Cut(string(archive.Comment), "\n")
	if !strings.HasPrefix(guards, "Guards against ") {
		return Script{}, errors.New("the first line must start with \"Guards against\"")
	}
	if len(archive.Files) != 1 || archive.Files[0].Name != scriptFile {
		return Script{}, errors.New("the archive must hold exactly one file, named script")
	}
	script := Script{Guards: guards}
	for i, line := range strings.Split(string(archive.Files[0].Data), "\n") {
		if err := script.parseLine(i+1, line); err != nil {
			return Script{}, fmt.Errorf("line %d: %w", i+1, err)
		}
	}
	return script, nil
}

func (s *Script) parseLine(number int, line string) error {
	text := strings.TrimSpace(line)
	switch {
	case text == "" || strings.HasPrefix(text, "#"):
		return nil
	case line[0] == ' ' || line[0] == '\t':
		if len(s.Steps) == 0 {
			return errors.New("expected result before the first step")
		}
		last := &s.Steps[len(s.Steps)-1]
		last.Want = append(last.Want, text)
		return nil
	}
	step, err := parseStep(strings.Fields(text))
	if err != nil {
		return err
	}
	step.Line = number
	s.Steps = append(s.Steps, step)
	return nil
}

func parseStep(fields []string) (Step, error) {
	if len(fields) < 2 {
		return Step{}, errors.New("a step needs a time and a verb")
	}
	at, err := time.ParseDuration(fields[0])
	if err != nil {
		return Step{}, fmt.Errorf("invalid time of step: %w", err)
	}
	step := Step{At: at, Verb: fields[1], Named: make(map[string]string)}
	for _, field := range fields[2:] {
		if name, value, named := strings.Cut(field, "="); named {
			step.Named[name] = value
			continue
		}
		step.Words = append(step.Words, field)
	}
	return step, nil
}

// Word returns the word at a position, or an empty string if there are fewer words.
func (s Step) Word(position int) string {
	if position >= len(s.Words) {
		return ""
	}
	return s.Words[position]
}

// Has reports whether one of the words is the flag.
func (s Step) Has(flag string) bool { return slices.Contains(s.Words, flag) }

// Text returns a named value, or the fallback if the step does not have it.
func (s Step) Text(name, fallback string) string {
	if value, ok := s.Named[name]; ok {
		return value
	}
	return fallback
}

// Int returns a named integer, or the fallback if the step does not have it.
func (s Step) Int(t *testing.T, name string, fallback int) int {
	t.Helper()
	value, ok := s.Named[name]
	if !ok {
		return fallback
	}
	number, err := strconv.Atoi(value)
	if err != nil {
		t.Fatalf("line %d: %s: %v", s.Line, name, err)
	}
	return number
}

// Float returns a named number, or the fallback if the step does not have it.
func (s Step) Float(t *testing.T, name string, fallback float64) float64 {
	t.Helper()
	value, ok := s.Named[name]
	if !ok {
		return fallback
	}
	number, err := strconv.ParseFloat(value, 64)
	if err != nil {
		t.Fatalf("line %d: %s: %v", s.Line, name, err)
	}
	return number
}

// Duration returns a named duration, or the fallback if the step does not have it.
func (s Step) Duration(t *testing.T, name string, fallback time.Duration) time.Duration {
	t.Helper()
	value, ok := s.Named[name]
	if !ok {
		return fallback
	}
	duration, err := time.ParseDuration(value)
	if err != nil {
		t.Fatalf("line %d: %s: %v", s.Line, name, err)
	}
	return duration
}
