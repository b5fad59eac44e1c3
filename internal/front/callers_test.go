package front

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/stand/target"
	"siskintray.example/siskin/pkg/config"
)

// TestSlowReader guards against a caller that does not read its answer and so
// occupies a target connection past its deadline.
func TestSlowReader(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 2, func(_ *target.Config, s *config.Service) { s.Slots, s.ConnectionsPerSlot = 1, 2 })
	for _, vm := range f.vms {
		for range 4 {
			c := vm.connectRaw(t, "badges/short")
			_ = c.conn.(*net.TCPConn).SetReadBuffer(4 << 10)
			c.fe.Send(&pgproto3.Query{String: "select generate_series(1, 2000000)"})
			c.flush()
		}
	}
	start := time.Now()
	if a := f.vms[0].connectRaw(t, "badges/write").query("select 1"); a.code() != "" {
		t.Errorf("other caller: got %+v, want its answer", a.err)
	}
	// Eight callers occupy two connections for 300 ms each; 1 s is allowed on
	// top.
	if got, want := time.Since(start), 5*time.Second; got > want {
		t.Errorf("other caller waited %v, want at most its deadline of %v", got, want)
	}
}

// TestMalformedInput guards against malformed input that affects other callers
// or gets no clear error.
func TestMalformedInput(t *testing.T) {
	f := startFleet(t, 1, nil)
	vm := f.vms[0]
	good := vm.connectRaw(t, "badges/write")
	for name, b := range map[string]string{
		"length":  "\x7f\xff\xff\xff\x00\x03\x00\x00",
		"version": "\x00\x00\x00\x08\x00\x02\x00\x00",
		"no end":  "\x00\x00\x00\x0b\x00\x03\x00\x00use",
	} {
		c := vm.dialRaw(t)
		_, _ = c.conn.Write([]byte(b))
		if a := c.read(); a.code() != "08P01" {
			t.Errorf("%s: got %+v, want 08P01", name, a)
		}
	}
	for name, test := range map[string]struct{ bytes, code string }{
		"type":          {"!\x00\x00\x00\x04", "08P01"},
		"short length":  {"Q\x00\x00\x00\x01", "08P01"},
		"oversize":      {"Q\x3f\xff\xff\xff", "54000"},
		"malformed":     {"B\x00\x00\x00\x05xS\x00\x00\x00\x04", "08P01"},
		"oversize bind": {"B\x3f\xff\xff\xff", "54000"},
	} {
		c := vm.connectRaw(t, "badges/write")
		_, _ = c.conn.Write([]byte(test.bytes))
		msg := c.receive()
		if e, ok := msg.(*pgproto3.ErrorResponse); !ok || e.Code != test.code || e.Hint == "" {
			t.Errorf("%s: got %+v, want %s with a hint", name, msg, test.code)
		}
	}
	big := strings.Repeat("x", 100_000)
	if a := good.query("select '" + big + "'"); len(a.values) != 1 || a.values[0] != big {
		t.Errorf("a long statement: got %v %+v, want it in the answer", len(a.values), a.err)
	}
}

// TestMaxConnections guards against callers that exhaust the memory by opening
// connections.
func TestMaxConnections(t *testing.T) {
	f := startFleetWith(t, 1, nil, func(c *Config) { c.MaxConnections = 2 })
	f.vms[0].connectRaw(t, "badges/write")
	f.vms[0].connectRaw(t, "badges/write")
	if _, err := f.vms[0].dialPGX("write", testKey, ""); sqlState(err) != "53300" {
		t.Errorf("got %v, want 53300", err)
	}
}

// TestTLS guards against a failing start-up over TLS, and against a request for
// the key on a connection that has no TLS and is not on loopback.
func TestTLS(t *testing.T) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	cfg := &tls.Config{Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}}
	f := startFleetWith(t, 1, nil, func(c *Config) { c.TLS = cfg })
	vm := f.vms[0]
	conn, err := vm.dialPGX("write", testKey, "sslmode=require")
	if err != nil {
		t.Fatal(err)
	}
	var got string
	if err := conn.QueryRow(t.Context(), "select 'secure'").Scan(&got); err != nil || got != "secure" {
		t.Errorf("got %q, %v, want secure", got, err)
	}
	_ = conn.Close(t.Context())
	c := newSession(vm.front, nil)
	c.service, c.route = "badges", "write"
	if err := c.authenticate(false); siskin.KindOf(err) != siskin.KeyRefused {
		t.Errorf("without TLS outside of loopback: got %v, want kind KeyRefused", err)
	}
}
