package recorder

import (
	"encoding/json"
	"fmt"
	"reflect"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/coordinator"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// Typed is the JSON form of an event, an effect, an answer or a message: the name of
// its Go type and its fields.
type Typed struct {
	Kind string          `json:"kind"`
	Body json.RawMessage `json:"body"`
}

// catalogue maps the name of each type that implements a sealed interface to the type.
type catalogue map[string]reflect.Type

func newCatalogue(values ...any) catalogue {
	c := make(catalogue, len(values))
	for _, v := range values {
		t := reflect.TypeOf(v)
		c[t.Name()] = t
	}
	return c
}

var events = newCatalogue(
	coordinator.Tick{}, coordinator.Submitted{}, coordinator.Queried{}, coordinator.CancelRequested{},
	coordinator.TicketsRequested{}, coordinator.CallerGone{}, coordinator.IntentSettled{},
	coordinator.OutcomeSettled{}, coordinator.AgentLinked{}, coordinator.PeerLinked{},
	coordinator.LeaseRenewed{}, coordinator.EntryFenced{}, coordinator.SettingsRead{},
	coordinator.DrainRequested{},
)

var messages = newCatalogue(
	messenger.Hello{}, messenger.Welcome{}, messenger.Report{}, messenger.Status{}, messenger.Start{},
	messenger.Refused{}, messenger.Finished{}, messenger.Cancel{}, messenger.Cancelled{},
	messenger.Fence{}, messenger.Fenced{}, messenger.Witness{}, messenger.Witnessed{},
	messenger.PeerStatus{}, messenger.Forward{}, messenger.Forwarded{}, messenger.Ping{},
)

const receivedKind = "Received"

// envelope is the Body of a Typed message that was sent or received.
type envelope struct {
	From    messenger.Incarnation `json:"from,omitempty"`
	To      messenger.Incarnation `json:"to,omitempty"`
	Message Typed                 `json:"message"`
}

// reply is the Body of a Typed coordinator.Reply.
type reply struct {
	Call   coordinator.CallID `json:"call"`
	Answer Typed              `json:"answer"`
}

// EncodeEvent returns the JSON form of an event that an entry handles.
func EncodeEvent(event coordinator.Event) (Typed, error) {
	received, ok := event.(coordinator.Received)
	if !ok {
		return encode(event)
	}
	message, err := encode(received.Message)
	if err != nil {
		return Typed{}, err
	}
	return encodeAs(receivedKind, envelope{From: received.From, Message: message})
}

// DecodeEvent returns the event that EncodeEvent has encoded.
func DecodeEvent(typed Typed) (coordinator.Event, error) {
	if typed.Kind != receivedKind {
		value, err := events.decode(typed)
		if err != nil {
			return nil, err
		}
		return value.(coordinator.Event), nil
	}
	var e envelope
	if err := json.Unmarshal(typed.Body, &e); err != nil {
		return nil, fmt.Errorf("decode %s: %w", typed.Kind, err)
	}
	message, err := messages.decode(e.Message)
	if err != nil {
		return nil, err
	}
	return coordinator.Received{From: e.From, Message: message.(messenger.Message)}, nil
}

// EncodeEffect returns the JSON form of an effect that an entry has decided on.
func EncodeEffect(effect coordinator.Effect) (Typed, error) {
	switch e := effect.(type) {
	case coordinator.Send:
		message, err := encode(e.Message)
		if err != nil {
			return Typed{}, err
		}
		return encodeAs("Send", envelope{To: e.To, Message: message})
	case coordinator.Reply:
		answer, err := encode(e.Answer)
		if err != nil {
			return Typed{}, err
		}
		return encodeAs("Reply", reply{Call: e.Call, Answer: answer})
	default:
		return encode(effect)
	}
}

func encode(value any) (Typed, error) {
	return encodeAs(reflect.TypeOf(value).Name(), value)
}

func encodeAs(kind string, value any) (Typed, error) {
	body, err := json.Marshal(value)
	if err != nil {
		return Typed{}, fmt.Errorf("encode %s: %w", kind, err)
	}
	return Typed{Kind: kind, Body: body}, nil
}

func (c catalogue) decode(typed Typed) (any, error) {
	t, ok := c[typed.Kind]
	if !ok {
		return nil, fmt.Errorf("decode %q: unknown kind", typed.Kind)
	}
	target := reflect.New(t)
	if err := json.Unmarshal(typed.Body, target.Interface()); err != nil {
		return nil, fmt.Errorf("decode %s: %w", typed.Kind, err)
	}
	return target.Elem().Interface(), nil
}
