package labcmd

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"strings"

	"github.com/jackc/pgx/v5"

	"siskintray.example/siskin"
	experiments "siskintray.example/siskin/internal/bench"
	"siskintray.example/siskin/internal/cmds"
)

// live names running VMs. The experiment measures them when a caller address is
// given.
type live struct {
	Callers    []string `long:"caller" value-name:"ADDRESS" description:"Caller.Address of a running VM, repeated for several"`
	CallerCA   string   `long:"caller-ca" value-name:"FILE" description:"certificates that sign those of the caller addresses; turns TLS on"`
	Service    string   `long:"service" value-name:"NAME" description:"service with a table kv (k, v)"`
	ReadRoute  string   `long:"read-route" value-name:"NAME" default:"read" description:"read route of the service"`
	WriteRoute string   `long:"write-route" value-name:"NAME" default:"write" description:"write route of the service"`
	KeyFiles   []string `long:"key-file" value-name:"CUSTOMER=FILE" description:"customer and a file with its key alone, repeated for several"`
	Admins     []string `long:"vm-admin" value-name:"ADDRESS" description:"Admin.Address of a VM, repeated for several; --admin by default"`

	Direct         string `long:"direct" value-name:"ADDRESS" description:"address of the primary, for the overhead against a direct connection"`
	DirectUser     string `long:"direct-user" value-name:"NAME" description:"account at the primary"`
	DirectDatabase string `long:"direct-database" value-name:"NAME" description:"database at the primary"`
	DirectPassword string `long:"direct-password-file" value-name:"FILE" description:"file with the account's password alone"`
}

// options returns what the experiment needs, or nil when no VM is named.
func (l *live) options(env *cmds.Env) (o *experiments.Live, err error) {
	if len(l.Callers) == 0 {
		return nil, nil
	}
	o = &experiments.Live{
		Callers: l.Callers, Service: siskin.ServiceName(l.Service),
		ReadRoute: siskin.RouteName(l.ReadRoute), WriteRoute: siskin.RouteName(l.WriteRoute),
	}
	if l.CallerCA != "" {
		if o.TLS, err = callerTLS(l.CallerCA); err != nil {
			return nil, err
		}
	}
	for _, pair := range l.KeyFiles {
		customer, path, ok := strings.Cut(pair, "=")
		if !ok {
			return nil, badInput("--key-file "+pair+" has no file", "use the form CUSTOMER=FILE", nil)
		}
		key, err := secret(path)
		if err != nil {
			return nil, err
		}
		o.Keys = append(o.Keys, experiments.LiveKey{Customer: siskin.CustomerID(customer), Key: key})
	}
	addresses := l.Admins
	if len(addresses) == 0 {
		addresses = []string{env.Options.Admin}
	}
	for _, address := range addresses {
		c, err := env.Client(address)
		if err != nil {
			return nil, err
		}
		o.Admins = append(o.Admins, c)
	}
	o.Direct, err = l.direct()
	return o, err
}

func (l *live) direct() (*pgx.ConnConfig, error) {
	if l.Direct == "" {
		return nil, nil
	}
	cfg, err := pgx.ParseConfig("postgres://x@" + l.Direct + "/x?sslmode=disable")
	if err != nil {
		return nil, badInput("--direct is not an address", "use the form 10.0.0.1:5432", nil)
	}
	cfg.User, cfg.Database = l.DirectUser, l.DirectDatabase
	if l.DirectPassword != "" {
		cfg.Password, err = secret(l.DirectPassword)
	}
	return cfg, err
}

// secret reads a file that holds a key or a password alone.
func secret(path string) (string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return "", badInput("file cannot be read", "check the path", err)
	}
	return strings.TrimSpace(string(data)), nil
}

func callerTLS(path string) (*tls.Config, error) {
	pem, err := os.ReadFile(path)
	if err != nil {
		return nil, badInput("file cannot be read", "check the path", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, badInput(path+" holds no certificate", "name a file with certificates in PEM", nil)
	}
	return &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS12}, nil
}

func badInput(text, remedy string, cause error) error {
	return siskin.NewError(siskin.BadInput, "%s", text).WithRemedy(remedy).WithCause(cause)
}
