package cmds

import "siskintray.example/siskin/internal/cfgini"

// Reload asks a running VM to put changed settings in force.
type Reload struct {
	// Settings passed all checks of the file and differ from those in force
	// only where a reload is allowed.
	Settings *cfgini.Daemon
	// Result takes one answer: nil when the settings are in force, else the
	// reason why nothing changed. It must be
	// answered; the answer does not block.
	Result chan<- error
}
