package labcmd

import (
	"context"
	"fmt"
	"strings"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/cfgini"
	"siskintray.example/siskin/internal/cmds"
	"siskintray.example/siskin/internal/stand/objapi"
	"siskintray.example/siskin/internal/stand/target"
	"siskintray.example/siskin/pkg/config"
)

const standinPlatformHelp = `Runs a stand-in of the platform until it is interrupted. docs/SETTINGS.md lists
the settings.

Example:
  siskintray standin platform --config examples/local/platform.ini`

const standinTargetHelp = `Runs a stand-in of one target until it is interrupted. docs/SETTINGS.md lists the
settings.

Example:
  siskintray standin target --config examples/local/ledger-a-1.ini`

// standinPlatform runs a stand-in of the platform.
type standinPlatform struct {
	Config string `long:"config" value-name:"FILE" required:"yes" description:"settings of the stand-in"`
}

// Run implements cmds.Runner.
func (s *standinPlatform) Run(ctx context.Context, env *cmds.Env) (cmds.Output, error) {
	var cfg cfgini.StandinPlatform
	if err := cfgini.Load(s.Config, &cfg); err != nil {
		return cmds.Output{}, err
	}
	p := cfg.Platform
	server, err := objapi.Start(objapi.Config{Listen: p.Address, Admin: p.AdminAddress, VMLag: p.Lag})
	if err != nil {
		return cmds.Output{}, err
	}
	fmt.Fprintf(env.Stderr, "platform stand-in on %s\n", server.Address())
	<-ctx.Done()
	return cmds.Output{}, server.Close()
}

// standinTarget runs a stand-in of a target.
type standinTarget struct {
	Config string `long:"config" value-name:"FILE" required:"yes" description:"settings of the stand-in"`
}

// Run implements cmds.Runner.
func (s *standinTarget) Run(ctx context.Context, env *cmds.Env) (cmds.Output, error) {
	var cfg cfgini.StandinTarget
	if err := cfgini.Load(s.Config, &cfg); err != nil {
		return cmds.Output{}, err
	}
	server, err := target.Start(targetConfig(&cfg.Target))
	if err != nil {
		return cmds.Output{}, err
	}
	fmt.Fprintf(env.Stderr, "target stand-in %s on %s\n", server.ID(), server.Address())
	<-ctx.Done()
	return cmds.Output{}, server.Close()
}

// targetConfig turns the settings into those of the stand-in. The targets of a
// group are numbered from 1 in the order of their replication addresses.
func targetConfig(t *cfgini.StandinTargetSection) target.Config {
	prefix := t.ID
	if i := strings.LastIndexByte(t.ID, '/'); i >= 0 {
		prefix = t.ID[:i]
	}
	id := func(n int) siskin.TargetID { return siskin.TargetID(fmt.Sprintf("%s/%d", prefix, n)) }
	peers := make(map[siskin.TargetID]string, len(t.Group))
	for i, address := range t.Group {
		peers[id(i+1)] = address
	}
	return target.Config{
		ID:                 siskin.TargetID(t.ID),
		Address:            t.Address,
		ReplicationAddress: t.ReplicationAddress,
		AdminAddress:       t.AdminAddress,
		Primary:            id(t.Primary),
		Peers:              peers,
		User:               t.User,
		Password:           t.Password,
		ReadUser:           t.ReadUser,
		ReadPassword:       t.ReadPassword,
		Database:           t.Database,
		Slots:              t.Slots,
		ConnectionsPerSlot: t.ConnectionsPerSlot,
		OpenTime:           config.Duration(t.OpenTime),
	}
}
