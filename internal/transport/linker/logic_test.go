package linker

import (
	"bytes"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/uber-go/tally/v4"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// Guards against delays outside 50 ms to 2 s, against delays that do not grow, and
// against a reset without effect.
func TestBackoff(t *testing.T) {
	highest := &backoff{random: func() float64 { return 1 }}
	var got []time.Duration
	for range 7 {
		got = append(got, highest.next()/time.Millisecond)
	}
	if diff := cmp.Diff([]time.Duration{100, 200, 400, 800, 1600, 2000, 2000}, got); diff != "" {
		t.Error(diff)
	}
	highest.reset()
	if wait := highest.next(); wait != 2*minRedialDelay {
		t.Errorf("%v after reset; want %v", wait, 2*minRedialDelay)
	}
	lowest := &backoff{random: func() float64 { return 0 }}
	for range 7 {
		if wait := lowest.next(); wait != minRedialDelay {
			t.Errorf("%v; want %v", wait, minRedialDelay)
		}
	}
}

// Guards against pairs of entries in which both dial or neither does.
func TestDialerRule(t *testing.T) {
	entry := func(name string) messenger.Hello {
		return messenger.Hello{Role: messenger.RoleEntry, Name: name}
	}
	agent := messenger.Hello{Role: messenger.RoleAgent, Name: "z"}
	for name, test := range map[string]struct {
		own    messenger.Hello
		target string
		want   bool
	}{
		"smaller dials larger":         {entry("e1"), "e2", true},
		"larger does not dial smaller": {entry("e2"), "e1", false},
		"itself":                       {entry("e1"), "e1", false},
		"unknown name":                 {entry("e2"), "", true},
		"agent dials any entry":        {agent, "e1", true},
	} {
		t.Run(name, func(t *testing.T) {
			if got := dials(test.own, test.target); got != test.want {
				t.Errorf("dials: %v; want %v", got, test.want)
			}
			if test.target == "" {
				return
			}
			if got := accepts(entry(test.target), test.own); got != test.want {
				t.Errorf("accepts: %v; want %v", got, test.want)
			}
		})
	}
}

// Guards against two dialers for one address, and against a bootstrap target that is
// dialed although another target with the same address names an entry that must not be
// dialed.
func TestChooseTargets(t *testing.T) {
	own := messenger.Hello{Role: messenger.RoleEntry, Name: "e2"}
	e1 := messenger.EntryAddress{Name: "e1", Address: "a:1"}
	e3 := messenger.EntryAddress{Name: "e3", Address: "a:3"}
	bare := func(address string) messenger.EntryAddress { return messenger.EntryAddress{Address: address} }
	got := chooseTargets(own, []messenger.EntryAddress{bare("a:1"), e1, e3, bare("a:3"), bare("a:4")})
	want := map[string]messenger.EntryAddress{"a:3": e3, "a:4": bare("a:4")}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// Guards against a process that replaces the link of another process by claiming its
// incarnation.
func TestCheckHello(t *testing.T) {
	for name, test := range map[string]struct {
		hello messenger.Hello
		valid bool
	}{
		"entry":                  {messenger.Hello{Role: "entry", Name: "e1", Incarnation: "e1~a"}, true},
		"agent":                  {messenger.Hello{Role: "agent", Name: "w1", Incarnation: "w1~a"}, true},
		"unknown role":           {messenger.Hello{Role: "x", Name: "e1", Incarnation: "e1~a"}, false},
		"no name":                {messenger.Hello{Role: "entry", Incarnation: "~a"}, false},
		"no incarnation":         {messenger.Hello{Role: "entry", Name: "e1"}, false},
		"no suffix":              {messenger.Hello{Role: "entry", Name: "e1", Incarnation: "e1"}, false},
		"incarnation of another": {messenger.Hello{Role: "entry", Name: "e1", Incarnation: "e2~a"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			if err := checkHello(test.hello); (err == nil) != test.valid {
				t.Errorf("error %v; want valid %v", err, test.valid)
			}
		})
	}
}

func testMetrics() *metrics {
	return newMetrics(tally.NoopScope)
}

func testItem(size int, due time.Duration) outgoing {
	return outgoing{data: bytes.Repeat([]byte{1}, size), meter: testMetrics().out.of(0, messenger.Ping{}), due: due}
}

// Guards against messages that are reordered when the delay decreases, and against a
// delayed message that is sent too early.
func TestQueueKeepsOrderUnderDelay(t *testing.T) {
	q := newQueue()
	q.push(testItem(1, 30))
	q.push(testItem(2, 10))
	q.push(testItem(3, 40))
	if batch, wait := q.take(nil, 29); len(batch) != 0 || wait != 1 {
		t.Errorf("at 29: %d bytes, wait %v; want nothing for 1", len(batch), wait)
	}
	want := appendFrame(appendFrame(nil, testItem(1, 0).data), testItem(2, 0).data)
	if batch, wait := q.take(nil, 30); !bytes.Equal(batch, want) || wait != 10 {
		t.Errorf("at 30: % x, wait %v; want % x, wait 10", batch, wait, want)
	}
	if batch, wait := q.take(nil, 40); len(batch) != 4 || wait != 0 {
		t.Errorf("at 40: %d bytes, wait %v; want 4 bytes and an empty queue", len(batch), wait)
	}
}

// Guards against a queue that exceeds its limits of messages or bytes, that miscounts
// them while messages are pushed and taken, or that rejects a large message although
// it is empty.
func TestQueueBounds(t *testing.T) {
	q := newQueue()
	item := testItem(1, 0)
	for round := range 3 {
		for i := range maxQueuedMessages {
			if q.push(item) != pushed {
				t.Fatalf("round %d: message %d refused", round, i)
			}
		}
		if q.push(item) != pushFull {
			t.Fatalf("round %d: message over the bound accepted", round)
		}
		total := 0
		for batch, _ := q.take(nil, 0); len(batch) > 0; batch, _ = q.take(nil, 0) {
			total += len(batch)
		}
		if total != 2*maxQueuedMessages {
			t.Fatalf("round %d: %d bytes taken; want %d", round, total, 2*maxQueuedMessages)
		}
	}
	large := testItem(maxFrameBytes, 0)
	for i := range maxQueuedBytes / maxFrameBytes {
		if q.push(large) != pushed {
			t.Fatalf("large message %d refused", i)
		}
	}
	if q.push(item) != pushFull {
		t.Error("message over the bound of bytes accepted")
	}
	q.close()
	if q.push(item) != pushClosed {
		t.Error("closed queue accepted a message")
	}
}
