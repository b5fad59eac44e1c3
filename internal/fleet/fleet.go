package fleet

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/phuslu/log"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/load"
	"siskintray.example/siskin/internal/netem"
	"siskintray.example/siskin/internal/peer"
	"siskintray.example/siskin/pkg/config"
	"siskintray.example/siskin/pkg/keys"
)

// Fleet is a running deployment.
type Fleet struct {
	Profile  load.Profile
	Net      *netem.Network
	Links    *peer.Links // calls between VMs
	Standins             // empty when they run in another process
	VMs      []*VM
	// Keys holds one key per customer.
	Keys map[siskin.CustomerID]string

	log       *log.Logger
	dir       string
	remote    *Remote
	addresses *Addresses
	secure    bool
	cert      *certificate
}

// Option changes how a Fleet is started.
type Option func(*Fleet)

// WithLog sets the logger of all VMs; the default logs nothing.
func WithLog(l *log.Logger) Option { return func(f *Fleet) { f.log = l } }

// WithRemote uses stand-ins that another process runs. The links of the VMs are
// then plain connections without delays and faults, so that this process spends
// nothing on them.
func WithRemote(r *Remote) Option { return func(f *Fleet) { f.remote = r } }

// WithTLS uses TLS towards callers and mutual TLS between VMs.
func WithTLS() Option { return func(f *Fleet) { f.secure = true } }

// CertFile returns the certificate that callers trust, with WithTLS.
func (f *Fleet) CertFile() string { return f.cert.cert }

// Start runs a deployment and waits until its configuration is in force.
func Start(ctx context.Context, p load.Profile, opts ...Option) (*Fleet, error) {
	f := &Fleet{
		Profile: p,
		Net:     netem.New(p.Delay),
		Links:   new(peer.Links),
		Keys:    make(map[siskin.CustomerID]string),
		log:     &log.Logger{Level: log.PanicLevel},
	}
	for _, opt := range opts {
		opt(f)
	}
	if err := f.start(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) (err error) {
	if f.dir, err = os.MkdirTemp("", "siskintray"); err != nil {
		return err
	}
	if err := os.WriteFile(f.tokenKey(), []byte("token key of a fleet on loopback"), 0o600); err != nil {
		return err
	}
	if f.secure {
		if f.cert, err = writeCertificate(f.dir); err != nil {
			return err
		}
	}
	if err := f.startStandins(); err != nil {
		return err
	}
	for i := range f.Profile.VMs {
		vm, err := f.startVM(i)
		if err != nil {
			return err
		}
		f.VMs = append(f.VMs, vm)
	}
	if err := f.Apply(ctx, f.change()); err != nil {
		return err
	}
	return f.waitReady(ctx)
}

// loopback lets the system choose a port.
const loopback = "127.0.0.1:0"

// PlatformHost is the name of the platform in Net.Cut.
const PlatformHost = "platform"

// platformPlace is a data centre of its own, so that it can be cut off from all.
const platformPlace siskin.DataCentreID = "platform"

func (f *Fleet) tokenKey() string { return filepath.Join(f.dir, "token.key") }

func (f *Fleet) startStandins() error {
	if f.remote != nil {
		f.addresses = &f.remote.Addresses
		return nil
	}
	s, err := StartStandins(f.Profile, false)
	if err != nil {
		return err
	}
	f.Standins, f.addresses = *s, s.Addresses()
	f.Net.Place(f.addresses.Platform, PlatformHost, platformPlace)
	for _, group := range f.addresses.Targets {
		for n, t := range group {
			f.Net.Place(t.Address, string(t.ID), f.Profile.DataCentre(n))
		}
	}
	return nil
}

func credentials(service siskin.ServiceName) config.Credentials {
	return config.Credentials{
		User:         string(service),
		Password:     string(service) + "-full",
		ReadUser:     string(service) + "-ro",
		ReadPassword: string(service) + "-read",
		Database:     string(service),
	}
}

// change returns the configuration of the profile, with a new key for each
// customer.
func (f *Fleet) change() *config.Change {
	change := &config.Change{}
	for _, name := range f.Profile.Services {
		change.Services = append(change.Services, f.service(name))
	}
	for _, c := range f.Profile.Customers {
		key := keys.Generate()
		f.Keys[c.ID] = key
		change.Customers = append(change.Customers, &config.Customer{
			ID: c.ID, Rate: c.Rate, Burst: c.Burst, Weight: c.Weight,
			Services: f.Profile.Services,
			Keys:     []config.Key{{ID: "k1", Digest: keys.Digest(key)}},
		})
	}
	return change
}

// Routes of every service.
const (
	WriteRoute siskin.RouteName = "write"
	ReadRoute  siskin.RouteName = "read"
	AgedRoute  siskin.RouteName = "aged"
)

func (f *Fleet) service(name siskin.ServiceName) *config.Service {
	s := &config.Service{
		Name:               name,
		Slots:              f.Profile.Slots,
		ConnectionsPerSlot: f.Profile.ConnectionsPerSlot,
		OpenTime:           config.Duration(f.Profile.OpenTime),
		AckReplicas:        1,
		MaxUnconfirmed:     config.Duration(2 * time.Second),
		Credentials:        credentials(name),
		KeyGrace:           config.Duration(time.Minute),
		Routes: []config.Route{
			{Name: WriteRoute, Mode: config.WriteRoute, Deadline: config.Duration(10 * time.Second)},
			{Name: ReadRoute, Mode: config.ReadRoute, Repeatable: true, Deadline: config.Duration(10 * time.Second)},
			{Name: AgedRoute, Mode: config.ReadRoute, Repeatable: true, MaxAge: config.Duration(5 * time.Second), Deadline: config.Duration(10 * time.Second)},
		},
	}
	for n, t := range f.addresses.Targets[name] {
		s.Targets = append(s.Targets, config.Target{ID: t.ID, DataCentre: f.Profile.DataCentre(n), Address: t.Address})
	}
	return s
}

// Addresses returns the caller addresses of the VMs.
func (f *Fleet) Addresses() []string {
	var all []string
	for _, vm := range f.VMs {
		all = append(all, vm.settings.Caller.Address)
	}
	return all
}

// Close ends everything.
func (f *Fleet) Close() {
	for _, vm := range f.VMs {
		vm.Kill()
	}
	if f.Platform != nil {
		_ = f.Standins.Close() // nothing uses them any more
	}
	_ = f.Net.Close()
	if f.dir != "" {
		_ = os.RemoveAll(f.dir)
	}
}

// KeyLeaks returns a text for each customer's key that a target received.
func (f *Fleet) KeyLeaks() []string {
	var found []string
	for _, group := range f.Groups {
		for _, t := range group {
			for customer, key := range f.Keys {
				if t.Received(key) {
					found = append(found, fmt.Sprintf("target %s received the key of customer %s", t.ID(), customer))
				}
			}
		}
	}
	return found
}
