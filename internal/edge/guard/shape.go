package guard

import "net/http"

// Shape is the size of a JSON text in what its decoded form takes.
type Shape struct {
	// Values is the number of values, including arrays, objects and the names of fields.
	Values int
	// Fields is the number of fields of objects.
	Fields int
	// Depth is the deepest nesting of arrays and objects.
	Depth int
}

// Measure returns the shape of a JSON text without decoding it. For an invalid text the
// counts cover at least what a decoder reads before it finds the fault.
func Measure(text []byte) Shape {
	var s Shape
	depth := 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case ' ', '\t', '\r', '\n', ',':
		case ':':
			s.Fields++
		case '{', '[':
			s.Values++
			depth++
			s.Depth = max(s.Depth, depth)
		case '}', ']':
			depth--
		case '"':
			s.Values++
			i = stringEnd(text, i)
		default:
			s.Values++
			i = literalEnd(text, i)
		}
	}
	return s
}

// stringEnd returns the position of the quote that ends the string that starts at i.
func stringEnd(text []byte, i int) int {
	for i++; i < len(text); i++ {
		switch text[i] {
		case '"':
			return i
		case '\\':
			i++
		}
	}
	return i
}

// literalEnd returns the position of the last byte of the literal that starts at i.
func literalEnd(text []byte, i int) int {
	for ; i+1 < len(text); i++ {
		switch text[i+1] {
		case ' ', '\t', '\r', '\n', ',', ':', '{', '[', '}', ']', '"':
			return i
		}
	}
	return i
}

// CheckBody counts the values and the nesting of a JSON body against the limits before it
// is decoded. The refusal is nil if the body is within them.
func CheckBody(r *http.Request, body []byte) (Shape, *Refusal) {
	shape := Measure(body)
	c, s := connOf(r.Context()), Defaults()
	if c != nil {
		s = c.listener.guard.Settings
	}
	switch {
	case shape.Values > s.MaxBodyValues:
		c.metBody(limitBodyValues, int64(shape.Values))
		return shape, &Refusal{Status: http.StatusRequestEntityTooLarge, Reason: "the body has too many values"}
	case shape.Depth > s.MaxBodyDepth:
		c.metBody(limitBodyDepth, int64(shape.Depth))
		return shape, &Refusal{Status: http.StatusRequestEntityTooLarge, Reason: "the body is nested too deeply"}
	}
	return shape, nil
}
