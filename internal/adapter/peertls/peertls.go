// Package peertls secures connections between VMs with mutual TLS. A certificate
// identifies its VM and zone by a URI, because VMs are addressed by IP and not by
// host name.
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

// URIScheme is the scheme of the URI that identifies a VM: cuminwing://zone/vm.
const URIScheme = "cuminwing"

// reloadInterval is the minimum time between two checks for changed files.
const reloadInterval = time.Second

var reloadErrors = expvar.NewInt("peer_tls_reload_errors")

// Identity is the identity of a VM as stated in its certificate.
type Identity struct {
	Zone string
	VM   string
}

// URI returns the URI that identifies the VM in certificates.
func (i Identity) URI() *url.URL {
	return &url.URL{Scheme: URIScheme, Host: i.Zone, Path: "/" + i.VM}
}

var errNoIdentity = errors.New("peer certificate does not identify exactly one VM")

// IdentityFromCert returns the identity of the VM that a certificate was issued
// to.
func IdentityFromCert(cert *x509.Certificate) (Identity, error) {
	var found []Identity
	for _, u := range cert.URIs {
		vm := strings.TrimPrefix(u.Path, "/")
		if u.Scheme == URIScheme && u.Host != "" && vm != "" && !strings.Contains(vm, "/") {
			found = append(found, Identity{u.Host, vm})
		}
	}
	if len(found) != 1 {
		return Identity{}, errNoIdentity
	}
	return found[0], nil
}

// VerifyPeerFunc returns an error to reject a peer that has a valid certificate.
// If dialed is true, address is the address that was dialed, otherwise it is the
// remote address of an accepted connection.
type VerifyPeerFunc func(id Identity, address netip.AddrPort, dialed bool) error

// Source holds the certificate of this VM and the certificate authority of its
// peers, and reloads them when their files change.
type Source struct {
	files      settings.TLS
	self       Identity
	verifyPeer VerifyPeerFunc

	mu          sync.Mutex
	cert        *tls.Certificate
	roots       *x509.CertPool
	fingerprint string
	checkedAt   time.Time
}

// Load reads the files. The certificate must identify self.
func Load(files settings.TLS, self Identity, verify VerifyPeerFunc) (*Source, error) {
	s := &Source{files: files, self: self, verifyPeer: verify}
	s.fingerprint = s.fileFingerprint()
	if err := s.loadFiles(); err != nil {
		return nil, err
	}
	s.checkedAt = time.Now()
	return s, nil
}

// loadFiles replaces the certificate and the certificate authority. On error it
// changes neither.
func (s *Source) loadFiles() error {
	cert, err := tls.LoadX509KeyPair(s.files.CertFile, s.files.KeyFile)
	if err != nil {
		return fmt.Errorf("load peer certificate and key: %w", err)
	}
	id, err := IdentityFromCert(cert.Leaf)
	if err != nil {
		return fmt.Errorf("peer certificate %s: %w", s.files.CertFile, err)
	}
	if id != s.self {
		return fmt.Errorf("peer certificate %s identifies %s, but this VM is %s", s.files.CertFile, id.URI(), s.self.URI())
	}
	pem, err := os.ReadFile(s.files.CAFile)
	if err != nil {
		return fmt.Errorf("load peer certificate authority: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return fmt.Errorf("peer certificate authority file %s contains no valid certificate", s.files.CAFile)
	}
	s.cert, s.roots = &cert, roots
	return nil
}

// current returns the current certificate and certificate authority. If changed
// files cannot be loaded, it keeps the previous ones, because a deployment may
// have replaced only some of them so far.
func (s *Source) current() (*tls.Certificate, *x509.CertPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); now.Sub(s.checkedAt) >= reloadInterval {
		s.checkedAt = now
		if fingerprint := s.fileFingerprint(); fingerprint != s.fingerprint {
			if err := s.loadFiles(); err != nil {
				reloadErrors.Add(1)
			} else {
				s.fingerprint = fingerprint
			}
		}
	}
	return s.cert, s.roots
}

// fileFingerprint returns a string that changes when one of the files is
// replaced or rewritten. It consists of their modification times and sizes.
func (s *Source) fileFingerprint() string {
	var fingerprint strings.Builder
	for _, file := range []string{s.files.CertFile, s.files.KeyFile, s.files.CAFile} {
		if info, err := os.Stat(file); err == nil {
			fmt.Fprintf(&fingerprint, "%d/%d ", info.ModTime().UnixNano(), info.Size())
		}
	}
	return fingerprint.String()
}

// ServerConfig returns the TLS configuration of the listener for peers.
func (s *Source) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(hello *tls.ClientHelloInfo) (*tls.Config, error) {
			cert, roots := s.current()
			config := s.baseConfig(cert, hello.Conn.RemoteAddr().String(), false)
			config.ClientAuth = tls.RequireAndVerifyClientCert
			config.ClientCAs = roots
			return config, nil
		},
	}
}

// WrapDial wraps dial. The returned function opens a connection with dial and
// performs the TLS handshake with the peer.
func (s *Source) WrapDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		conn := tls.Client(raw, s.clientConfig(address))
		if err := conn.HandshakeContext(ctx); err != nil {
			_ = raw.Close()
			return nil, fmt.Errorf("TLS handshake with peer %s: %w", address, err)
		}
		return conn, nil
	}
}

func (s *Source) clientConfig(address string) *tls.Config {
	cert, roots := s.current()
	config := s.baseConfig(cert, address, true)
	// The standard verification requires the address in the certificate. This
	// function verifies the chain instead, and the identity in place of a host
	// name.
	config.InsecureSkipVerify = true
	verifyIdentity := config.VerifyConnection
	config.VerifyConnection = func(state tls.ConnectionState) error {
		if err := verifyChain(state.PeerCertificates, roots); err != nil {
			return err
		}
		return verifyIdentity(state)
	}
	return config
}

func (s *Source) baseConfig(cert *tls.Certificate, address string, dialed bool) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*cert},
		// Otherwise, a session could still be resumed after the certificate
		// authority that verified it has been replaced.
		SessionTicketsDisabled: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			if len(state.PeerCertificates) == 0 {
				return errNoIdentity
			}
			id, err := IdentityFromCert(state.PeerCertificates[0])
			if err != nil {
				return err
			}
			remote, err := netip.ParseAddrPort(address)
			if err != nil {
				return fmt.Errorf("peer address %q: %w", address, err)
			}
			return s.verifyPeer(id, remote, dialed)
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
