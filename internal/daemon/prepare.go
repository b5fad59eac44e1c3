package daemon

import (
	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/node"
)

// prepareLimits makes this VM a holder of quota units for the customers of the
// services that it is a home of, before their first request. Otherwise the first
// request waits for the platform and can be refused although it is within the
// rate.
func (d *Daemon) prepareLimits() {
	for {
		changed, fleetChanged := d.spread.Changed(), d.members.Changed()
		d.limiter.Prepare(d.localCustomers()...)
		select {
		case <-changed:
		case <-fleetChanged:
		case <-d.ctx.Done():
			return
		}
	}
}

// localCustomers returns the customers of the services that this VM is a home
// of.
func (d *Daemon) localCustomers() []siskin.CustomerID {
	watched := make(map[siskin.ServiceName]bool)
	for _, name := range d.spread.Services() {
		if d.node.Watches(name) {
			watched[name] = true
		}
	}
	var ids []siskin.CustomerID
	for _, id := range d.spread.Customers() {
		c, ok := d.spread.Customer(id)
		if !ok {
			continue
		}
		for _, name := range c.Services {
			if watched[name] {
				ids = append(ids, id)
				break
			}
		}
	}
	return ids
}

// customerHomes returns those of the given VMs that are homes of the services
// of a customer.
func (d *Daemon) customerHomes(id siskin.CustomerID, vms []siskin.VM) []siskin.VM {
	c, ok := d.spread.Customer(id)
	if !ok {
		return nil
	}
	var homes []siskin.VM
	seen := make(map[siskin.VMID]bool)
	for _, name := range c.Services {
		s, ok := d.spread.Service(name)
		if !ok {
			continue
		}
		for _, vm := range node.HomesAmong(s, vms) {
			if !seen[vm.ID] {
				seen[vm.ID] = true
				homes = append(homes, vm)
			}
		}
	}
	return homes
}

// Units returns the units of a customer's quota that this VM holds.
func (d *Daemon) Units(customer siskin.CustomerID) siskin.QuotaUnits {
	return d.limiter.Units(customer)
}
