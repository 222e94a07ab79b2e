package linker

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"testing"
	"testing/iotest"
)

// Guards against wrong frame boundaries when reads return arbitrary parts of the
// stream, and against a reused buffer that is too short.
func TestFramesSurviveFragmentation(t *testing.T) {
	sizes := []int{0, 1, 127, 128, 3, maxRetainedBytes, maxRetainedBytes + 1, 10}
	var stream []byte
	for i, size := range sizes {
		stream = appendFrame(stream, bytes.Repeat([]byte{byte(i)}, size))
	}
	for name, source := range map[string]io.Reader{
		"whole":    bytes.NewReader(stream),
		"one byte": iotest.OneByteReader(bytes.NewReader(stream)),
		"half":     iotest.HalfReader(bytes.NewReader(stream)),
	} {
		t.Run(name, func(t *testing.T) {
			reader := newFrameReader(source)
			for i, size := range sizes {
				data, err := reader.next()
				if err != nil || !bytes.Equal(data, bytes.Repeat([]byte{byte(i)}, size)) {
					t.Fatalf("frame %d: %d bytes, error %v; want %d bytes", i, len(data), err, size)
				}
			}
			if _, err := reader.next(); !errors.Is(err, io.EOF) {
				t.Errorf("error %v at the end; want EOF", err)
			}
		})
	}
}

// Guards against memory that is allocated for a length without data, and against a
// truncated frame that is reported as the regular end of the stream.
func TestFrameReaderRejects(t *testing.T) {
	for name, test := range map[string]struct {
		stream []byte
		want   error
	}{
		"over the limit":  {binary.AppendUvarint(nil, maxFrameBytes+1), errFrameTooLarge},
		"largest length":  {binary.AppendUvarint(nil, 1<<64-1), errFrameTooLarge},
		"no data":         {binary.AppendUvarint(nil, maxFrameBytes), io.ErrUnexpectedEOF},
		"truncated":       {[]byte{5, 1, 2}, io.ErrUnexpectedEOF},
		"truncated large": {append(binary.AppendUvarint(nil, maxRetainedBytes+1), 1), io.ErrUnexpectedEOF},
		"half a length":   {[]byte{0x80}, io.ErrUnexpectedEOF},
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := newFrameReader(bytes.NewReader(test.stream)).next(); !errors.Is(err, test.want) {
				t.Errorf("error %v; want %v", err, test.want)
			}
		})
	}
}

// Guards against a panic, an endless loop, or frames with more data than was read, on
// malicious input.
func FuzzFrameReader(f *testing.F) {
	f.Add([]byte{})
	f.Add(appendFrame(appendFrame(nil, []byte("a")), []byte("bc")))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x02})
	f.Add(binary.AppendUvarint(nil, maxFrameBytes))
	f.Fuzz(func(t *testing.T, stream []byte) {
		reader := newFrameReader(bytes.NewReader(stream))
		total := 0
		for {
			data, err := reader.next()
			if err != nil {
				break
			}
			total += 1 + len(data)
		}
		if total > len(stream) {
			t.Errorf("%d bytes of frames from a stream of %d", total, len(stream))
		}
	})
}
