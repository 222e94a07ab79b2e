package authenticator

import (
	"crypto/tls"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

var loopback = net.IPv4(127, 0, 0, 1)

func newAuthority(t *testing.T) *Authority {
	t.Helper()
	authority, err := NewAuthority("test", time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	return authority
}

// handshake returns the server's connection state and the errors of the server and
// the client. The client reads one byte that the server sends, because in TLS 1.3 it
// learns only from a read that the server rejected its certificate.
func handshake(t *testing.T, server, client *tls.Config) (tls.ConnectionState, error, error) {
	t.Helper()
	near, far := net.Pipe()
	var group errgroup.Group
	client = client.Clone()
	client.ServerName = loopback.String()
	dialer := tls.Client(near, client)
	acceptor := tls.Server(far, server)
	t.Cleanup(func() { _ = near.Close(); _ = far.Close() })
	group.Go(func() error {
		_, err := dialer.Read(make([]byte, 1))
		_ = near.Close()
		return err
	})
	err := acceptor.Handshake()
	if err == nil {
		_, err = acceptor.Write([]byte{1})
	}
	_ = far.Close()
	return acceptor.ConnectionState(), err, group.Wait()
}

// Guards against a name or role that is lost or changed when a certificate is issued,
// written to files, loaded, and presented in a handshake.
func TestIdentitySurvivesFilesAndHandshake(t *testing.T) {
	authority := newAuthority(t)
	dir := t.TempDir()
	if err := authority.Pair.Write(dir, "ca"); err != nil {
		t.Fatal(err)
	}
	want := Identity{Name: "w1", Role: "agent"}
	pair, err := authority.Issue(want)
	if err != nil {
		t.Fatal(err)
	}
	if err := pair.Write(dir, "w1"); err != nil {
		t.Fatal(err)
	}
	path := func(name string) string { return filepath.Join(dir, name) }
	client, err := Files{CA: path("ca.crt"), Certificate: path("w1.crt"), Key: path("w1.key")}.Load()
	if err != nil {
		t.Fatal(err)
	}
	server, err := authority.Config(Identity{Name: "e1", Role: "entry"}, loopback)
	if err != nil {
		t.Fatal(err)
	}
	state, serverErr, clientErr := handshake(t, server, client)
	if serverErr != nil || clientErr != nil {
		t.Fatal(serverErr, clientErr)
	}
	got, err := PeerIdentity(state)
	if err != nil || got != want {
		t.Errorf("identity %+v, error %v; want %+v", got, err, want)
	}
	if got.Check(Identity{Name: "w2", Role: "agent"}) == nil || got.Check(Identity{Name: "w1", Role: "entry"}) == nil {
		t.Error("Check accepted another name or role")
	}
}

// Guards against links with processes whose certificate is from another CA or missing,
// with servers at an address that is not in their certificate, and over TLS 1.2.
func TestHandshakeRefusals(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	config := func(a *Authority, addresses ...net.IP) *tls.Config {
		c, err := a.Config(Identity{Name: "p", Role: "entry"}, addresses...)
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	anonymous := config(ours)
	anonymous.Certificates = nil
	old := config(ours)
	old.MinVersion, old.MaxVersion = tls.VersionTLS12, tls.VersionTLS12
	for name, pair := range map[string][2]*tls.Config{
		"client of another CA":       {config(ours, loopback), config(theirs)},
		"server of another CA":       {config(theirs, loopback), config(ours)},
		"client without certificate": {config(ours, loopback), anonymous},
		"server at another address":  {config(ours, net.IPv4(127, 0, 0, 2)), config(ours)},
		"TLS 1.2":                    {config(ours, loopback), old},
	} {
		t.Run(name, func(t *testing.T) {
			if _, serverErr, clientErr := handshake(t, pair[0], pair[1]); serverErr == nil && clientErr == nil {
				t.Error("handshake succeeded")
			}
		})
	}
}

// Guards against a CA key that is overwritten when an operator runs the command that
// creates it a second time.
func TestWriteKeepsExistingFiles(t *testing.T) {
	dir := t.TempDir()
	if err := newAuthority(t).Pair.Write(dir, "ca"); err != nil {
		t.Fatal(err)
	}
	if err := newAuthority(t).Pair.Write(dir, "ca"); err == nil {
		t.Error("existing key was overwritten")
	}
	info, err := os.Stat(filepath.Join(dir, "ca.key"))
	if err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("key file %v, error %v; want mode 0600", info, err)
	}
}

// Guards against a secret that gets the grant of another key, and against an unknown
// secret that gets any grant.
func TestFindKey(t *testing.T) {
	keys := []Key[string]{
		{Hash: HashKey("first"), Grant: "lamis"},
		{Hash: HashKey("second"), Grant: "apfm"},
	}
	for secret, want := range map[string]string{"first": "lamis", "second": "apfm", "third": "", "": ""} {
		got, ok := FindKey(keys, secret)
		if got != want || ok != (want != "") {
			t.Errorf("secret %q: grant %q, %v; want %q", secret, got, ok, want)
		}
	}
	if _, ok := FindKey[string](nil, ""); ok {
		t.Error("empty list of keys returned a grant")
	}
}

// Guards against an Authorization header of another scheme, or without a secret, that
// is accepted as a key.
func TestBearer(t *testing.T) {
	for header, want := range map[string]string{
		"Bearer abc": "abc", "bearer abc": "abc", "Basic abc": "", "Bearer ": "", "Bearer": "", "": "",
	} {
		if got, ok := Bearer(header); got != want || ok != (want != "") {
			t.Errorf("header %q: %q, %v; want %q", header, got, ok, want)
		}
	}
}

// Guards against a secret that was entered instead of its hash and is written to a log
// with the parse error.
func TestParseKeyHash(t *testing.T) {
	want := HashKey("s")
	if got, err := ParseKeyHash(want.String()); err != nil || got != want {
		t.Errorf("%v, %v; want %v", got, err, want)
	}
	_, err := ParseKeyHash("my-secret")
	if err == nil || strings.Contains(err.Error(), "my-secret") {
		t.Errorf("error %v; want one without the text", err)
	}
}
