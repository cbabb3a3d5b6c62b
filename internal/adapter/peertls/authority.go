package peertls

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net/url"
	"time"
)

// serialBits is the maximum length of the random certificate serial numbers.
const serialBits = 127

// Authority is a certificate authority that issues the certificates of the VMs
// of one service.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority creates a self-signed certificate authority that is valid until
// end.
func NewAuthority(end time.Time) (*Authority, error) {
	template := &x509.Certificate{
		Subject:               pkix.Name{CommonName: "cuminwing peers"},
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
		NotAfter:              end,
	}
	a := &Authority{}
	var err error
	a.cert, a.key, err = a.sign(template)
	return a, err
}

// CertPEM returns the authority's certificate, which VMs need as ca_file.
func (a *Authority) CertPEM() []byte { return certPEM(a.cert) }

// Issue creates a certificate and private key for one VM. Both are PEM-encoded.
func (a *Authority) Issue(id Identity, end time.Time) (cert, key []byte, err error) {
	c, k, err := a.sign(&x509.Certificate{
		Subject:     pkix.Name{CommonName: id.VM},
		URIs:        []*url.URL{id.URI()},
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		NotAfter:    end,
	})
	if err != nil {
		return nil, nil, err
	}
	der, err := x509.MarshalPKCS8PrivateKey(k)
	if err != nil {
		return nil, nil, fmt.Errorf("encode private key: %w", err)
	}
	return certPEM(c), pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der}), nil
}

func (a *Authority) sign(template *x509.Certificate) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, fmt.Errorf("generate private key: %w", err)
	}
	template.SerialNumber, err = rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, nil, fmt.Errorf("generate certificate serial number: %w", err)
	}
	parent, signer := a.cert, a.key
	if parent == nil {
		parent, signer = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		return nil, nil, fmt.Errorf("sign certificate: %w", err)
	}
	cert, err := x509.ParseCertificate(der)
	return cert, key, err
}

func certPEM(c *x509.Certificate) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: c.Raw})
}
