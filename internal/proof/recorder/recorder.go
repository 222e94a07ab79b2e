// Package recorder writes the events that enter a process's decisions as JSON
// lines, and reads them back. A trace holds no secrets: key hashes are left out,
// and payloads and results are replaced by zero bytes of the same length, since
// decisions depend on their size only.
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

// formatVersion is written into the header and checked when a trace is read.
const formatVersion = 1

// maxLineBytes bounds one line of a trace: a job of 210 tasks with the largest
// payloads, in base64.
const maxLineBytes = 128 << 20

// Header is the first line of a trace.
type Header struct {
	FormatVersion int                   `json:"format_version"`
	Role          messenger.Role        `json:"role"`
	Name          string                `json:"name"`
	Incarnation   messenger.Incarnation `json:"incarnation"`
	Address       string                `json:"address,omitempty"`
	// Seed seeds the random source of the decisions.
	Seed uint64 `json:"seed"`
}

// Line is one event and the time at which it was handled.
type Line struct {
	At time.Time `json:"at"`
	Typed
}

// ErrFull means that the trace has reached its size bound.
var ErrFull = errors.New("the trace has reached its size bound")

// Recorder writes a trace. Its exported fields are set before the first write.
// It is used by one goroutine.
type Recorder struct {
	Writer io.Writer
	// MaxBytes bounds the trace; 0 means no bound.
	MaxBytes int64

	written int64
	full    bool
}

// Start writes the header.
func (r *Recorder) Start(header Header) error {
	header.FormatVersion = formatVersion
	return r.write(header)
}

// Record writes one event of an entry. Once the bound is reached it returns
// ErrFull and writes nothing more, so that a trace never has a gap.
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
	scanner *bufio.Scanner
	number  int
}

// NewReader reads the header of a trace.
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

// Next returns the next event, and io.EOF at the end.
func (r *Reader) Next() (time.Time, coordinator.Event, error) {
	var line Line
	if err := r.next(&line); err != nil {
		return time.Time{}, nil, err
	}
	event, err := DecodeEvent(line.Typed)
	if err != nil {
		return time.Time{}, nil, fmt.Errorf("line %d: %w", r.number, err)
	}
	return line.At, event, nil
}

// Number returns the number of the line read last, from 1.
func (r *Reader) Number() int {
	return r.number
}

func (r *Reader) next(target any) error {
	if !r.scanner.Scan() {
		if err := r.scanner.Err(); err != nil {
			return fmt.Errorf("line %d: %w", r.number+1, err)
		}
		return io.EOF
	}
	r.number++
	if err := json.Unmarshal(r.scanner.Bytes(), target); err != nil {
		return fmt.Errorf("line %d: %w", r.number, err)
	}
	return nil
}
