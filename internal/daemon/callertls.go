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

// certificateCheck is how often a handshake looks for a new certificate file.
const certificateCheck = time.Second

// certificate is the certificate shown to callers. A changed file is read at
// the next handshake; running connections keep theirs.
type certificate struct {
	files  settings.TLS
	logger *zap.Logger

	mu      sync.Mutex
	current *tls.Certificate
	stamp   string
	checked time.Time
}

// callerTLS returns the TLS configuration for callers; nil without one.
func (n *Node) callerTLS() (*tls.Config, error) {
	if n.settings.CallerTLS == nil {
		return nil, nil
	}
	c := &certificate{files: *n.settings.CallerTLS, logger: n.logger}
	if err := c.load(); err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return c.get(), nil },
	}, nil
}

func (c *certificate) get() *tls.Certificate {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.checked) < certificateCheck {
		return c.current
	}
	if err := c.load(); err != nil {
		c.logger.Error("new caller certificate refused; the former one stays", zap.Error(err))
	}
	return c.current
}

// load reads the files if they changed. A pair that does not fit is tried
// again after the next change only.
func (c *certificate) load() error {
	c.checked = time.Now()
	stamp := fileStamp(c.files.CertFile) + fileStamp(c.files.KeyFile)
	if stamp == c.stamp {
		return nil
	}
	c.stamp = stamp
	pair, err := tls.LoadX509KeyPair(c.files.CertFile, c.files.KeyFile)
	if err != nil {
		return fmt.Errorf("load caller certificate: %w", err)
	}
	c.current = &pair
	return nil
}

func fileStamp(name string) string {
	info, err := os.Stat(name)
	if err != nil {
		return "missing;"
	}
	return fmt.Sprintf("%d,%d;", info.ModTime().UnixNano(), info.Size())
}
