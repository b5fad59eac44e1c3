package daemon

import "siskintray.example/siskin/pkg/burn"

// receiver serves Daemon calls of other VMs over net/rpc.
type receiver struct{ d *Daemon }

// Leave starts the planned stop of this VM.
func (r *receiver) Leave(_ struct{}, started *bool) error {
	r.d.requestStop()
	*started = true
	return nil
}

// Burn returns the burn record of this VM.
func (r *receiver) Burn(_ struct{}, record *burn.Record) error {
	*record = r.d.recorder.Record()
	return nil
}
