package collector

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"runtime"

	"github.com/klauspost/compress/zstd"
	"golang.org/x/sync/errgroup"
)

const (
	// maxLineBytes bounds a line. A longer one is counted as bad and skipped.
	maxLineBytes = 1 << 20
	// batchBytes is the size at which lines are passed on to be decoded.
	batchBytes = 256 << 10
	// zstdWindowBytes bounds the memory for decompression.
	zstdWindowBytes = 64 << 20
)

var zstdMagic = []byte{0x28, 0xb5, 0x2f, 0xfd}

// Sink receives the decoded lines of one log in their order.
type Sink interface {
	// Add is called for each line, from one goroutine at a time.
	Add(line *Line)
	// AddBad is called for each line that could not be decoded.
	AddBad(text string, err error)
}

// Collector decodes logs. Its fields are set before the first call of Read.
type Collector struct {
	Sink Sink
}

// batch holds lines, separated by newlines, and then what they decode to.
type batch struct {
	text    []byte
	decoded chan []decodedLine
}

type decodedLine struct {
	line Line
	err  error
	text string
}

// Read passes the lines of one log to the sink. process is the name of the process for lines
// that do not name one. The log may be compressed with zstd.
func (c *Collector) Read(ctx context.Context, process string, log io.Reader) error {
	input := bufio.NewReaderSize(log, batchBytes)
	if magic, err := input.Peek(len(zstdMagic)); err == nil && bytes.Equal(magic, zstdMagic) {
		decoder, err := zstd.NewReader(input, zstd.WithDecoderMaxWindow(zstdWindowBytes))
		if err != nil {
			return fmt.Errorf("read zstd: %w", err)
		}
		defer decoder.Close()
		input = bufio.NewReaderSize(decoder, batchBytes)
	}
	workers := runtime.GOMAXPROCS(0)
	work := make(chan *batch, workers)
	ordered := make(chan *batch, workers)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		defer close(work)
		defer close(ordered)
		return split(ctx, input, work, ordered)
	})
	for range workers {
		group.Go(func() error {
			for b := range work {
				b.decoded <- decode(process, b.text)
			}
			return nil
		})
	}
	group.Go(func() error {
		for b := range ordered {
			c.pass(<-b.decoded)
		}
		return nil
	})
	return group.Wait()
}

func (c *Collector) pass(lines []decodedLine) {
	for i := range lines {
		if lines[i].err != nil {
			c.Sink.AddBad(lines[i].text, lines[i].err)
			continue
		}
		c.Sink.Add(&lines[i].line)
	}
}

// split sends whole lines in batches to both channels.
func split(ctx context.Context, input *bufio.Reader, work, ordered chan<- *batch) error {
	var text []byte
	send := func() error {
		if len(text) == 0 {
			return nil
		}
		b := &batch{text: text, decoded: make(chan []decodedLine, 1)}
		text = nil
		for _, to := range []chan<- *batch{work, ordered} {
			select {
			case to <- b:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		return nil
	}
	for {
		line, err := readLine(input)
		text = append(text, line...)
		if err != nil || len(text) >= batchBytes {
			if sendErr := send(); sendErr != nil {
				return sendErr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read log: %w", err)
		}
	}
}

// readLine returns the next line with its newline. A line that is too long is cut.
func readLine(input *bufio.Reader) ([]byte, error) {
	var line []byte
	for {
		part, err := input.ReadSlice('\n')
		if len(line) < maxLineBytes {
			line = append(line, part...)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if len(line) >= maxLineBytes {
			line = append(line[:maxLineBytes-1], '\n')
		}
		if err != nil && len(line) > 0 && line[len(line)-1] != '\n' {
			line = append(line, '\n')
		}
		return line, err
	}
}

func decode(process string, text []byte) []decodedLine {
	lines := make([]decodedLine, 0, bytes.Count(text, []byte{'\n'}))
	for line := range bytes.Lines(text) {
		line = bytes.TrimSpace(line)
		if len(line) == 0 {
			continue
		}
		parsed, err := parseLine(process, line)
		d := decodedLine{line: parsed, err: err}
		if err != nil {
			d.text = string(line[:min(len(line), maxBadText)])
		}
		lines = append(lines, d)
	}
	return lines
}

// maxBadText bounds what is kept of a line that could not be decoded.
const maxBadText = 200
