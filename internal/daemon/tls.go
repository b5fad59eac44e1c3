package daemon

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"

	"siskintray.example/siskin"
)

// certificate is a certificate with its private key that can be replaced without
// a restart.
type certificate struct {
	pair atomic.Pointer[tls.Certificate]
}

func loadCertificate(certFile, keyFile string) (*certificate, error) {
	pair, err := loadPair(certFile, keyFile)
	if err != nil {
		return nil, err
	}
	c := new(certificate)
	c.pair.Store(pair)
	return c, nil
}

func loadPair(certFile, keyFile string) (*tls.Certificate, error) {
	pair, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, siskin.NewError(siskin.BadInput, "certificate %s cannot be used", certFile).
			WithRemedy("name a certificate and its private key in PEM").WithCause(err)
	}
	return &pair, nil
}

func (c *certificate) get(*tls.ClientHelloInfo) (*tls.Certificate, error) { return c.pair.Load(), nil }

func (c *certificate) getClient(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
	return c.pair.Load(), nil
}

// serverTLS returns the TLS settings of a listener, nil without a certificate.
func serverTLS(c *certificate) *tls.Config {
	if c == nil {
		return nil
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: c.get}
}

// mutualTLS returns the TLS settings of both ends of connections whose peers
// must present a certificate signed by the given authorities, or nil without a
// certificate.
func mutualTLS(c *certificate, caFile string) (*tls.Config, error) {
	if c == nil {
		return nil, nil
	}
	pem, err := os.ReadFile(caFile)
	if err != nil {
		return nil, siskin.NewError(siskin.BadInput, "certificates %s cannot be read", caFile).
			WithRemedy("name the certificates that sign those of VMs").WithCause(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, siskin.NewError(siskin.BadInput, "file %s holds no certificate", caFile).
			WithRemedy("name the certificates that sign those of VMs, in PEM")
	}
	return &tls.Config{
		MinVersion:           tls.VersionTLS13,
		GetCertificate:       c.get,
		GetClientCertificate: c.getClient,
		RootCAs:              pool,
		ClientCAs:            pool,
		ClientAuth:           tls.RequireAndVerifyClientCert,
	}, nil
}
