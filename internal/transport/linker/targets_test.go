package linker

import (
	"testing"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// Guards against pairs of entries with two links or none when the targets of each entry
// are addresses without names, including its own. The entries start in descending order
// of their names.
func TestEntriesKeepOneLinkPerPair(t *testing.T) {
	authority := testAuthority(t)
	var entries []*process
	var targets []messenger.EntryAddress
	for _, name := range []string{"e3", "e2", "e1"} {
		entry := newProcess(t, authority, testHello(messenger.RoleEntry, name), loopbackAny).start()
		entries = append(entries, entry)
		targets = append(targets, entry.bootstrap())
	}
	for _, entry := range entries {
		entry.SetTargets(targets)
	}
	for i, entry := range entries {
		for range len(entries) - 1 {
			if e := entry.next(); e.kind != eventLinked {
				t.Fatalf("%s: event %+v; want linked", entry.Hello.Name, e)
			}
		}
		// Entry i must not dial itself or the entries with smaller names.
		for range len(entries) - i {
			entry.waitLog(errNotOursToDial.Error())
		}
	}
	for _, entry := range entries {
		for _, peer := range entries {
			if peer != entry {
				entry.sendTo(peer, 1)
			}
		}
		if linked := entry.counter("linked"); linked != 2 {
			t.Errorf("%s: linked %d times; want 2", entry.Hello.Name, linked)
		}
		if refused := entry.counter("refused"); refused != 0 {
			t.Errorf("%s: %d links refused as faulty", entry.Hello.Name, refused)
		}
	}
}

// Guards against a link that is reopened when its bootstrap target gets a name from a
// directory, against a link that stays open after its target was removed, and against
// later calls of SetTargets that are ignored.
func TestTargetsChange(t *testing.T) {
	entry, agent := linkedPair(t)
	agent.SetTargets([]messenger.EntryAddress{entry.bootstrap()})
	agent.SetTargets([]messenger.EntryAddress{entry.target(), entry.bootstrap()})
	agent.sendTo(entry, 1)
	agent.SetTargets(nil)
	agent.want(eventUnlinked, entry)
	entry.want(eventUnlinked, agent)
	agent.SetTargets([]messenger.EntryAddress{entry.bootstrap()})
	agent.want(eventLinked, entry)
	entry.want(eventLinked, agent)
	agent.sendTo(entry, 2)
}

// Guards against two dialers that replace each other's link endlessly when one process
// has two addresses among the targets.
func TestTwoAddressesOfOneProcess(t *testing.T) {
	authority := testAuthority(t)
	entry := newProcess(t, authority, testHello(messenger.RoleEntry, "e1"), "0.0.0.0:0").start()
	agent := newProcess(t, authority, testHello(messenger.RoleAgent, "w1"), "").start()
	port := entry.Address()[len("[::]"):]
	if entry.Address()[0] != '[' {
		port = entry.Address()[len("0.0.0.0"):]
	}
	first := messenger.EntryAddress{Address: "127.0.0.1" + port}
	second := messenger.EntryAddress{Address: "127.0.0.2" + port}
	agent.SetTargets([]messenger.EntryAddress{first})
	agent.want(eventLinked, entry)
	entry.want(eventLinked, agent)
	agent.SetTargets([]messenger.EntryAddress{first, second})
	agent.want(eventLinked, entry)
	entry.want(eventLinked, agent)
	agent.waitLog("process is linked through another address")
	agent.sendTo(entry, 1)
	agent.SetTargets([]messenger.EntryAddress{first})
	agent.want(eventUnlinked, entry)
	agent.want(eventLinked, entry)
}

// Guards against Run that accepts a configuration with which no link can work, and
// against an Address call that blocks forever after Run has failed.
func TestRunRejectsInvalidConfiguration(t *testing.T) {
	authority := testAuthority(t)
	hello := testHello(messenger.RoleEntry, "e1")
	for name, change := range map[string]func(*process){
		"no TLS":         func(p *process) { p.TLS = nil },
		"no handler":     func(p *process) { p.Handler = nil },
		"no incarnation": func(p *process) { p.Hello.Incarnation = "" },
		"bad address":    func(p *process) { p.Listen = "here" },
	} {
		t.Run(name, func(t *testing.T) {
			p := newProcess(t, authority, hello, loopbackAny)
			change(p)
			if err := p.Run(t.Context()); err == nil {
				t.Error("no error")
			}
			if p.Address() != "" {
				t.Errorf("address %q", p.Address())
			}
		})
	}
}
