package guard

import "bytes"

// lineState is the position within a line of the bytes that were read last.
type lineState int

const (
	// lineStart is the start of a line.
	lineStart lineState = iota
	// lineStartReturn follows a carriage return at the start of a line.
	lineStartReturn
	// lineMiddle is within a line that is not empty.
	lineMiddle
)

func (s lineState) next(b byte) lineState {
	switch {
	case b == '\n':
		return lineStart
	case b == '\r' && s == lineStart:
		return lineStartReturn
	default:
		return lineMiddle
	}
}

// headerCounter counts the bytes and the lines of a header as they arrive. net/http
// builds its map of fields while it reads, so that a bound that is checked after a header
// is complete comes too late.
type headerCounter struct {
	state lineState
	bytes int
	lines int
	// complete is set at the empty line that ends the header.
	complete bool
	// early is set if that line was the first one. It ends a header whose other lines were
	// in net/http's buffer, or it stands before the request line, where net/http skips it
	// after a POST. restBytes and restLines count the data after it, which in the second
	// case belongs to the header.
	early                bool
	restBytes, restLines int
}

// begin starts the count for the next header. The position within the line is kept:
// net/http may hold the start of that header in its buffer.
func (h *headerCounter) begin() {
	*h = headerCounter{state: h.state}
}

// goOn is called when net/http reads on although the header seemed complete. It reports
// whether the header goes on; otherwise net/http refuses the request.
func (h *headerCounter) goOn() bool {
	if !h.early {
		return false
	}
	*h = headerCounter{state: h.state, bytes: h.bytes + h.restBytes, lines: h.lines + h.restLines}
	return true
}

// add counts the bytes of the header in data. Bytes after its end belong to the body.
func (h *headerCounter) add(data []byte) {
	for len(data) > 0 && !h.complete {
		end := bytes.IndexByte(data, '\n')
		if end < 0 {
			h.bytes += len(data)
			h.skip(data)
			return
		}
		// A line is empty if it has nothing but a carriage return before its end.
		empty := end == 0 && h.state != lineMiddle ||
			end == 1 && h.state == lineStart && data[0] == '\r'
		h.bytes += end + 1
		h.lines++
		h.state = lineStart
		data = data[end+1:]
		h.complete = empty
	}
	if h.complete && h.lines == 1 {
		h.early, h.restBytes, h.restLines = true, len(data), bytes.Count(data, []byte{'\n'})
	}
	h.skip(data)
}

// skip follows the position within the line over data that is not part of a header. The
// last two bytes and the state before determine it.
func (h *headerCounter) skip(data []byte) {
	const lookBack = 2
	if len(data) > lookBack {
		data = data[len(data)-lookBack:]
		h.state = lineMiddle
	}
	for _, b := range data {
		h.state = h.state.next(b)
	}
}

// fields returns the number of header fields so far: all lines but the request line and
// the empty one.
func (h *headerCounter) fields() int { return max(0, h.lines-1) }

// size returns the bytes and fields that net/http may hold of the header.
func (h *headerCounter) size() (headerBytes, fields int) {
	return h.bytes + h.restBytes, max(0, h.lines+h.restLines-1)
}
