package linker

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

const (
	// frameLimit bounds one message. The largest is an outcome or a fence answer
	// with the results of many tasks.
	frameLimit = 16 << 20
	// retainLimit bounds the buffer that a reader keeps between frames, so that
	// one large message does not hold its memory for the life of the link.
	retainLimit = 64 << 10
)

var errFrameTooLarge = errors.New("frame exceeds the limit of 16 MiB")

// appendFrame appends the length and the data of one frame.
func appendFrame(buf, data []byte) []byte {
	buf = binary.AppendUvarint(buf, uint64(len(data)))
	return append(buf, data...)
}

// frameReader splits a stream into frames.
type frameReader struct {
	source *bufio.Reader
	small  []byte
}

func newFrameReader(source io.Reader) *frameReader {
	return &frameReader{source: bufio.NewReader(source)}
}

// next returns the data of the next frame. It is valid until the next call.
// The error is io.EOF only between frames.
func (r *frameReader) next() ([]byte, error) {
	size, err := binary.ReadUvarint(r.source)
	if err != nil {
		return nil, err
	}
	if size > frameLimit {
		return nil, fmt.Errorf("%w: %d bytes", errFrameTooLarge, size)
	}
	if size > retainLimit {
		return r.large(int64(size))
	}
	if int(size) > cap(r.small) {
		r.small = make([]byte, size)
	}
	data := r.small[:size]
	if _, err := io.ReadFull(r.source, data); err != nil {
		return nil, unexpected(err)
	}
	return data, nil
}

// large grows its buffer as data arrives, so that a length alone, without the
// data, costs the reader no memory.
func (r *frameReader) large(size int64) ([]byte, error) {
	var data bytes.Buffer
	if _, err := io.CopyN(&data, r.source, size); err != nil {
		return nil, unexpected(err)
	}
	return data.Bytes(), nil
}

func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
