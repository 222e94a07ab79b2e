// Package recorder writes the input events of an entry's decision code as JSON
// lines, and reads them back. A trace holds no secrets: key hashes are left out,
// and payloads and results are replaced by zero bytes of the same length, since
// decisions depend only on their size.
package recorder

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/coordinator"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// formatVersion is the version of the trace format. It is written into the header
// and checked when a trace is read.
const formatVersion = 1

// maxLineBytes is the maximum length of a trace line. It is enough for a job of 210
// tasks with the largest payloads, in base64.
const maxLineBytes = 128 << 20

// Header is the first line of a trace.
type Header struct {
	FormatVersion int                   `json:"format_version"`
	Role          messenger.Role        `json:"role"`
	Name          string                `json:"name"`
	Incarnation   messenger.Incarnation `json:"incarnation"`
	Address       string                `json:"address,omitempty"`
	// Seed is the seed of the decision code's random source.
	Seed uint64 `json:"seed"`
}

// Line is a trace line: one event and the time at which it was handled.
type Line struct {
	At time.Time `json:"at"`
	Typed
}

// ErrFull is returned when the next line would exceed the size limit of the trace.
var ErrFull = errors.New("the trace has reached its size limit")

// Recorder writes a trace. Its exported fields must be set before the first write.
// A Recorder is not safe for concurrent use.
type Recorder struct {
	Writer io.Writer
	// MaxBytes is the maximum size of the trace; 0 means no limit.
	MaxBytes int64

	written int64
	full    bool
}

// Start writes the header.
func (r *Recorder) Start(header Header) error {
	header.FormatVersion = formatVersion
	return r.write(header)
}

// Record writes one event of an entry. Once the size limit is reached, Record writes
// nothing more and returns ErrFull, so that a trace never has a gap.
func (r *Recorder) Record(at time.Time, event coordinator.Event) error {
	typed, err := EncodeEvent(redact(event))
	if err != nil {
		return err
	}
	return r.write(Line{At: at, Typed: typed})
}

func (r *Recorder) write(value any) error {
	if r.full {
		return ErrFull
	}
	line, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("encode trace line: %w", err)
	}
	line = append(line, '\n')
	if r.MaxBytes > 0 && r.written+int64(len(line)) > r.MaxBytes {
		r.full = true
		return ErrFull
	}
	n, err := r.Writer.Write(line)
	r.written += int64(n)
	if err != nil {
		r.full = true
		return fmt.Errorf("write trace: %w", err)
	}
	return nil
}

// Reader reads a trace.
type Reader struct {
	scanner    *bufio.Scanner
	lineNumber int
}

// NewReader returns a reader of the events of a trace, and the trace's header.
func NewReader(source io.Reader) (*Reader, Header, error) {
	r := &Reader{scanner: bufio.NewScanner(source)}
	r.scanner.Buffer(nil, maxLineBytes)
	var header Header
	if err := r.next(&header); err != nil {
		return nil, Header{}, fmt.Errorf("read trace header: %w", err)
	}
	if header.FormatVersion != formatVersion {
		return nil, Header{}, fmt.Errorf("trace format version %d, want %d", header.FormatVersion, formatVersion)
	}
	return r, header, nil
}

// Next returns the next event and its time, or io.EOF at the end of the trace.
func (r *Reader) Next() (time.Time, coordinator.Event, error) {
	var line Line
	if err := r.next(&line); err != nil {
		return time.Time{}, nil, err
	}
	event, err := DecodeEvent(line.Typed)
	if err != nil {
		return time.Time{}, nil, fmt.Errorf("line %d: %w", r.lineNumber, err)
	}
	return line.At, event, nil
}

// LineNumber returns the number of the line that was read last; the header is line 1.
func (r *Reader) LineNumber() int {
	return r.lineNumber
}

func (r *Reader) next(target any) error {
	if !r.scanner.Scan() {
		if err := r.scanner.Err(); err != nil {
			return fmt.Errorf("line %d: %w", r.lineNumber+1, err)
		}
		return io.EOF
	}
	r.lineNumber++
	if err := json.Unmarshal(r.scanner.Bytes(), target); err != nil {
		return fmt.Errorf("line %d: %w", r.lineNumber, err)
	}
	return nil
}
