// Package crowder opens groups of connections whose clients misbehave: they stop half-way,
// send too much, read nothing or reconnect without end. crowds.jsonl defines the groups.
package crowder

import (
	"bytes"
	_ "embed" // for the data file
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

//go:embed crowds.jsonl
var crowdsFile []byte

// The transports of a crowd.
const (
	// TransportTCP sends the parts of the crowd.
	TransportTCP = "tcp"
	// TransportHello sends the first flight of a TLS handshake and nothing more.
	TransportHello = "tls_hello"
	// TransportInitial sends the first datagrams of a QUIC handshake and ignores the answers.
	TransportInitial = "quic_initial"
	// TransportLink completes a QUIC handshake and opens no stream.
	TransportLink = "quic_link"
)

// The uses of TLS. With both, the listener for callers has TLS.
const (
	// TLSClients speak TLS.
	TLSClients = "clients"
	// TLSListener has clients that send their parts as they are.
	TLSListener = "listener"
)

// The ways in which a client reads.
const (
	// ReadNothing never reads.
	ReadNothing = "nothing"
	// ReadSlowly reads one byte at a time, with pauses.
	ReadSlowly = "slowly"
	// ReadAll reads whatever arrives.
	ReadAll = "all"
)

// Crowd is a group of equal clients.
type Crowd struct {
	Name string `json:"name"`
	// Connections is the number of clients for each set of programs; a crowd is not directed
	// at a set of programs that is not listed.
	Connections map[string]int `json:"connections"`
	// At are the names of the targets; empty means all but TargetLinks.
	At []string `json:"at"`
	// TLS is one of the constants; empty means none.
	TLS string `json:"tls"`
	// Transport is one of the constants; empty means TransportTCP.
	Transport string `json:"transport"`
	// Parts are what each client sends, one after the other.
	Parts []Part `json:"parts"`
	// PieceBytes is the size of the pieces that are sent, with PauseMS between them; 0 sends
	// as much at a time as the connection takes.
	PieceBytes int `json:"piece_bytes"`
	PauseMS    int `json:"pause_ms"`
	// SendMS bounds the time in which the clients send; 0 means defaultSendTime.
	SendMS int `json:"send_ms"`
	// Read is one of the constants; empty means ReadNothing.
	Read string `json:"read"`
	// Answered makes a client that reads all wait, within the time to send, until the other
	// side has closed the connection.
	Answered bool `json:"answered"`
	// HalfClose closes the sending direction after the last part.
	HalfClose bool `json:"half_close"`
	// Times is the number of connections that each client opens, one after the other. It
	// waits for the end of each, up to endTime. 0 means one that is held open.
	Times int `json:"times"`
}

// Part is a piece of what a client sends.
type Part struct {
	// Text may contain the placeholders of Target.replacer.
	Text string `json:"text"`
	// Times is how often the text is sent; 0 means once.
	Times int `json:"times"`
	// Fill, if set, repeats the text for as long as the parts after the first one are not
	// larger than this share of the target's BodyBytes, less the size of Room.
	Fill float64 `json:"fill"`
	Room string  `json:"room"`
}

// Target is a path of a listener at which crowds are directed.
type Target struct {
	Name    string
	Address string
	// Method, Path, Host and Key make up the head of a request; Host and Key may be empty.
	Method, Path, Host, Key string
	// BodyBytes is the size of the largest body that the target takes.
	BodyBytes int
	// Open, Value and Close make up a valid body of many values: Open, any number of
	// Value, and Close.
	Open, Value, Close string
}

// Programs are the sets of programs.
const (
	ProgramsPlatform   = "platform"
	ProgramsStandAlone = "stand_alone"
	// ProgramsSoak are the platform programs beside ordinary clients and faults.
	ProgramsSoak = "soak"
)

// Crowds returns the crowds for a set of programs, in the order of the data file.
func Crowds(programs string) ([]Crowd, error) {
	var crowds []Crowd
	number := 0
	for line := range bytes.Lines(crowdsFile) {
		number++
		if number == 1 {
			// The first line says what the crowds guard against.
			continue
		}
		decoder := json.NewDecoder(bytes.NewReader(line))
		decoder.DisallowUnknownFields()
		var crowd Crowd
		if err := decoder.Decode(&crowd); err != nil {
			return nil, fmt.Errorf("crowds.jsonl, line %d: %w", number, err)
		}
		if crowd.Connections[programs] > 0 {
			crowds = append(crowds, crowd)
		}
	}
	return crowds, nil
}

// IsAt reports whether the crowd is directed at the target.
func (c *Crowd) IsAt(target string) bool {
	if len(c.At) == 0 {
		return target != TargetLinks
	}
	return slices.Contains(c.At, target)
}

// TargetLinks is the UDP listener for links. Only the crowds that name it are directed at it.
const TargetLinks = "links"

// Stages returns the targets of the crowd in stages. A stage has one target of each process
// that has any left, so that the processes can be tested at the same time.
func (c *Crowd) Stages(processes ...[]Target) [][]Target {
	var stages [][]Target
	for _, targets := range processes {
		number := 0
		for _, target := range targets {
			if !c.IsAt(target.Name) {
				continue
			}
			if number == len(stages) {
				stages = append(stages, nil)
			}
			stages[number] = append(stages[number], target)
			number++
		}
	}
	return stages
}

// StageName returns the names of the targets of a stage.
func StageName(stage []Target) string {
	names := make([]string, 0, len(stage))
	for _, target := range stage {
		names = append(names, target.Name)
	}
	return strings.Join(names, "+")
}

// replacer replaces the placeholders in the text of a part.
func (t Target) replacer() *strings.Replacer {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n", t.Method, t.Path, t.Host)
	if t.Key != "" {
		head += "Authorization: Bearer " + t.Key + "\r\n"
	}
	return strings.NewReplacer("$HEAD", head, "$SIZE", strconv.Itoa(t.BodyBytes),
		"$OPEN", t.Open, "$VALUE", t.Value, "$CLOSE", t.Close)
}

// block is a text that is sent a number of times.
type block struct {
	text  string
	times int
}

// blocks returns what a client of the crowd sends to the target.
func (c *Crowd) blocks(target Target) []block {
	replacer := target.replacer()
	list := make([]block, 0, len(c.Parts))
	body := 0
	for number, part := range c.Parts {
		text, times := replacer.Replace(part.Text), max(1, part.Times)
		if part.Fill > 0 && text != "" {
			room := int(part.Fill*float64(target.BodyBytes)) - len(replacer.Replace(part.Room)) - body
			times = max(0, room/len(text))
		}
		if number > 0 {
			body += len(text) * times
		}
		list = append(list, block{text: text, times: times})
	}
	return list
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }
