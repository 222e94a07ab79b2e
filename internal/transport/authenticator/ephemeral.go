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

// ephemeralValidity exceeds the life of any process. The certificate begins as
// long ago, since clocks of hosts differ.
const ephemeralValidity = 10 * 365 * 24 * time.Hour

// Ephemeral returns a TLS configuration with a key that is drawn now. Links are
// encrypted and not authenticated: the network decides who may connect.
func Ephemeral(id Identity) (*tls.Config, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("draw a key: %w", err)
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
		return nil, fmt.Errorf("make a certificate: %w", err)
	}
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{{Certificate: [][]byte{certificate}, PrivateKey: private}},
		InsecureSkipVerify: true,
		ClientAuth:         tls.RequireAnyClientCert,
		// The hybrid exchange costs several times the processor time of this one.
		CurvePreferences: []tls.CurveID{tls.X25519},
	}, nil
}

// ClaimedIdentity returns the identity in a peer's certificate that nobody has
// verified.
func ClaimedIdentity(state tls.ConnectionState) (Identity, error) {
	if len(state.PeerCertificates) == 0 {
		return Identity{}, errors.New("peer has no certificate")
	}
	return identityOf(state.PeerCertificates[0])
}
