package linker

import (
	"fmt"
	"strings"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// dials tells whether own keeps a link to the entry of the given name by dialing
// it. Agents dial entries. Of two entries, the one with the lexically smaller
// name dials. An entry without a known name is dialed to learn its name.
func dials(own messenger.Hello, name string) bool {
	if own.Role != messenger.RoleEntry || name == "" {
		return true
	}
	return own.Name < name
}

// accepts tells whether the entry own keeps a link that peer dialed.
func accepts(own, peer messenger.Hello) bool {
	return dials(peer, own.Name)
}

// checkHello reports whether a hello is usable. The incarnation has to begin
// with the name that the certificate vouches for, so that no process can replace
// the link of another one.
func checkHello(h messenger.Hello) error {
	if h.Role != messenger.RoleEntry && h.Role != messenger.RoleAgent {
		return fmt.Errorf("unknown role %q", h.Role)
	}
	if h.Name == "" {
		return fmt.Errorf("empty name")
	}
	if !strings.HasPrefix(string(h.Incarnation), h.Name) || string(h.Incarnation) == h.Name {
		return fmt.Errorf("incarnation %q is not %q with a suffix", h.Incarnation, h.Name)
	}
	return nil
}

// chooseTargets returns the targets that own has to dial, by address. A target
// with a name takes precedence over one without at the same address.
func chooseTargets(own messenger.Hello, targets []messenger.EntryAddress) map[string]messenger.EntryAddress {
	chosen := make(map[string]messenger.EntryAddress, len(targets))
	for _, target := range targets {
		if known, ok := chosen[target.Address]; ok && known.Name != "" {
			continue
		}
		chosen[target.Address] = target
	}
	for address, target := range chosen {
		if !dials(own, target.Name) {
			delete(chosen, address)
		}
	}
	return chosen
}
