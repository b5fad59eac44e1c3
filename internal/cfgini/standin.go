package cfgini

import (
	"slices"
	"time"
)

// StandinPlatform holds the settings of the stand-in platform.
type StandinPlatform struct {
	Platform StandinPlatformSection
}

// StandinPlatformSection is the section Platform of a stand-in platform.
type StandinPlatformSection struct {
	Address      string        `unit:"address" doc:"Address of the object API."`
	AdminAddress string        `unit:"address" doc:"Address that accepts faults."`
	Lag          time.Duration `default:"0s" max:"10m" doc:"Delay of the list of VMs behind reality."`
}

func (s *StandinPlatform) check(c *check) {
	c.requireDistinctAddresses(namedAddress{"Platform.Address", s.Platform.Address}, namedAddress{"Platform.AdminAddress", s.Platform.AdminAddress})
}

// StandinTarget holds the settings of a stand-in target.
type StandinTarget struct {
	Target StandinTargetSection
}

// StandinTargetSection is the section Target of a stand-in target.
type StandinTargetSection struct {
	ID                 string        `unit:"name" doc:"Name of the target, such as ledger-a/1."`
	DataCentre         string        `unit:"name" doc:"Data centre that the target stands in."`
	Address            string        `unit:"address" doc:"Address of the PostgreSQL listener."`
	ReplicationAddress string        `unit:"address" doc:"Address that replicas stream the log from."`
	AdminAddress       string        `unit:"address" doc:"Address that accepts faults."`
	Slots              int           `min:"1" max:"1024" doc:"Number of slots."`
	ConnectionsPerSlot int           `min:"1" max:"10000" doc:"Most connections in one slot; further ones are refused."`
	OpenTime           time.Duration `default:"0s" max:"60s" doc:"Time that opening a connection takes."`
	Group              []string      `unit:"addresses" doc:"Replication addresses of all targets of the group. Target number N of the list has the ID that ends in /N."`
	Primary            int           `default:"1" min:"1" max:"100" doc:"Number of the target that is the first primary."`
	User               string        `unit:"text" doc:"Account with write privileges."`
	Password           string        `unit:"text" doc:"Password of User."`
	ReadUser           string        `unit:"text" doc:"Account without write privileges."`
	ReadPassword       string        `unit:"text" doc:"Password of ReadUser."`
	Database           string        `unit:"text" doc:"Name of the database."`
}

func (s *StandinTarget) check(c *check) {
	t := s.Target
	c.requireDistinctAddresses(namedAddress{"Target.Address", t.Address}, namedAddress{"Target.ReplicationAddress", t.ReplicationAddress}, namedAddress{"Target.AdminAddress", t.AdminAddress})
	if len(t.Group) > 0 && t.Primary > len(t.Group) {
		c.addFinding("Target.Primary", "use a number from 1 to the length of Target.Group", "Target.Primary is not in Target.Group")
	}
	if len(t.Group) > 0 && t.ReplicationAddress != "" && !slices.Contains(t.Group, t.ReplicationAddress) {
		c.addFinding("Target.Group", "add the ReplicationAddress at the place of the target's number", "Target.Group lacks the target's own ReplicationAddress")
	}
	if t.User != "" && t.User == t.ReadUser {
		c.addFinding("Target.ReadUser", "use an account without write privileges", "Target.ReadUser is the same account as Target.User")
	}
}
