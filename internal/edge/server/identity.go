package server

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	"github.com/burdockrudder/burdockrudder/internal/edge/guard"
	"github.com/burdockrudder/burdockrudder/internal/edge/translator"
	"github.com/burdockrudder/burdockrudder/internal/settings/resolver"
)

// identity is the firm and the key that an API key's secret belongs to.
type identity struct {
	firm string
	key  resolver.Key
	root bool
}

// author returns the identity's name for the settings history and the log.
func (i identity) author() string {
	switch {
	case i.root:
		return "root"
	case i.firm == "":
		return ""
	default:
		return i.firm + "/" + i.key.Name
	}
}

// mayAccess reports whether the identity may access the firm's objects.
func (i identity) mayAccess(firm string) bool {
	return i.root || i.firm == firm
}

// authorise sets the identity of the request from its API key and checks that the
// identity may use the route. The firm is checked before the role, so that a key learns
// nothing about other firms: their objects are "not found", like undeclared ones.
func (s *Server) authorise(r *request, needed access) error {
	if needed == accessOpen {
		return nil
	}
	found, err := s.identify(r.Header.Get("Authorization"))
	if err != nil {
		return err
	}
	r.identity = found
	if firm := r.PathValue("firm"); firm != "" {
		if err := s.checkFirm(found, firm); err != nil {
			return err
		}
	}
	if found.root || found.key.Role == resolver.RoleOperator {
		guard.UseReserve(r.Request)
	}
	if needed == accessOperator && !found.root && found.key.Role != resolver.RoleOperator {
		return newError(translator.CodeForbidden, "the key's role does not permit this")
	}
	return nil
}

func (s *Server) identify(header string) (identity, error) {
	scheme, secret, _ := strings.Cut(header, " ")
	if !strings.EqualFold(scheme, "Bearer") || secret == "" {
		return identity{}, newError(translator.CodeUnauthorized, "a bearer API key is required")
	}
	sum := sha256.Sum256([]byte(secret))
	if matches(sum, s.RootKeySHA256) {
		return identity{root: true}, nil
	}
	tree := s.tree()
	if tree == nil {
		return identity{}, noSettings()
	}
	found, ok := findKey(tree, sum)
	if !ok {
		return identity{}, newError(translator.CodeUnauthorized, "unknown API key")
	}
	return found, nil
}

// findKey finds the key whose secret has the given hash. It compares the hash with every
// key, so that the response time does not reveal which one matched.
func findKey(tree *resolver.Tree, sum [sha256.Size]byte) (identity, bool) {
	var found identity
	ok := false
	for name, firm := range tree.Firms {
		for _, key := range firm.Keys {
			if matches(sum, key.SecretSHA256) {
				found, ok = identity{firm: name, key: key}, true
			}
		}
	}
	return found, ok
}

func matches(sum [sha256.Size]byte, hexSum string) bool {
	want, err := hex.DecodeString(hexSum)
	if err != nil {
		return false
	}
	return subtle.ConstantTimeCompare(sum[:], want) == 1
}

func (s *Server) tree() *resolver.Tree {
	snapshot := s.Dispatcher.Snapshot()
	if snapshot == nil {
		return nil
	}
	return snapshot.Tree
}

func noSettings() error {
	return newError(translator.CodeUnavailable, "the entry has not read its settings yet; nothing was done")
}

func (s *Server) checkFirm(who identity, firm string) error {
	tree := s.tree()
	if tree == nil {
		return noSettings()
	}
	if _, declared := tree.Firms[firm]; !declared || !who.mayAccess(firm) {
		return notFound()
	}
	return nil
}
