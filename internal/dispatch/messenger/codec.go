package messenger

import (
	"fmt"
	"reflect"

	"github.com/fxamacker/cbor/v2"
)

// kinds lists the message types. The index of a type is its number on the wire. New
// types are appended, so that processes of adjacent versions remain compatible.
var kinds = []reflect.Type{
	reflect.TypeFor[Hello](),
	reflect.TypeFor[Welcome](),
	reflect.TypeFor[Report](),
	reflect.TypeFor[Status](),
	reflect.TypeFor[Start](),
	reflect.TypeFor[Refused](),
	reflect.TypeFor[Finished](),
	reflect.TypeFor[Cancel](),
	reflect.TypeFor[Cancelled](),
	reflect.TypeFor[Fence](),
	reflect.TypeFor[Fenced](),
	reflect.TypeFor[Witness](),
	reflect.TypeFor[Witnessed](),
	reflect.TypeFor[PeerStatus](),
	reflect.TypeFor[Forward](),
	reflect.TypeFor[Forwarded](),
	reflect.TypeFor[Ping](),
}

var kindOf = indexKinds()

func indexKinds() map[reflect.Type]byte {
	index := make(map[reflect.Type]byte, len(kinds))
	for i, t := range kinds {
		index[t] = byte(i)
	}
	return index
}

// KindName returns the type name of a message, for logs and traces.
func KindName(m Message) string {
	return reflect.TypeOf(m).Name()
}

// Encode returns the kind byte followed by the CBOR encoding of m.
func Encode(m Message) ([]byte, error) {
	kind, ok := kindOf[reflect.TypeOf(m)]
	if !ok {
		return nil, fmt.Errorf("encode message: unknown type %T", m)
	}
	body, err := cbor.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", m, err)
	}
	return append([]byte{kind}, body...), nil
}

// Decode returns the message that Encode encoded as data.
func Decode(data []byte) (Message, error) {
	if len(data) == 0 {
		return nil, fmt.Errorf("decode message: message is empty")
	}
	kind := int(data[0])
	if kind >= len(kinds) {
		return nil, fmt.Errorf("decode message: unknown kind %d", kind)
	}
	target := reflect.New(kinds[kind])
	if err := cbor.Unmarshal(data[1:], target.Interface()); err != nil {
		return nil, fmt.Errorf("decode %s: %w", kinds[kind].Name(), err)
	}
	return target.Elem().Interface().(Message), nil
}
