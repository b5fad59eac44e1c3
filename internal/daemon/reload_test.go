package daemon

import (
	"crypto/tls"
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/phuslu/log"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/cfgini"
	"siskintray.example/siskin/internal/logs"
	"siskintray.example/siskin/internal/stand/objapi"
	"siskintray.example/siskin/pkg/token"
)

// reloadCase changes one setting and reports whether the change is in force.
type reloadCase struct {
	change  func(t *testing.T, s *cfgini.Daemon)
	inForce func(t *testing.T, d *Daemon, s *cfgini.Daemon) bool
}

// reloadCases holds one case per reloadable setting, by its name.
var reloadCases = map[string]reloadCase{
	"Caller.CertFile": {
		func(t *testing.T, s *cfgini.Daemon) {
			cert, key, _ := writeCertificates(t, t.TempDir())
			copyFile(t, key, s.Caller.KeyFile)
			s.Caller.CertFile = cert
		}, servesCertificate,
	},
	"Caller.KeyFile": {
		func(t *testing.T, s *cfgini.Daemon) {
			cert, key, _ := writeCertificates(t, t.TempDir())
			s.Caller.KeyFile = key
			copyFile(t, cert, s.Caller.CertFile)
		}, servesCertificate,
	},
	"Caller.MaxConnections": {
		func(_ *testing.T, s *cfgini.Daemon) { s.Caller.MaxConnections = 7 },
		func(_ *testing.T, d *Daemon, _ *cfgini.Daemon) bool { return d.node.Limits().MaxConnections == 7 },
	},
	"Caller.StartTimeout": {
		func(_ *testing.T, s *cfgini.Daemon) { s.Caller.StartTimeout = 3 * time.Second },
		func(_ *testing.T, d *Daemon, _ *cfgini.Daemon) bool {
			return d.node.Limits().StartupTimeout == 3*time.Second
		},
	},
	"Caller.MaxMessage": {
		func(_ *testing.T, s *cfgini.Daemon) { s.Caller.MaxMessage = 64 << 10 },
		func(_ *testing.T, d *Daemon, _ *cfgini.Daemon) bool { return d.node.Limits().MaxMessage == 64<<10 },
	},
	"Platform.ReadsPerSecond": {
		func(_ *testing.T, s *cfgini.Daemon) { s.Platform.ReadsPerSecond = 33 },
		func(_ *testing.T, d *Daemon, _ *cfgini.Daemon) bool { r, _ := d.platform.Budget(); return r == 33 },
	},
	"Platform.WritesPerSecond": {
		func(_ *testing.T, s *cfgini.Daemon) { s.Platform.WritesPerSecond = 44 },
		func(_ *testing.T, d *Daemon, _ *cfgini.Daemon) bool { _, w := d.platform.Budget(); return w == 44 },
	},
	"Token.KeyFile": {
		func(t *testing.T, s *cfgini.Daemon) {
			s.Token.KeyFile = newKey(t, "a token key that signs from now on")
		},
		func(t *testing.T, d *Daemon, s *cfgini.Daemon) bool { return accepts(t, d, s.Token.KeyFile) },
	},
	"Token.PreviousKeyFile": {
		func(t *testing.T, s *cfgini.Daemon) {
			s.Token.PreviousKeyFile = newKey(t, "a token key that signed before")
		},
		func(t *testing.T, d *Daemon, s *cfgini.Daemon) bool { return accepts(t, d, s.Token.PreviousKeyFile) },
	},
	"Stop.Deadline": {
		func(_ *testing.T, s *cfgini.Daemon) { s.Stop.Deadline = 9 * time.Second },
		func(_ *testing.T, d *Daemon, _ *cfgini.Daemon) bool {
			return time.Duration(d.stopDeadline.Load()) == 9*time.Second
		},
	},
	"Log.Level": {
		func(_ *testing.T, s *cfgini.Daemon) { s.Log.Level = "error" },
		func(_ *testing.T, d *Daemon, _ *cfgini.Daemon) bool { return logs.Level(d.log()) == log.ErrorLevel },
	},
}

