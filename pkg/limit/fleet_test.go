package limit

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
	"siskintray.example/siskin/pkg/invar"
)

func init() {
	invar.OnViolation(func(name, detail string) { panic(name + ": " + detail) })
}

const oneWayDelay = 1500 * time.Microsecond

// fleet is a set of limiters with a shared fake clock, fake peers and a fake
// platform. Requests for units are delayed; other calls complete at once.
type fleet struct {
	at              time.Time
	rng             *rand.Rand
	vms             []*node
	view            *view
	objects         map[siskin.ObjectName]siskin.Object
	platformDown    bool // the platform does not answer
	lossRate        float64
	partitioned     func(a, b *node) bool
	messages        []message
	unansweredCalls int // calls to VMs that could not be reached
	sent            int
	bytes           int
}

type message struct {
	at  time.Time
	to  *node
	run func()
}

// node is one incarnation of a VM. It implements siskin.Members for that VM.
type node struct {
	f              *fleet
	vm             siskin.VM
	l              *Limiter
	dead           bool
	seesOnlyItself bool      // its member list contains no other VM
	paused         time.Time // end of the pause
}

// view is a configuration that tests can change.
type view struct {
	*config.StaticView
	changed chan struct{}
}

func (v *view) Changed() <-chan struct{} { return v.changed }

func (v *view) set(customers ...*config.Customer) {
	v.StaticView = config.NewStaticView(nil, customers)
}

func newFleet(seed uint64, customers ...*config.Customer) *fleet {
	f := &fleet{
		at: time.Unix(1_800_000_000, 0), rng: rand.New(rand.NewPCG(seed, 1)), view: &view{},
		objects: make(map[siskin.ObjectName]siskin.Object), partitioned: func(a, b *node) bool { return false },
	}
	f.view.set(customers...)
	return f
}

// start starts a new incarnation of a VM.
func (f *fleet) start(id string, incarnation int, dc string) *node {
	n := &node{f: f, vm: siskin.VM{ID: siskin.VMID(id), Incarnation: siskin.Incarnation(incarnation), DataCentre: siskin.DataCentreID(dc), State: siskin.VMLive}}
	f.vms = append(f.vms, n)
	n.l = New(f, f.view, n, n, f)
	n.l.Prepare(f.view.Customers()...)
	return n
}

func (n *node) up() bool { return !n.dead && !n.f.at.Before(n.paused) }

// step advances the clock by one millisecond and runs everything that is due.
func (f *fleet) step() {
	f.at = f.at.Add(time.Millisecond)
	due := f.messages
	f.messages = nil
	for _, m := range due {
		switch {
		case m.at.After(f.at) || (!m.to.dead && !m.to.up()):
			f.messages = append(f.messages, m)
		case m.to.up():
			m.run()
		}
	}
	ms := f.at.UnixMilli()
	for _, n := range f.vms {
		if !n.up() {
			continue
		}
		if ms%2 == 0 {
			for _, m := range n.l.core.plan(n.l.now()) {
				f.ask(n, m)
			}
		}
		if ms%10 == 0 {
			n.l.readRecords(context.Background())
		}
		if ms%1000 == 0 {
			n.l.maintain(context.Background())
		}
	}
}

func (f *fleet) run(d time.Duration) {
	for end := f.at.Add(d); f.at.Before(end); {
		f.step()
	}
}

// ask delivers a request for units and its reply, unless a fault prevents it.
func (f *fleet) ask(from *node, m outgoing) {
	f.sent++
	f.bytes += size(m.args)
	to := f.find(m.to, m.args.ToIncarnation)
	if to == nil || f.partitioned(from, to) {
		return
	}
	f.deliver(to, func() {
		var reply AskReply
		if err := to.l.Receiver().Ask(m.args, &reply); err != nil {
			panic(err)
		}
		f.bytes += size(reply)
		if f.partitioned(from, to) || f.rng.Float64() < f.lossRate {
			return
		}
		f.deliver(from, func() { from.l.core.handleReply(from.l.now(), to.vm.ID, m.args.Seq, &reply) })
	})
}

func (f *fleet) deliver(to *node, run func()) {
	f.messages = append(f.messages, message{f.at.Add(oneWayDelay), to, run})
}

func (f *fleet) find(id siskin.VMID, incarnation siskin.Incarnation) *node {
	for _, n := range f.vms {
		if n.vm.ID == id && (incarnation == 0 || n.vm.Incarnation == incarnation) {
			return n
		}
	}
	return nil
}

// Call implements siskin.Peers.
func (n *node) Call(_ context.Context, vm siskin.VMID, method string, args, reply any) error {
	to := n.f.find(vm, 0)
	for _, o := range n.f.vms { // the latest incarnation answers
		if o.vm.ID == vm && o.vm.Incarnation > to.vm.Incarnation {
			to = o
		}
	}
	if to == nil || !to.up() || n.f.partitioned(n, to) {
		n.f.unansweredCalls++
		return siskin.NewError(siskin.Unavailable, "%s does not answer", vm)
	}
	var err error
	if method == "Limit.Report" {
		err = to.l.Receiver().Report(args.(*ReportArgs), reply.(*ReportReply))
	} else {
		err = to.l.Receiver().Ask(args.(*AskArgs), reply.(*AskReply))
	}
	if err == nil && n.f.rng.Float64() < n.f.lossRate {
		return siskin.NewError(siskin.Unavailable, "reply from %s lost", vm)
	}
	return err
}

// Self implements siskin.Members.
func (n *node) Self() siskin.VM { return n.vm }

// Live implements siskin.Members.
func (n *node) Live() []siskin.VM {
	var live []siskin.VM
	for _, o := range n.f.vms {
		if !o.dead && o.vm.State == siskin.VMLive && (!n.seesOnlyItself || o == n) {
			live = append(live, o.vm)
		}
	}
	slices.SortFunc(live, func(a, b siskin.VM) int { return slices.Compare([]byte(a.ID), []byte(b.ID)) })
	return live
}

// Lookup implements siskin.Members; the latest incarnation counts.
func (n *node) Lookup(id siskin.VMID) (vm siskin.VM, ok bool) {
	for _, o := range n.f.vms {
		if o.vm.ID == id && o.vm.Incarnation >= vm.Incarnation {
			vm, ok = o.vm, true
		}
	}
	return vm, ok
}

// Changed implements siskin.Members.
func (n *node) Changed() <-chan struct{} { return nil }

// sum returns the units of a customer at all VMs that may still run. It panics
// if they exceed the total.
func (f *fleet) sum(id siskin.CustomerID) (total siskin.QuotaUnits) {
	for _, n := range f.vms {
		if !n.dead {
			total += n.l.core.units(id)
		}
	}
	if total > siskin.TotalQuotaUnits {
		panic(fmt.Sprintf("customer %s: got a sum of %d units, want at most %d", id, total, siskin.TotalQuotaUnits))
	}
	return total
}
