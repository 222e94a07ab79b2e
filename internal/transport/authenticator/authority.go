package authenticator

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"
)

// maxClockSkew is the duration by which certificates are backdated, so that hosts
// whose clocks are slow accept a certificate that was just issued.
const maxClockSkew = 5 * time.Minute

const (
	pemCertificate = "CERTIFICATE"
	pemPrivateKey  = "PRIVATE KEY"
)

// Pair is a certificate and its private key, both in PEM.
type Pair struct {
	Certificate []byte
	Key         []byte
}

// Write stores the pair as <name>.crt and <name>.key in dir. Only the owner may
// read the key. Existing files are not overwritten.
func (p Pair) Write(dir, name string) error {
	if err := writeNew(filepath.Join(dir, name+".key"), p.Key, 0o600); err != nil {
		return fmt.Errorf("write key: %w", err)
	}
	if err := writeNew(filepath.Join(dir, name+".crt"), p.Certificate, 0o644); err != nil {
		return fmt.Errorf("write certificate: %w", err)
	}
	return nil
}

func writeNew(path string, data []byte, mode os.FileMode) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return err
	}
	if _, err := file.Write(data); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}

// Authority is a certificate authority for the processes of one deployment.
type Authority struct {
	// Pair is the authority's own certificate and key.
	Pair Pair

	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	validity    time.Duration
}

// NewAuthority creates an authority with a new key. Its own certificate and those
// that it issues are valid for the given duration.
func NewAuthority(name string, validity time.Duration) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("generate CA key: %w", err)
	}
	template := newTemplate(pkix.Name{CommonName: name}, validity)
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.MaxPathLenZero = true
	template.KeyUsage = x509.KeyUsageCertSign
	pair, err := sign(template, template, key, key)
	if err != nil {
		return nil, fmt.Errorf("create CA certificate: %w", err)
	}
	return LoadAuthority(pair, validity)
}

// LoadAuthority returns the authority with the given pair. The certificates that it
// issues are valid for the given duration.
func LoadAuthority(pair Pair, validity time.Duration) (*Authority, error) {
	parsed, err := tls.X509KeyPair(pair.Certificate, pair.Key)
	if err != nil {
		return nil, fmt.Errorf("load CA: %w", err)
	}
	key, ok := parsed.PrivateKey.(*ecdsa.PrivateKey)
	if !ok {
		return nil, fmt.Errorf("load CA: key is %T, not ECDSA", parsed.PrivateKey)
	}
	certificate, err := x509.ParseCertificate(parsed.Certificate[0])
	if err != nil {
		return nil, fmt.Errorf("load CA: %w", err)
	}
	return &Authority{Pair: pair, certificate: certificate, key: key, validity: validity}, nil
}

// Issue creates a key and a certificate for a process that accepts connections at the
// given addresses. A process that only dials needs no addresses.
func (a *Authority) Issue(id Identity, addresses ...net.IP) (Pair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, fmt.Errorf("generate key for %s: %w", id.Name, err)
	}
	subject := pkix.Name{CommonName: id.Name, OrganizationalUnit: []string{id.Role}}
	template := newTemplate(subject, a.validity)
	template.IPAddresses = addresses
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	pair, err := sign(template, a.certificate, key, a.key)
	if err != nil {
		return Pair{}, fmt.Errorf("issue certificate for %s: %w", id.Name, err)
	}
	return pair, nil
}

// Config issues a certificate and returns the TLS configuration that uses it.
func (a *Authority) Config(id Identity, addresses ...net.IP) (*tls.Config, error) {
	pair, err := a.Issue(id, addresses...)
	if err != nil {
		return nil, err
	}
	return Config(a.Pair.Certificate, pair)
}

// newTemplate returns a template without a serial number, for which x509 generates
// a random one.
func newTemplate(subject pkix.Name, validity time.Duration) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{
		Subject:   subject,
		NotBefore: now.Add(-maxClockSkew),
		NotAfter:  now.Add(validity),
	}
}

func sign(template, parent *x509.Certificate, key, signer *ecdsa.PrivateKey) (Pair, error) {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		return Pair{}, err
	}
	secret, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Pair{}, err
	}
	return Pair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: pemCertificate, Bytes: der}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: pemPrivateKey, Bytes: secret}),
	}, nil
}