// TestReload guards against a reloadable setting whose change is accepted but
// has no effect, and against a rejected reload that changes some settings.
func TestReload(t *testing.T) {
	d := startOne(t)
	current := *d.settings
	for _, setting := range cfgini.Describe(d.settings) {
		test, ok := reloadCases[setting.Name()]
		if ok != setting.Reload {
			t.Errorf("%s: marked as reloadable %v, tested %v", setting.Name(), setting.Reload, ok)
		}
		if !setting.Reload {
			continue
		}
		next := current
		test.change(t, &next)
		if test.inForce(t, d, &next) {
			t.Errorf("%s: in force before the reload", setting.Name())
		}
		for _, fault := range []func(*cfgini.Daemon){
			func(s *cfgini.Daemon) { s.Token.KeyFile = newKey(t, "short") },
			func(s *cfgini.Daemon) { s.Token.PreviousKeyFile = filepath.Join(t.TempDir(), "missing") },
			func(s *cfgini.Daemon) { s.Caller.KeyFile = s.Token.KeyFile },
			func(s *cfgini.Daemon) { s.Caller.CertFile, s.Caller.KeyFile = "", "" },
		} {
			faulty := next
			fault(&faulty)
			if err := d.reload(&faulty); siskin.KindOf(err) != siskin.BadInput {
				t.Errorf("%s: faulty reload: got %v, want kind BadInput", setting.Name(), err)
			}
			if test.inForce(t, d, &next) {
				t.Errorf("%s: in force after a rejected reload", setting.Name())
			}
		}
		if err := d.reload(&next); err != nil {
			t.Errorf("%s: %v", setting.Name(), err)
		}
		if !test.inForce(t, d, &next) {
			t.Errorf("%s: not in force after the reload", setting.Name())
		}
		current = next
	}
}

// startOne starts a VM without groups that uses TLS for callers.
func startOne(t *testing.T) *Daemon {
	t.Helper()
	cert, private, key := writeCertificates(t, t.TempDir())
	platform, err := objapi.Start(objapi.Config{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = platform.Close() })
	s := &cfgini.Daemon{
		VM:       cfgini.VM{ID: "vm-1", DataCentre: "dc-1"},
		Caller:   cfgini.Caller{Address: "127.0.0.1:0", CertFile: cert, KeyFile: private},
		Peer:     cfgini.Peer{Address: "127.0.0.1:0", ForwardAddress: "127.0.0.1:0"},
		Admin:    cfgini.Admin{Address: "127.0.0.1:0"},
		Platform: cfgini.Platform{Addresses: []string{platform.Address()}, ReadsPerSecond: 20, WritesPerSecond: 5},
		Token:    cfgini.Token{KeyFile: key},
		Stop:     cfgini.Stop{Deadline: 5 * time.Second},
	}
	d, err := Start(s, WithLog(logs.New("info", "json", io.Discard)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Kill)
	return d
}

func copyFile(t *testing.T, from, to string) {
	t.Helper()
	data, err := os.ReadFile(from)
	if err == nil {
		err = os.WriteFile(to, data, 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
}

func newKey(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "token.key")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// accepts reports whether the VM accepts tokens signed with the key in the file.
func accepts(t *testing.T, d *Daemon, path string) bool {
	t.Helper()
	key, err := readKey(path)
	if err != nil {
		t.Fatal(err)
	}
	codec, err := token.NewCodec(key, nil)
	if err != nil {
		t.Fatal(err)
	}
	_, err = d.tokens.Verify("ledger", []byte(codec.Encode(token.Token{Service: "ledger"})))
	return err == nil
}

// servesCertificate reports whether the VM presents the certificate of the
// settings to callers.
func servesCertificate(t *testing.T, d *Daemon, s *cfgini.Daemon) bool {
	t.Helper()
	pair, err := tls.LoadX509KeyPair(s.Caller.CertFile, s.Caller.KeyFile)
	if err != nil {
		t.Fatal(err)
	}
	var seen []byte
	cfg, err := pgconn.ParseConfig("postgres://shop@" + d.CallerAddress() + "/ledger?sslmode=require")
	if err != nil {
		t.Fatal(err)
	}
	cfg.TLSConfig.VerifyPeerCertificate = nil
	cfg.TLSConfig.VerifyConnection = func(state tls.ConnectionState) error {
		seen = state.PeerCertificates[0].Raw
		return nil
	}
	if conn, err := pgconn.ConnectConfig(t.Context(), cfg); err == nil {
		_ = conn.Close(t.Context()) // not reached, since no service exists
	}
	return string(seen) == string(pair.Certificate[0])
}
