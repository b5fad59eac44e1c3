package cmds

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"siskintray.example/siskin/internal/admin"
	"siskintray.example/siskin/internal/admin/admintest"
)

// TestMutualTLS guards against a command line that talks to a VM whose
// certificate it did not verify, or that does not show its own.
func TestMutualTLS(t *testing.T) {
	dir, other := t.TempDir(), t.TempDir()
	makeCert(t, dir)
	makeCert(t, other)
	cert, err := tls.LoadX509KeyPair(filepath.Join(dir, "cert"), filepath.Join(dir, "key"))
	if err != nil {
		t.Fatal(err)
	}
	roots := x509.NewCertPool()
	data, _ := os.ReadFile(filepath.Join(dir, "cert"))
	roots.AppendCertsFromPEM(data)
	server := httptest.NewUnstartedServer(admin.New(admintest.New().Backend()))
	server.TLS = &tls.Config{Certificates: []tls.Certificate{cert}, ClientCAs: roots, ClientAuth: tls.RequireAndVerifyClientCert}
	server.StartTLS()
	defer server.Close()
	for _, c := range []struct {
		name, ca, own string
		want          int
	}{{"both known", dir, dir, ExitOK}, {"unknown VM", other, dir, ExitUnavailable}, {"unknown operator", dir, other, ExitUnavailable}} {
		var out, errs bytes.Buffer
		got := Main([]string{
			"status", "--admin", server.Listener.Addr().String(),
			"--ca", filepath.Join(c.ca, "cert"), "--cert", filepath.Join(c.own, "cert"), "--key", filepath.Join(c.own, "key"),
		}, nil, &out, &errs)
		if got != c.want {
			t.Errorf("%s: got exit code %d, want %d: %s", c.name, got, c.want, errs.String())
		}
	}
}

// makeCert writes a certificate for loopback that signs itself.
func makeCert(t *testing.T, dir string) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	for name, block := range map[string]*pem.Block{"cert": {Type: "CERTIFICATE", Bytes: der}, "key": {Type: "PRIVATE KEY", Bytes: private}} {
		if err := os.WriteFile(filepath.Join(dir, name), pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
}
