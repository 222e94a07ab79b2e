package authenticator

import (
	"crypto/hkdf"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"fmt"
)

// restartLabel separates the secret from other uses of the private key.
const restartLabel = "burdockrudder link reset"

// RestartSecret returns a secret that a process finds again after a restart. It is
// derived from the private key, which nobody else knows.
func RestartSecret(config *tls.Config) ([]byte, error) {
	key, err := x509.MarshalPKCS8PrivateKey(config.Certificates[0].PrivateKey)
	if err != nil {
		return nil, fmt.Errorf("encode the private key: %w", err)
	}
	secret, err := hkdf.Key(sha256.New, key, nil, restartLabel, sha256.Size)
	if err != nil {
		return nil, fmt.Errorf("derive the restart secret: %w", err)
	}
	return secret, nil
}
