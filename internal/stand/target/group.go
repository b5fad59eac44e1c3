package target

import (
	"errors"
	"fmt"

	"siskintray.example/siskin"
)

// StartGroup starts n targets of one group in this process, named prefix/1 to
// prefix/n, the first as primary. The function edit, if any, changes each
// configuration before the start.
func StartGroup(prefix string, n int, edit func(*Config), opts ...Option) ([]*Server, error) {
	var servers []*Server
	peers := make(map[siskin.TargetID]string, n)
	for i := range n {
		cfg := Config{
			ID:      siskin.TargetID(fmt.Sprintf("%s/%d", prefix, i+1)),
			Primary: siskin.TargetID(prefix + "/1"),
		}
		if edit != nil {
			edit(&cfg)
		}
		s, err := Start(cfg, opts...)
		if err != nil {
			return nil, errors.Join(err, CloseAll(servers))
		}
		servers = append(servers, s)
		peers[cfg.ID] = s.ReplicationAddress()
	}
	for _, s := range servers {
		s.SetPeers(peers)
	}
	return servers, nil
}

// CloseAll closes the servers.
func CloseAll(servers []*Server) error {
	var errs []error
	for _, s := range servers {
		errs = append(errs, s.Close())
	}
	return errors.Join(errs...)
}
