package parser

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Level is the level of the settings tree that a finding belongs to. It is empty
// for findings outside any firm and for process settings.
type Level string

// The levels of the settings tree, outermost first.
const (
	LevelFirm          Level = "firm"
	LevelPlace         Level = "place"
	LevelFailureDomain Level = "failure_domain"
	LevelService       Level = "service"
)

// Finding is one error in a settings file and its location.
type Finding struct {
	// Source names the file or request that was parsed.
	Source string `json:"source"`
	Level  Level  `json:"level,omitempty"`
	// Path is the dotted path of the invalid value; it is empty for syntax errors.
	Path string `json:"path,omitempty"`
	// Line counts from 1.
	Line int `json:"line"`
	// Column counts bytes from 1.
	Column  int    `json:"column"`
	Message string `json:"message"`
}

// String returns the finding on one line: source:line:column: level path: message.
func (f Finding) String() string {
	text := fmt.Sprintf("%s:%d:%d: ", f.Source, f.Line, f.Column)
	if f.Level != "" {
		text += string(f.Level) + " "
	}
	if f.Path != "" {
		text += f.Path + ": "
	}
	return text + f.Message
}

// Error reports all findings of a settings file together.
type Error struct {
	Findings []Finding
}

// Error returns the findings, one per line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Findings))
	for i, finding := range e.Findings {
		lines[i] = finding.String()
	}
	return strings.Join(lines, "\n")
}

// Join returns the findings as an *Error, or nil if there are none.
func Join(findings []Finding) error {
	if len(findings) == 0 {
		return nil
	}
	return &Error{Findings: findings}
}

func sortFindings(findings []Finding) {
	slices.SortStableFunc(findings, func(a, b Finding) int {
		return cmp.Or(
			cmp.Compare(a.Line, b.Line),
			cmp.Compare(a.Column, b.Column),
			cmp.Compare(a.Path, b.Path),
			cmp.Compare(a.Message, b.Message),
		)
	})
}
