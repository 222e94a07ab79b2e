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
	// maxFrameBytes bounds the size of one message. The largest messages are outcomes
	// and fence answers with the results of many tasks.
	maxFrameBytes = 16 << 20
	// maxRetainedBytes bounds the buffer that a reader keeps between frames, so that
	// the memory of one large message is not retained until the link ends.
	maxRetainedBytes = 64 << 10
)

var errFrameTooLarge = errors.New("frame exceeds the limit")

// appendFrame appends one frame: the length of the data as a varint, and the data.
func appendFrame(buf, data []byte) []byte {
	buf = binary.AppendUvarint(buf, uint64(len(data)))
	return append(buf, data...)
}

// frameReader splits a stream into frames.
type frameReader struct {
	source *bufio.Reader
	// limit bounds the size of a frame.
	limit uint64
	// buffer is reused for frames of up to maxRetainedBytes.
	buffer []byte
}

func newFrameReader(source io.Reader) *frameReader {
	return &frameReader{source: bufio.NewReader(source), limit: maxFrameBytes}
}

// next returns the data of the next frame. The data is valid until the next call.
// The error is io.EOF only if the stream ends between two frames.
func (r *frameReader) next() ([]byte, error) {
	size, err := binary.ReadUvarint(r.source)
	if err != nil {
		return nil, err
	}
	if size > r.limit {
		return nil, fmt.Errorf("%w of %d bytes: %d bytes", errFrameTooLarge, r.limit, size)
	}
	if size > maxRetainedBytes {
		return r.readLarge(int64(size))
	}
	if int(size) > cap(r.buffer) {
		r.buffer = make([]byte, size)
	}
	data := r.buffer[:size]
	if _, err := io.ReadFull(r.source, data); err != nil {
		return nil, unexpectedEOF(err)
	}
	return data, nil
}

// readLarge reads a frame above maxRetainedBytes. Its buffer grows as data arrives, so
// that a peer cannot make the reader allocate memory by sending a length without the
// data.
func (r *frameReader) readLarge(size int64) ([]byte, error) {
	var data bytes.Buffer
	if _, err := io.CopyN(&data, r.source, size); err != nil {
		return nil, unexpectedEOF(err)
	}
	return data.Bytes(), nil
}

// unexpectedEOF replaces io.EOF in the middle of a frame by io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
