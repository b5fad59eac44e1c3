package main

import (
	"fmt"

	"siskintray.example/siskin"
)

func init() { scenarios["values"] = values }

// values changes a value of the session before the commit of a transaction.
func values(r *rig) error {
	g, err := r.smallFleet()
	if err != nil {
		return err
	}
	broken := 0
	for _, v := range r.vms {
		c, err := dial(r.rec, v.id, v.caller, database(g.service, siskin.PrimaryReads), key)
		if err != nil {
			return err
		}
		defer c.close()
		list := []string{"SET mode a", "BEGIN", "WRITE " + v.id + " x", "SET mode b", "COMMIT"}
		want := "b"
		if !r.trouble {
			list, want = []string{"SET mode a", "BEGIN", "WRITE " + v.id + " x", "COMMIT"}, "a"
		}
		var a answer
		for _, text := range list {
			if a, err = c.query(text); err != nil || a.code != "" {
				return fmt.Errorf("%s failed: %v %s", text, err, a.code)
			}
		}
		for _, t := range g.targets {
			for _, s := range t.statements() {
				if s.id == a.id && s.values["mode"] != want {
					broken++
					r.rec.logf("PINNED: target %s ran %s %q with mode %q, acknowledged was %q", t.id, s.id, s.text, s.values["mode"], want)
				}
			}
		}
	}
	fmt.Printf("%d commits ran with another value than was acknowledged\n", broken)
	if broken > 0 {
		return errBroken
	}
	return nil
}
