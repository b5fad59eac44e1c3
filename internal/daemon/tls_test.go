package daemon

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/phuslu/log"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/cfgini"
	"siskintray.example/siskin/internal/stand/objapi"
	"siskintray.example/siskin/internal/stand/target"
	"siskintray.example/siskin/pkg/config"
	"siskintray.example/siskin/pkg/keys"
)

// writeCertificates writes a self-signed certificate for 127.0.0.1, its private
// key and a token key.
func writeCertificates(t *testing.T, dir string) (cert, key, token string) {
	t.Helper()
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "vm"}, NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, private.Public(), private)
	if err != nil {
		t.Fatal(err)
	}
	pkcs8, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		t.Fatal(err)
	}
	write := func(name string, data []byte) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, data, 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	return write("cert.pem", pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})),
		write("key.pem", pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: pkcs8})),
		write("token.key", []byte("token key of a test of two VMs"))
}

// startSecureVMs starts a platform, a group and two VMs with TLS on all their
// addresses, and applies a configuration with one key.
func startSecureVMs(t *testing.T) (vms []*Daemon, cert, key string) {
	t.Helper()
	cert, private, token := writeCertificates(t, t.TempDir())
	platform, err := objapi.Start(objapi.Config{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = platform.Close() })
	group, err := target.StartGroup("ledger", 3, func(c *target.Config) { c.Slots, c.ConnectionsPerSlot = 1, 4 })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = target.CloseAll(group) })
	var seeds []string
	for i := range 2 {
		s := &cfgini.Daemon{
			VM:       cfgini.VM{ID: fmt.Sprintf("vm-%d", i+1), DataCentre: "dc-1"},
			Caller:   cfgini.Caller{Address: "127.0.0.1:0", CertFile: cert, KeyFile: private},
			Peer:     cfgini.Peer{Address: "127.0.0.1:0", ForwardAddress: "127.0.0.1:0", CertFile: cert, KeyFile: private, CAFile: cert, Seeds: seeds},
			Admin:    cfgini.Admin{Address: "127.0.0.1:0"},
			Platform: cfgini.Platform{Addresses: []string{platform.Address()}, ReadsPerSecond: 20},
			Token:    cfgini.Token{KeyFile: token},
			Stop:     cfgini.Stop{Deadline: 5 * time.Second},
		}
		d, err := Start(s, WithLog(&log.Logger{Level: log.PanicLevel}))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(d.Kill)
		platform.SetVM(d.VM())
		seeds = append(seeds, d.PeerAddress())
		vms = append(vms, d)
	}
	key = keys.Generate()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if _, err := vms[0].Apply(ctx, change(group, key)); err != nil {
		t.Fatal(err)
	}
	for _, d := range vms {
		for !d.Ready(2) {
			if ctx.Err() != nil {
				t.Fatal("VMs are not ready after 10 s")
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return vms, cert, key
}

func change(group []*target.Server, key string) *config.Change {
	s := &config.Service{
		Name: "ledger", Slots: 1, ConnectionsPerSlot: 4, AckReplicas: 1, OpenTime: config.Duration(time.Millisecond),
		MaxUnconfirmed: config.Duration(time.Second), KeyGrace: config.Duration(time.Minute),
		Credentials: config.Credentials{User: "siskin", Password: "full-secret", ReadUser: "siskin_read", ReadPassword: "read-secret", Database: "app"},
		Routes:      []config.Route{{Name: "write", Mode: config.WriteRoute, Deadline: config.Duration(5 * time.Second)}},
	}
	for _, t := range group {
		s.Targets = append(s.Targets, config.Target{ID: t.ID(), DataCentre: "dc-1", Address: t.Address()})
	}
	return &config.Change{Services: []*config.Service{s}, Customers: []*config.Customer{{
		ID: "shop", Rate: 100, Burst: 100, Weight: 1, Services: []siskin.ServiceName{s.Name}, Keys: []config.Key{{ID: "k1", Digest: keys.Digest(key)}},
	}}}
}

// TestTLS guards against connections of callers, forwarded transactions or calls
// between VMs that fail with TLS.
func TestTLS(t *testing.T) {
	vms, cert, key := startSecureVMs(t)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for i, d := range vms {
		url := fmt.Sprintf("postgres://shop:%s@%s/ledger%%2Fwrite?sslmode=verify-full&sslrootcert=%s", key, d.CallerAddress(), cert)
		conn, err := pgx.Connect(ctx, url)
		if err != nil {
			t.Fatalf("VM %d: %v", i+1, err)
		}
		// The primary has one slot, so one of the VMs forwards to the other.
		for n := range 8 {
			if _, err := conn.Exec(ctx, "INSERT INTO kv (k, v) VALUES ($1, $2)", fmt.Sprintf("k%d-%d", i, n), "v"); err != nil {
				t.Fatalf("VM %d: %v", i+1, err)
			}
		}
		_ = conn.Close(ctx) // the session ends even if this fails
	}
}
