package daemon

import (
	"crypto/tls"
	"fmt"
	"os"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cuminwing/cuminwing/internal/settings"
)

// certificateCheckInterval limits how often handshakes check the certificate
// files for changes.
const certificateCheckInterval = time.Second

// certificateReloader provides the TLS certificate for the caller listener. A
// changed file is loaded at the next handshake; established connections keep
// the old certificate.
type certificateReloader struct {
	files  settings.TLS
	logger *zap.Logger

	mu          sync.Mutex
	current     *tls.Certificate
	fingerprint string
	lastCheck   time.Time
}

// callerTLS returns the TLS configuration of the caller listener, or nil if the
// settings have no certificate.
func (n *Node) callerTLS() (*tls.Config, error) {
	if n.settings.CallerTLS == nil {
		return nil, nil
	}
	c := &certificateReloader{files: *n.settings.CallerTLS, logger: n.logger}
	if err := c.load(); err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return c.get(), nil },
	}, nil
}

func (c *certificateReloader) get() *tls.Certificate {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.lastCheck) < certificateCheckInterval {
		return c.current
	}
	if err := c.load(); err != nil {
		c.logger.Error("failed to load the changed caller certificate; keeping the previous one", zap.Error(err))
	}
	return c.current
}

// load reads the files if they have changed. If certificate and key do not
// match, load does not try again until a file changes again.
func (c *certificateReloader) load() error {
	c.lastCheck = time.Now()
	fingerprint := fileFingerprint(c.files.CertFile) + fileFingerprint(c.files.KeyFile)
	if fingerprint == c.fingerprint {
		return nil
	}
	c.fingerprint = fingerprint
	pair, err := tls.LoadX509KeyPair(c.files.CertFile, c.files.KeyFile)
	if err != nil {
		return fmt.Errorf("load caller certificate: %w", err)
	}
	c.current = &pair
	return nil
}

// fileFingerprint identifies a version of a file by its modification time and
// size.
func fileFingerprint(name string) string {
	info, err := os.Stat(name)
	if err != nil {
		return "missing;"
	}
	return fmt.Sprintf("%d,%d;", info.ModTime().UnixNano(), info.Size())
}
