package main

import (
	"errors"
	"fmt"
	"time"

	"siskintray.example/siskin"
)

func init() { scenarios["tenant"] = tenant }

const (
	// configApply is config_apply_ms of the site.
	configApply = 3 * time.Second
	// heir is the customer that gets the key.
	heir = "beta"
)

// tenant moves a key from one customer to another while a transaction of its
// client is open.
func tenant(r *rig) error {
	g, err := r.smallFleet()
	if err != nil {
		return err
	}
	c, err := dial(r.rec, "c", r.vms[0].caller, database(g.service, siskin.PrimaryReads), key)
	if err != nil {
		return err
	}
	defer c.close()
	for _, text := range []string{"BEGIN", "WRITE first x"} {
		if a, err := c.query(text); err != nil || a.code != "" {
			return fmt.Errorf("%s failed: %v %s", text, err, a.code)
		}
	}
	d := r.deployment()
	d.Version = 9
	d.Customers = append(d.Customers, siskin.CustomerSpec{ID: heir, Rate: 5000, Burst: 5000})
	holder := customer
	if r.trouble {
		holder = heir
		d.Customers[0].Keys, d.Customers[1].Keys = nil, d.Customers[0].Keys
	}
	r.store.SetDeployment(d)
	acked := r.rec.now()
	r.rec.logf("the operator's version 9 is acknowledged; %s holds the key", holder)
	for r.rec.now()-acked < configApply+time.Second {
		time.Sleep(500 * time.Millisecond)
		if a, err := c.query("READ first"); err != nil || a.code != "" {
			break // the transaction was ended
		}
	}
	a, _ := c.query("WRITE second x")
	e, _ := c.query("COMMIT")
	broken := 0
	for _, t := range g.targets {
		for _, s := range t.statements() {
			if (s.id == a.id || s.id == e.id) && s.customer != holder {
				broken++
				r.rec.logf("UNASKED: target %s ran %s %q for %s, but %s holds the key", t.id, s.id, s.text, s.customer, holder)
			}
		}
	}
	fmt.Printf("%d statements ran for a customer that has not held the key for %v\n", broken, configApply)
	if broken > 0 {
		return errBroken
	}
	if !r.trouble && e.code != "" {
		return errors.New("the transaction was not committed")
	}
	return nil
}
