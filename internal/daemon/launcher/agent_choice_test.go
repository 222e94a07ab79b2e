package launcher

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

const testLimit = 4

// choiceWorld is an agent's choice in a fleet of entries of which some are alive. Dialing
// an entry that is alive links it, and an entry that the agent leaves is released.
type choiceWorld struct {
	targets agentTargets
	now     time.Time
	alive   map[string]bool
	dialed  []string
}

func newChoiceWorld(entries int) *choiceWorld {
	w := &choiceWorld{
		targets: agentTargets{Name: "a1", Limit: testLimit},
		now:     time.Unix(1_000_000, 0),
		alive:   make(map[string]bool),
	}
	for i := range entries {
		w.alive[fmt.Sprintf("e%02d", i)] = true
	}
	w.settle(time.Second)
	return w
}

func (w *choiceWorld) directory() []messenger.EntryAddress {
	var directory []messenger.EntryAddress
	for name := range w.alive {
		directory = append(directory, messenger.EntryAddress{Name: name, Address: "10.0.0.1:" + name})
	}
	return directory
}

// settle lists all entries, and links and releases entries for a while.
func (w *choiceWorld) settle(span time.Duration) {
	w.targets.list(w.now, w.directory())
	for end := w.now.Add(span); w.now.Before(end); w.now = w.now.Add(choiceInterval / 2) {
		targets, left := w.targets.choose(w.now)
		w.dialed = nil
		for _, target := range targets {
			w.dialed = append(w.dialed, target.Name)
			if w.alive[target.Name] {
				w.targets.linkOpened(messenger.Hello{Name: target.Name, Incarnation: messenger.Incarnation(target.Name + "~1")})
			}
		}
		for _, incarnation := range left {
			w.targets.release(incarnation)
			w.targets.linkClosed(incarnation)
		}
	}
}

func (w *choiceWorld) kill(names ...string) {
	for _, name := range names {
		w.alive[name] = false
		w.targets.linkClosed(messenger.Incarnation(name + "~1"))
	}
}

func (w *choiceWorld) linked() []string {
	var names []string
	for _, l := range w.targets.links() {
		names = append(names, l.name)
	}
	slices.Sort(names)
	return names
}

// Guards against an agent that links to every entry of a large fleet, that keeps the links
// of its first choices as the fleet grows, or that is left short of links by dead entries.
func TestAgentKeepsAFewLinks(t *testing.T) {
	w := newChoiceWorld(55)
	first := w.linked()
	if len(first) != testLimit || len(w.dialed) != testLimit {
		t.Fatalf("linked to %v, dialed %v", first, w.dialed)
	}
	w.kill(first[0])
	w.settle(2 * time.Second)
	if got := w.linked(); len(got) != testLimit-1 {
		t.Errorf("an entry that may restart is replaced at once: %v", got)
	}
	w.settle(substituteAfter)
	if got := w.linked(); len(got) != testLimit || !slices.Contains(w.dialed, first[0]) {
		t.Errorf("a dead entry is not replaced: linked to %v, dialed %v", got, w.dialed)
	}
	w.alive[first[0]] = true
	w.settle(2 * time.Second)
	if got := w.linked(); !slices.Equal(got, first) {
		t.Errorf("after the return of an entry, linked to %v; want %v", got, first)
	}
	for i := range 100 {
		w.alive[fmt.Sprintf("n%03d", i)] = true
	}
	w.settle(2 * time.Second)
	if got := w.linked(); len(got) != testLimit || slices.Equal(got, first) {
		t.Errorf("after the fleet has grown, linked to %v; before to %v", got, first)
	}
}

// Guards against an agent that gives up the links that work, or dials the whole fleet,
// while most of its first entries cannot be reached.
func TestAgentDoesNotDialTheFleetInAnOutage(t *testing.T) {
	w := newChoiceWorld(55)
	all := slices.Collect(func(yield func(string) bool) {
		for name := range w.alive {
			if !yield(name) {
				return
			}
		}
	})
	w.kill(all...)
	w.settle(2 * substituteAfter)
	if len(w.dialed) != testLimit {
		t.Errorf("dialed %v", w.dialed)
	}
}
