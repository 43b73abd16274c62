package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// TLSName is the DNS name that every instance's certificate must carry.
	// Addresses are IP numbers that change, so the name says the role.
	TLSName = "instance.mastwheel.internal"
	// alpn names the protocol version between siblings.
	alpn = "mastwheel/1"
)

// Identity is a certificate with its key, and the authorities to trust.
type Identity struct {
	Certificate tls.Certificate
	Authorities *x509.CertPool
}

// Keys holds the identity in use. Replace swaps it while connections live.
type Keys struct{ current atomic.Pointer[Identity] }

// NewKeys returns keys with a first identity.
func NewKeys(identity *Identity) *Keys {
	k := &Keys{}
	k.current.Store(identity)
	return k
}

// Replace makes new connections use another identity.
func (k *Keys) Replace(identity *Identity) { k.current.Store(identity) }

// LoadIdentity reads PEM files.
func LoadIdentity(certFile, keyFile, authorityFile string) (*Identity, error) {
	certificate, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, errors.Wrapf(err, "read %s and %s", certFile, keyFile)
	}
	authorities, err := os.ReadFile(authorityFile)
	if err != nil {
		return nil, errors.Wrap(err, "read authorities")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authorities) {
		return nil, errors.Errorf("%s: no certificate found", authorityFile)
	}
	return &Identity{Certificate: certificate, Authorities: pool}, nil
}

// clientConfig is read for each new connection, so that it uses the identity
// of that moment.
func (k *Keys) clientConfig() *tls.Config {
	identity := k.current.Load()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{alpn},
		ServerName:   TLSName,
		RootCAs:      identity.Authorities,
		Certificates: []tls.Certificate{identity.Certificate},
	}
}

// serverConfig verifies clients itself rather than by the library's setting,
// so that every stranger is counted.
func (k *Keys) serverConfig(stranger func()) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{alpn},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			identity := k.current.Load()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				NextProtos:   []string{alpn},
				ClientAuth:   tls.RequestClientCert,
				Certificates: []tls.Certificate{identity.Certificate},
				VerifyConnection: func(state tls.ConnectionState) error {
					err := verifyClient(state, identity.Authorities)
					if err != nil {
						stranger()
					}
					return err
				},
			}, nil
		},
	}
}

// verifyClient refuses a client with no certificate, one that our authorities
// did not sign, and one that is not an instance's.
func verifyClient(state tls.ConnectionState, authorities *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("client sent no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		DNSName:       TLSName,
		Roots:         authorities,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth},
	})
	return errors.Wrap(err, "verify client")
}

// Authority signs identities. The local trial and tests use it; in production
// the certificates come from the operators.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// authorityLife is how long a locally made certificate is valid.
const authorityLife = 24 * time.Hour

// NewAuthority makes a fresh authority.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "make authority key")
	}
	template := certificateTemplate("mastwheel authority")
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Wrap(err, "make authority certificate")
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Wrap(err, "read authority certificate")
	}
	return &Authority{certificate: certificate, key: key}, nil
}

// Identity makes a certificate for an instance.
func (a *Authority) Identity(name string) (*Identity, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "make instance key")
	}
	template := certificateTemplate(name)
	template.DNSNames = []string{TLSName}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return nil, errors.Wrap(err, "make instance certificate")
	}
	pool := x509.NewCertPool()
	pool.AddCert(a.certificate)
	certificate := tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
	return &Identity{Certificate: certificate, Authorities: pool}, nil
}

func certificateTemplate(name string) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-time.Minute),
		NotAfter:     now.Add(authorityLife),
	}
}

// Names of the files that PEM makes.
const (
	CertificateFile = "instance.crt"
	KeyFile         = "instance.key"
	AuthoritiesFile = "authorities.crt"
)

// PEM makes an instance's identity as the files that LoadIdentity reads.
func (a *Authority) PEM(name string) (map[string][]byte, error) {
	identity, err := a.Identity(name)
	if err != nil {
		return nil, err
	}
	key, err := x509.MarshalPKCS8PrivateKey(identity.Certificate.PrivateKey)
	if err != nil {
		return nil, errors.Wrap(err, "encode instance key")
	}
	block := func(kind string, der []byte) []byte {
		return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	}
	return map[string][]byte{
		CertificateFile: block("CERTIFICATE", identity.Certificate.Certificate[0]),
		KeyFile:         block("PRIVATE KEY", key),
		AuthoritiesFile: block("CERTIFICATE", a.certificate.Raw),
	}, nil
}
