package authenticator

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"errors"
	"fmt"
	"math/big"
	"time"
)

// ephemeralValidity exceeds the time that any process runs. The certificate is
// backdated by the same duration, because the clocks of hosts differ.
const ephemeralValidity = 10 * 365 * 24 * time.Hour

// Ephemeral returns a TLS configuration with a newly generated key and a self-signed
// certificate. Links that use it are encrypted but not authenticated. Access control
// is left to the network.
func Ephemeral(id Identity) (*tls.Config, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("generate key: %w", err)
	}
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()),
		Subject:      pkix.Name{CommonName: id.Name, OrganizationalUnit: []string{id.Role}},
		NotBefore:    now.Add(-ephemeralValidity),
		NotAfter:     now.Add(ephemeralValidity),
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, public, private)
	if err != nil {
		return nil, fmt.Errorf("create self-signed certificate: %w", err)
	}
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{{Certificate: [][]byte{certificate}, PrivateKey: private}},
		InsecureSkipVerify: true,
		ClientAuth:         tls.RequireAnyClientCert,
		// The hybrid key exchange takes several times the processor time of X25519.
		CurvePreferences: []tls.CurveID{tls.X25519},
	}, nil
}

// ClaimedIdentity returns the identity in the unverified certificate of the peer.
func ClaimedIdentity(state tls.ConnectionState) (Identity, error) {
	if len(state.PeerCertificates) == 0 {
		return Identity{}, errors.New("peer has no certificate")
	}
	return identityOf(state.PeerCertificates[0])
}
