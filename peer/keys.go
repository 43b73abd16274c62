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
	// TLSName is the DNS name that every instance's certificate must contain. The name is
	// the same for all instances, because their IP addresses change.
	TLSName = "instance.mastwheel.internal"
	// alpn identifies the protocol and its version in the TLS handshake.
	alpn = "mastwheel/1"
)

// Identity is a certificate with its key and the trusted authorities.
type Identity struct {
	Certificate tls.Certificate
	Authorities *x509.CertPool
}

// Keys holds the identity in use. Replace changes it while connections are
// open.
type Keys struct{ current atomic.Pointer[Identity] }

// NewKeys returns Keys with an initial identity.
func NewKeys(identity *Identity) *Keys {
	k := &Keys{}
	k.current.Store(identity)
	return k
}

// Replace sets the identity for new connections.
func (k *Keys) Replace(identity *Identity) { k.current.Store(identity) }

// LoadIdentity reads an identity from PEM files.
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
		return nil, errors.Errorf("read authorities: %s: no certificate found", authorityFile)
	}
	return &Identity{Certificate: certificate, Authorities: pool}, nil
}

// clientConfig returns the TLS configuration for one outgoing connection. It
// is built for each connection, so that a replaced identity takes effect.
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

// serverConfig returns the TLS configuration for incoming connections. It
// verifies clients in VerifyConnection instead of by ClientAuth, so that
// onRejected is called for every client that is rejected.
func (k *Keys) serverConfig(onRejected func()) *tls.Config {
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
						onRejected()
					}
					return err
				},
			}, nil
		},
	}
}

// verifyClient rejects a client without a certificate, with a certificate that
// the authorities did not sign, or with one that isn't for an instance.
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

// Authority signs identities for the local trial and tests. In production the
// operators supply the certificates.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// certificateValidity is the validity of a locally generated certificate.
const certificateValidity = 24 * time.Hour

// NewAuthority generates an authority with a self-signed certificate.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate authority key")
	}
	template := certificateTemplate("mastwheel authority")
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Wrap(err, "create authority certificate")
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Wrap(err, "parse authority certificate")
	}
	return &Authority{certificate: certificate, key: key}, nil
}

// Identity generates a key and a signed certificate for an instance.
func (a *Authority) Identity(name string) (*Identity, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate instance key")
	}
	template := certificateTemplate(name)
	template.DNSNames = []string{TLSName}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return nil, errors.Wrap(err, "create instance certificate")
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
		NotAfter:     now.Add(certificateValidity),
	}
}

// Names of the files that PEM returns.
const (
	CertificateFile = "instance.crt"
	KeyFile         = "instance.key"
	AuthoritiesFile = "authorities.crt"
)

// PEM generates an identity for an instance and returns it as the contents of
// the files that LoadIdentity reads, by file name.
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
