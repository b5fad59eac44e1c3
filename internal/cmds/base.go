package cmds

import (
	"context"

	"siskintray.example/siskin/pkg/config"
)

// base says which configuration a command works against: the one in force, an
// export, or none.
type base struct {
	Base    string `long:"base" value-name:"FILE" description:"work against this export instead of a VM"`
	Offline bool   `long:"offline" description:"work against an empty configuration instead of a VM"`
}

func (b *base) local() bool { return b.Base != "" || b.Offline }

func (b *base) view(ctx context.Context, env *Env) (config.View, error) {
	switch {
	case b.Base != "" && b.Offline:
		return nil, usageError("--base and --offline exclude each other")
	case b.Offline:
		return config.NewSnapshot(0, nil, nil), nil
	case b.Base != "":
		data, err := readFile(b.Base)
		if err != nil {
			return nil, err
		}
		return config.DecodeExport(data)
	}
	c, err := env.client()
	if err != nil {
		return nil, err
	}
	env.Progress("reading the configuration in force from %s", env.Options.Admin)
	var data []byte
	if err := c.Get(ctx, "/config/export", &data); err != nil {
		return nil, err
	}
	return config.DecodeExport(data)
}
