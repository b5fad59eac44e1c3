package daemon

import (
	"crypto/tls"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/cfgini"
	"siskintray.example/siskin/internal/logs"
)

// reload applies the settings that can change while the VM runs, and reads the
// certificate and token keys again. Every step that can fail precedes the first
// one with an effect, so an error changes nothing.
func (d *Daemon) reload(next *cfgini.Daemon) error {
	cert := d.listeners.callerCert
	if (cert == nil) != (next.Caller.CertFile == "") {
		return siskin.NewError(siskin.BadInput, "TLS towards callers cannot be turned on or off while the VM runs").
			WithRemedy("restore Caller.CertFile or restart the VM with a planned stop")
	}
	var pair *tls.Certificate
	if cert != nil {
		var err error
		if pair, err = loadPair(next.Caller.CertFile, next.Caller.KeyFile); err != nil {
			return err
		}
	}
	current, previous, err := readKeys(next.Token)
	if err != nil {
		return err
	}
	if err := d.tokens.SetKeys(current, previous); err != nil {
		return err
	}
	if cert != nil {
		cert.pair.Store(pair)
	}
	d.node.SetLimits(callerLimits(&next.Caller))
	d.platform.SetBudget(next.Platform.ReadsPerSecond, next.Platform.WritesPerSecond)
	d.stopDeadline.Store(int64(next.Stop.Deadline))
	logs.SetLevel(d.log(), next.Log.Level)
	return nil
}
