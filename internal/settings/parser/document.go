package parser

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"sort"
	"strings"

	"github.com/tailscale/hujson"
)

// maxDepth bounds the nesting of a document. The syntax parser recurses without
// a bound, and a request body of brackets alone would exhaust the stack. The
// settings tree nests 10 deep.
const maxDepth = 32

// document is a settings document being parsed: its text, the offsets of its values
// and the findings so far.
type document struct {
	source string
	data   []byte
	// lineStarts are the offsets of the first byte of each line.
	lineStarts []int
	// level returns the level of a path; it is nil for process settings.
	level func(path) Level

	// values and names are the offsets of the values and of their keys.
	values map[path]int
	names  map[path]int
	// broken holds the paths of values that already have a finding. Further checks
	// of such a value would only report consequences of the first error.
	broken   map[path]bool
	findings []Finding
}

func newDocument(source string, data []byte, level func(path) Level) *document {
	// The syntax parser requires a line break after a line comment, even at the end
	// of the document.
	data = append(slices.Clone(data), '\n')
	starts := []int{0}
	for i, char := range data {
		if char == '\n' {
			starts = append(starts, i+1)
		}
	}
	return &document{
		source:     source,
		data:       data,
		lineStarts: starts,
		level:      level,
		values:     map[path]int{},
		names:      map[path]int{},
		broken:     map[path]bool{},
	}
}

// parse returns the syntax tree, and false after a syntax error.
func (d *document) parse() (hujson.Value, bool) {
	if offset := tooDeep(d.data); offset >= 0 {
		d.reportAt(offset, "", fmt.Sprintf("nested more than %d deep", maxDepth))
		return hujson.Value{}, false
	}
	value, err := hujson.Parse(d.data)
	if err != nil {
		d.syntaxError(err)
		return hujson.Value{}, false
	}
	return value, true
}

func (d *document) syntaxError(err error) {
	line, column := 1, 1
	if _, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &line, &column); scanErr != nil {
		line, column = 1, 1
	}
	message := err.Error()
	if inner := errors.Unwrap(err); inner != nil {
		message = inner.Error()
	}
	// The literal itself is left out, because it may be a secret.
	if strings.HasPrefix(message, "invalid literal") {
		message = "invalid literal"
	}
	finding := Finding{Source: d.source, Line: line, Column: column, Message: "syntax error: " + message}
	d.findings = append(d.findings, finding)
}

// tooDeep returns the offset of the first bracket nested more than maxDepth
// deep, or -1.
func tooDeep(data []byte) int {
	depth := 0
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		case '"':
			i += stringLength(data[i:]) - 1
		case '/':
			i += commentLength(data[i:]) - 1
		}
		if depth > maxDepth {
			return i
		}
	}
	return -1
}

// stringLength returns the length of the string literal that data starts with.
func stringLength(data []byte) int {
	for i := 1; i < len(data); i++ {
		switch data[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return len(data)
}

// commentLength returns the length of the comment that data starts with, or 1 if
// data does not start with a comment.
func commentLength(data []byte) int {
	for _, form := range []struct{ start, end string }{{"//", "\n"}, {"/*", "*/"}} {
		body, ok := bytes.CutPrefix(data, []byte(form.start))
		if !ok {
			continue
		}
		end := bytes.Index(body, []byte(form.end))
		if end < 0 {
			return len(data)
		}
		return len(form.start) + end + len(form.end)
	}
	return 1
}

func (d *document) position(offset int) (line, column int) {
	line = sort.SearchInts(d.lineStarts, offset+1)
	return line, offset - d.lineStarts[line-1] + 1
}

func (d *document) reportAt(offset int, at path, message string) {
	line, column := d.position(offset)
	finding := Finding{Source: d.source, Path: string(at), Line: line, Column: column, Message: message}
	if d.level != nil {
		finding.Level = d.level(at)
	}
	d.findings = append(d.findings, finding)
}

// report adds a finding about the value at a path and marks the value as broken.
// An absent value is located at its innermost enclosing object that is present.
func (d *document) report(at path, message string) {
	if d.isBroken(at) {
		return
	}
	d.broken[at] = true
	d.reportAt(d.offset(at), at, message)
}

// reportName adds a finding about the key of the value at a path.
func (d *document) reportName(at path, message string) {
	d.reportAt(d.names[at], at, message)
}

// isBroken reports whether a value, or an object that contains it, has a finding.
func (d *document) isBroken(at path) bool {
	for ; at != ""; at = at.parent() {
		if d.broken[at] {
			return true
		}
	}
	return d.broken[""]
}

func (d *document) offset(at path) int {
	for ; at != ""; at = at.parent() {
		if offset, ok := d.values[at]; ok {
			return offset
		}
	}
	return d.values[""]
}
