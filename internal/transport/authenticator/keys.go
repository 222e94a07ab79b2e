package authenticator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"strings"
)

// KeyHash is the SHA-256 hash of an API key's secret. Settings contain only hashes.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a secret. An unsalted fast hash is sufficient, because
// secrets are long and random, so that dictionary attacks fail.
func HashKey(secret string) KeyHash {
	return sha256.Sum256([]byte(secret))
}

// ParseKeyHash parses a hash in hexadecimal. The error does not include the text,
// which might be a secret that was entered by mistake.
func ParseKeyHash(text string) (KeyHash, error) {
	var hash KeyHash
	data, err := hex.DecodeString(text)
	if err != nil || len(data) != len(hash) {
		return KeyHash{}, errors.New("key hash is not 64 hexadecimal digits")
	}
	copy(hash[:], data)
	return hash, nil
}

// String returns the hash in hexadecimal.
func (h KeyHash) String() string {
	return hex.EncodeToString(h[:])
}

// Key maps the hash of a secret to the Grant of a caller that presents the secret.
type Key[T any] struct {
	Hash  KeyHash
	Grant T
}

// FindKey returns the grant of a secret, and whether a key matches. It compares the
// secret with every key in constant time, so that the time taken does not reveal how
// close a guess was.
func FindKey[T any](keys []Key[T], secret string) (T, bool) {
	hash := HashKey(secret)
	found := -1
	for i := range keys {
		match := subtle.ConstantTimeCompare(hash[:], keys[i].Hash[:])
		found = subtle.ConstantTimeSelect(match, i, found)
	}
	if found < 0 {
		var none T
		return none, false
	}
	return keys[found].Grant, true
}

// Bearer returns the secret in an Authorization header, and whether there is one. The
// scheme is compared case-insensitively, as RFC 9110 requires.
func Bearer(header string) (string, bool) {
	scheme, secret, ok := strings.Cut(header, " ")
	if !ok || !strings.EqualFold(scheme, "bearer") {
		return "", false
	}
	secret = strings.TrimSpace(secret)
	return secret, secret != ""
}
