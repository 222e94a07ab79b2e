package authenticator

import (
	"crypto/hkdf"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"fmt"
)

// resetSecretLabel is the HKDF info string. It makes the secret independent of other
// secrets derived from the private key.
const resetSecretLabel = "burdockrudder link reset"

// ResetSecret returns the secret for stateless resets. It is derived from the
// private key, so that it is the same after a restart of the process and is not known
// to others.
func ResetSecret(config *tls.Config) ([]byte, error) {
	key, err := x509.MarshalPKCS8PrivateKey(config.Certificates[0].PrivateKey)
	if err != nil {
		return nil, fmt.Errorf("encode private key: %w", err)
	}
	secret, err := hkdf.Key(sha256.New, key, nil, resetSecretLabel, sha256.Size)
	if err != nil {
		return nil, fmt.Errorf("derive reset secret: %w", err)
	}
	return secret, nil
}
