package linker

import (
	"fmt"
	"strings"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// dials reports whether own is the side that dials the entry with the given name.
// Agents dial entries. Of two entries, the one with the lexically smaller name
// dials. An entry whose name is not known yet is dialed to learn its name.
func dials(own messenger.Hello, name string) bool {
	if own.Role != messenger.RoleEntry || name == "" {
		return true
	}
	return own.Name < name
}

// accepts reports whether the entry own accepts a link that peer dialed.
func accepts(own, peer messenger.Hello) bool {
	return dials(peer, own.Name)
}

// checkHello returns an error if the hello is invalid. The incarnation must begin
// with the process name, which is checked against the certificate. This prevents a
// process from replacing the link of another process.
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

// chooseTargets returns the targets that own has to dial, keyed by address. If two
// targets have the same address, one with a name takes precedence.
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
