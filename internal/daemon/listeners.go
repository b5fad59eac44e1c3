package daemon

import (
	"crypto/tls"
	"net"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/cfgini"
)

// listeners holds the network listeners and the TLS settings of a VM.
type listeners struct {
	caller, forward, admin net.Listener
	callerCert             *certificate
	peerTLS, adminTLS      *tls.Config
}

func openListeners(s *cfgini.Daemon) (*listeners, error) {
	l := &listeners{}
	if err := l.loadTLS(s); err != nil {
		return nil, err
	}
	for _, x := range []struct {
		listener *net.Listener
		address  string
		setting  string
	}{
		{&l.caller, s.Caller.Address, "Caller.Address"},
		{&l.forward, s.Peer.ForwardAddress, "Peer.ForwardAddress"},
		{&l.admin, s.Admin.Address, "Admin.Address"},
	} {
		bound, err := net.Listen("tcp", x.address)
		if err != nil {
			l.close()
			return nil, siskin.NewError(siskin.Unavailable, "cannot listen on %s %s", x.setting, x.address).
				WithRemedy("end the program that uses the address or choose another one").WithCause(err)
		}
		*x.listener = bound
	}
	return l, nil
}

func (l *listeners) loadTLS(s *cfgini.Daemon) (err error) {
	if s.Caller.CertFile != "" {
		if l.callerCert, err = loadCertificate(s.Caller.CertFile, s.Caller.KeyFile); err != nil {
			return err
		}
	}
	if s.Peer.CertFile != "" {
		cert, err := loadCertificate(s.Peer.CertFile, s.Peer.KeyFile)
		if err != nil {
			return err
		}
		if l.peerTLS, err = mutualTLS(cert, s.Peer.CAFile); err != nil {
			return err
		}
	}
	if s.Admin.CertFile != "" {
		cert, err := loadCertificate(s.Admin.CertFile, s.Admin.KeyFile)
		if err != nil {
			return err
		}
		if l.adminTLS, err = mutualTLS(cert, s.Admin.CAFile); err != nil {
			return err
		}
	}
	return nil
}

func (l *listeners) close() {
	for _, x := range []net.Listener{l.caller, l.forward, l.admin} {
		if x != nil {
			_ = x.Close() // nothing was accepted
		}
	}
}
