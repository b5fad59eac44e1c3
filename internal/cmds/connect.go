package cmds

import (
	"crypto/tls"
	"crypto/x509"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/admin"
)

// client returns a client of the VM that --admin names.
func (e *Env) client() (*admin.Client, error) { return e.Client(e.Options.Admin) }

// Client returns a client of the VM at an admin address, with the certificates
// of the options.
func (e *Env) Client(address string) (*admin.Client, error) {
	o := e.Options
	if o.CA == "" && o.Cert == "" && o.Key == "" {
		return admin.NewClient(address, nil), nil
	}
	if o.CA == "" || o.Cert == "" || o.Key == "" {
		return nil, usageError("--ca, --cert and --key go together")
	}
	pem, err := readFile(o.CA)
	if err != nil {
		return nil, err
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, siskin.NewError(siskin.BadInput, "%s holds no certificate", o.CA).WithRemedy("name a file with certificates in PEM")
	}
	cert, err := tls.LoadX509KeyPair(o.Cert, o.Key)
	if err != nil {
		return nil, siskin.NewError(siskin.BadInput, "certificate cannot be read").WithCause(err).WithRemedy("check --cert and --key")
	}
	return admin.NewClient(address, &tls.Config{RootCAs: roots, Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS13}), nil
}
