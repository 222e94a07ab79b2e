package launcher

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// Guards against an agent that closes its link to an entry, or stops dialing the entry,
// because one directory does not list it. This happens when an entry restarts: it
// releases its row, and other entries still send directories older than its new row.
func TestEntriesStayTargets(t *testing.T) {
	entry := func(name string) messenger.EntryAddress {
		return messenger.EntryAddress{Name: name, Address: "127.0.0.1:" + name}
	}
	for _, test := range []struct {
		name   string
		linked bool
		// after is the time from the directory that lists e2 to the one that does not.
		after time.Duration
		want  []messenger.EntryAddress
	}{
		{name: "just listed", after: time.Second, want: []messenger.EntryAddress{entry("e1"), entry("e2")}},
		{name: "gone", after: 2 * targetRetention, want: []messenger.EntryAddress{entry("e1")}},
		{name: "linked", after: 2 * targetRetention, linked: true, want: []messenger.EntryAddress{entry("e1"), entry("e2")}},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(1_000_000, 0)
			a := &agentTargets{}
			a.list(now, []messenger.EntryAddress{entry("e1"), entry("e2")})
			a.linkOpened(messenger.Hello{Name: "e2", Incarnation: "e2~1"})
			if !test.linked {
				a.linkClosed("e2~1")
			}
			a.list(now.Add(test.after), []messenger.EntryAddress{entry("e1")})
			got, _ := a.choose(now.Add(test.after))
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}
