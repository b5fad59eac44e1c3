package main

import (
	"errors"
	"fmt"

	"siskintray.example/siskin"
)

func init() {
	scenarios["text"] = text
	scenarios["smuggle"] = smuggle
}

// smallFleet starts two VMs in two data centres and one service.
func (r *rig) smallFleet() (*group, error) {
	err := r.start([]string{"dc-1", "dc-2"}, groupOptions{
		service: "ledger", slots: 3, work: 3e6, maxConns: 38, sync: 1, promotion: 600e6,
		targets: []targetOptions{{zone: "dc-1", lag: 20e6}, {zone: "dc-2", lag: 20e6}, {zone: "dc-1", lag: 20e6}},
	})
	if err != nil {
		return nil, err
	}
	return r.groups[0], nil
}

// text writes and reads data with a letter of ISO 8859-1 through each VM. At
// least one of the two is not the home of the primary.
func text(r *rig) error {
	g, err := r.smallFleet()
	if err != nil {
		return err
	}
	data := "h\xe4meenlinna" // ISO 8859-1
	if !r.trouble {
		data = "h\u00e4meenlinna" // UTF-8
	}
	broken := 0
	sent := make(map[string]string) // text by id
	for _, v := range r.vms {
		c, err := dial(r.rec, v.id, v.caller, database(g.service, siskin.PrimaryReads), key)
		if err != nil {
			return err
		}
		defer c.close()
		text := "WRITE " + v.id + " " + data
		a, err := c.query(text)
		if err != nil || a.code != "" {
			return fmt.Errorf("the write through %s failed: %v %s", v.id, err, a.code)
		}
		sent[a.id] = text
	}
	for _, s := range g.targets[0].statements() {
		if want, ok := sent[s.id]; ok && s.text != want {
			broken++
			r.rec.logf("UNASKED: the client sent %s %q, and the target ran %q", s.id, want, s.text)
			fmt.Printf("sent %q, ran %q\n", want, s.text)
		}
	}
	// The data is written at the target itself, so that only the answers of
	// reads pass through the VMs.
	if _, ok := g.commit(g.targets[0], []change{{"town", data}}); !ok {
		return errors.New("the target is not primary")
	}
	for _, v := range r.vms {
		c, err := dial(r.rec, v.id+"-read", v.caller, database(g.service, siskin.PrimaryReads), key)
		if err != nil {
			return err
		}
		defer c.close()
		a, err := c.query("READ town")
		if err != nil || a.code != "" || len(a.rows) != 1 {
			return fmt.Errorf("the read through %s failed: %v %s", v.id, err, a.code)
		}
		if a.rows[0] != data {
			broken++
			r.rec.logf("MIXED: the target answered %s with row %q, and the client got %q", a.id, data, a.rows[0])
			fmt.Printf("row %q, got %q\n", data, a.rows[0])
		}
	}
	if broken > 0 {
		return errBroken
	}
	return nil
}

// smuggle sends two writes whose data contains a line feed: a text of two
// lines, and one with the text of another request in its second line. Only CR LF
// ends a message.
func smuggle(r *rig) error {
	g, err := r.smallFleet()
	if err != nil {
		return err
	}
	separator := "\n"
	if !r.trouble {
		separator = " "
	}
	const inner = "inner0001"
	sent := make(map[string]string) // text by id
	answered := 0
	for _, text := range []string{
		"WRITE note wound the clock" + separator + "left the key with the verger",
		"WRITE note first" + separator + "QUERY " + inner + " WRITE account emptied",
	} {
		c, err := dial(r.rec, "c", r.vms[0].caller, database(g.service, siskin.PrimaryReads), key)
		if err != nil {
			return err
		}
		defer c.close()
		a, err := c.query(text)
		sent[a.id] = text
		if err == nil && a.code == "" {
			answered++
		}
		if r.trouble {
			_, _ = c.query("READ note") // the answer does not matter
		}
	}
	broken := 0
	for _, t := range g.targets {
		for _, s := range t.statements() {
			want, ok := sent[s.id]
			switch {
			case s.id == inner:
				broken++
				r.rec.logf("UNASKED: target %s ran %s %q, which was inside another request", t.id, s.id, s.text)
			case ok && s.text != want:
				broken++
				r.rec.logf("UNASKED: target %s ran %s as %q, the client sent %q", t.id, s.id, s.text, want)
			}
		}
		if t.holds("account", "emptied") {
			r.rec.logf("the log of %s has the smuggled write", t.id)
		}
	}
	fmt.Printf("%d writes acknowledged; %d statements ran that no client sent, or with changed text\n", answered, broken)
	if broken > 0 {
		return errBroken
	}
	if answered != len(sent) {
		return errors.New("the writes were refused")
	}
	return nil
}
