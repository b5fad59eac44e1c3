package target

import (
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
)

// Config holds the settings of one stand-in target. All values have text forms
// that an INI file can hold.
type Config struct {
	ID siskin.TargetID
	// Address, ReplicationAddress and AdminAddress are loopback addresses with
	// ports; port 0 chooses one. An empty AdminAddress starts no admin server.
	Address            string
	ReplicationAddress string
	AdminAddress       string
	// Primary is the group's primary at the first start.
	Primary siskin.TargetID
	// Peers maps the targets of the group to their replication addresses.
	Peers map[siskin.TargetID]string

	// The full account may write and call the control functions; the read-only
	// account may do neither.
	User, Password         string
	ReadUser, ReadPassword string
	Database               string

	// Slots is the number of slots and ConnectionsPerSlot the most connections
	// in each; more are refused with 53300.
	Slots              int
	ConnectionsPerSlot int
	// OpenTime is how long the opening of a connection takes.
	OpenTime config.Duration
	// AnswerDelay is added before each answer, LinkDelay to each record on its
	// way to this target. They stand for the distance between data centres.
	AnswerDelay config.Duration
	LinkDelay   config.Duration
	// ApplyLag is the time from the receipt of a record to its application.
	ApplyLag config.Duration
	// Heartbeat is the longest time between messages of an idle stream.
	Heartbeat config.Duration
	// RecordReceived keeps every byte received from clients, so that a test can
	// search them for keys.
	RecordReceived bool
}

func (c *Config) setDefaults() {
	set := func(s *string, value string) {
		if *s == "" {
			*s = value
		}
	}
	set(&c.Address, "127.0.0.1:0")
	set(&c.ReplicationAddress, "127.0.0.1:0")
	set(&c.User, "siskin")
	set(&c.Password, "full-secret")
	set(&c.ReadUser, "siskin_read")
	set(&c.ReadPassword, "read-secret")
	set(&c.Database, "app")
	if c.Slots == 0 {
		c.Slots = 2
	}
	if c.ConnectionsPerSlot == 0 {
		c.ConnectionsPerSlot = 16
	}
	if c.Heartbeat == 0 {
		c.Heartbeat = config.Duration(50 * time.Millisecond)
	}
}
