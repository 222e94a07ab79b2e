// Package authenticator establishes the identities of processes and callers: mutual
// TLS between processes, a small certificate authority, and API keys.
//
// A process certificate has the process name as common name and its role as
// organizational unit. Peers compare both with the hello of a link.
package authenticator

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
)

// Files holds the paths of the PEM files of a process.
type Files struct {
	CA          string `json:"ca"`
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
}

// Load reads the files and returns the TLS configuration for both ends of a link.
func (f Files) Load() (*tls.Config, error) {
	ca, err := os.ReadFile(f.CA)
	if err != nil {
		return nil, fmt.Errorf("read CA certificate: %w", err)
	}
	certificate, err := os.ReadFile(f.Certificate)
	if err != nil {
		return nil, fmt.Errorf("read certificate: %w", err)
	}
	key, err := os.ReadFile(f.Key)
	if err != nil {
		return nil, fmt.Errorf("read key: %w", err)
	}
	return Config(ca, Pair{Certificate: certificate, Key: key})
}

// Config returns the TLS configuration for both ends of a link. It requires TLS 1.3,
// and a certificate signed by the CA from both ends.
func Config(caPEM []byte, pair Pair) (*tls.Config, error) {
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(caPEM) {
		return nil, errors.New("CA file holds no certificate")
	}
	certificate, err := tls.X509KeyPair(pair.Certificate, pair.Key)
	if err != nil {
		return nil, fmt.Errorf("certificate and key: %w", err)
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{certificate},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
	}, nil
}

// Identity is the name and role of a process, as given in its certificate.
type Identity struct {
	Name string
	Role string
}

// PeerIdentity returns the identity in the verified certificate of the peer.
func PeerIdentity(state tls.ConnectionState) (Identity, error) {
	if len(state.VerifiedChains) == 0 {
		return Identity{}, errors.New("peer has no verified certificate")
	}
	return identityOf(state.VerifiedChains[0][0])
}

func identityOf(certificate *x509.Certificate) (Identity, error) {
	subject := certificate.Subject
	if subject.CommonName == "" || len(subject.OrganizationalUnit) != 1 {
		return Identity{}, errors.New("peer certificate lacks a name or a role")
	}
	return Identity{Name: subject.CommonName, Role: subject.OrganizationalUnit[0]}, nil
}

// Check returns an error unless the claimed identity equals id.
func (id Identity) Check(claimed Identity) error {
	if id != claimed {
		return fmt.Errorf("peer claims to be %s %q, its certificate is for %s %q",
			claimed.Role, claimed.Name, id.Role, id.Name)
	}
	return nil
}
