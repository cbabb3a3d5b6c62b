// Package peertls secures connections between VMs with mutual TLS. A
// certificate names its VM and zone in a URI, because VMs are addressed by IP.
package peertls

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"expvar"
	"fmt"
	"net"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cuminwing/cuminwing/internal/settings"
)

// Scheme is the scheme of the URI that names a VM: cuminwing://zone/vm.
const Scheme = "cuminwing"

// reloadInterval bounds how often the files are looked at.
const reloadInterval = time.Second

var reloadErrors = expvar.NewInt("peer_tls_reload_errors")

// Identity is what a certificate states about a VM.
type Identity struct {
	Zone string
	VM   string
}

// URI returns the form that stands in certificates.
func (i Identity) URI() *url.URL {
	return &url.URL{Scheme: Scheme, Host: i.Zone, Path: "/" + i.VM}
}

var errNoIdentity = errors.New("peer certificate does not name exactly one VM")

// IdentityOf returns the VM that a certificate names.
func IdentityOf(cert *x509.Certificate) (Identity, error) {
	var found []Identity
	for _, u := range cert.URIs {
		vm := strings.TrimPrefix(u.Path, "/")
		if u.Scheme == Scheme && u.Host != "" && vm != "" && !strings.Contains(vm, "/") {
			found = append(found, Identity{u.Host, vm})
		}
	}
	if len(found) != 1 {
		return Identity{}, errNoIdentity
	}
	return found[0], nil
}

// Check decides about a peer with a valid certificate. Address is the one that
// was dialed, or the remote address of an accepted connection.
type Check func(id Identity, address netip.AddrPort, dialed bool) error

// Source holds the certificate of this VM and the authority of its peers, and
// reads them again when the files change.
type Source struct {
	files settings.TLS
	self  Identity
	check Check

	mu     sync.Mutex
	cert   *tls.Certificate
	roots  *x509.CertPool
	stamp  string
	looked time.Time
}

// Load reads the files. The certificate must name self.
func Load(files settings.TLS, self Identity, check Check) (*Source, error) {
	s := &Source{files: files, self: self, check: check}
	s.stamp = s.fileStamp()
	if err := s.read(); err != nil {
		return nil, err
	}
	s.looked = time.Now()
	return s, nil
}

// read replaces the certificate and the authority, or changes nothing.
func (s *Source) read() error {
	cert, err := tls.LoadX509KeyPair(s.files.CertFile, s.files.KeyFile)
	if err != nil {
		return fmt.Errorf("load peer certificate: %w", err)
	}
	id, err := IdentityOf(cert.Leaf)
	if err != nil {
		return fmt.Errorf("peer certificate %s: %w", s.files.CertFile, err)
	}
	if id != s.self {
		return fmt.Errorf("peer certificate %s names %s, but this VM is %s", s.files.CertFile, id.URI(), s.self.URI())
	}
	pem, err := os.ReadFile(s.files.CAFile)
	if err != nil {
		return fmt.Errorf("load peer certificate authority: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return fmt.Errorf("peer certificate authority %s has no certificate", s.files.CAFile)
	}
	s.cert, s.roots = &cert, roots
	return nil
}

// current returns what is in force. Files that cannot be used leave the
// former certificate in force, because a deployment may be half done.
func (s *Source) current() (*tls.Certificate, *x509.CertPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); now.Sub(s.looked) >= reloadInterval {
		s.looked = now
		if stamp := s.fileStamp(); stamp != s.stamp {
			if err := s.read(); err != nil {
				reloadErrors.Add(1)
			} else {
				s.stamp = stamp
			}
		}
	}
	return s.cert, s.roots
}

// fileStamp changes when a file is replaced or rewritten.
func (s *Source) fileStamp() string {
	var stamp strings.Builder
	for _, file := range []string{s.files.CertFile, s.files.KeyFile, s.files.CAFile} {
		if info, err := os.Stat(file); err == nil {
			fmt.Fprintf(&stamp, "%d/%d ", info.ModTime().UnixNano(), info.Size())
		}
	}
	return stamp.String()
}

// ServerConfig returns the configuration of the listener for peers.
func (s *Source) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(hello *tls.ClientHelloInfo) (*tls.Config, error) {
			cert, roots := s.current()
			config := s.config(cert, hello.Conn.RemoteAddr().String(), false)
			config.ClientAuth = tls.RequireAndVerifyClientCert
			config.ClientCAs = roots
			return config, nil
		},
	}
}

// Dial opens connections to peers through dial.
func (s *Source) Dial(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		conn := tls.Client(raw, s.clientConfig(address))
		if err := conn.HandshakeContext(ctx); err != nil {
			_ = raw.Close()
			return nil, fmt.Errorf("TLS with peer %s: %w", address, err)
		}
		return conn, nil
	}
}

func (s *Source) clientConfig(address string) *tls.Config {
	cert, roots := s.current()
	config := s.config(cert, address, true)
	// The standard check wants the address in the certificate; the chain is
	// checked here and the identity in place of the name.
	config.InsecureSkipVerify = true
	identify := config.VerifyConnection
	config.VerifyConnection = func(state tls.ConnectionState) error {
		if err := verifyChain(state.PeerCertificates, roots); err != nil {
			return err
		}
		return identify(state)
	}
	return config
}

func (s *Source) config(cert *tls.Certificate, address string, dialed bool) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*cert},
		// A resumed session would be accepted by an authority that has been
		// replaced since.
		SessionTicketsDisabled: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			if len(state.PeerCertificates) == 0 {
				return errNoIdentity
			}
			id, err := IdentityOf(state.PeerCertificates[0])
			if err != nil {
				return err
			}
			remote, err := netip.ParseAddrPort(address)
			if err != nil {
				return fmt.Errorf("peer address %q: %w", address, err)
			}
			return s.check(id, remote, dialed)
		},
	}
}

func verifyChain(chain []*x509.Certificate, roots *x509.CertPool) error {
	if len(chain) == 0 {
		return errNoIdentity
	}
	intermediates := x509.NewCertPool()
	for _, c := range chain[1:] {
		intermediates.AddCert(c)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots:         roots,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	return err
}
