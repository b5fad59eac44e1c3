package node

import (
	"context"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"siskintray.example/siskin"
)

// fakeMembers is a fleet that does not change.
type fakeMembers struct {
	self siskin.VM
	live []siskin.VM
}

func (m *fakeMembers) Self() siskin.VM          { return m.self }
func (m *fakeMembers) Live() []siskin.VM        { return m.live }
func (m *fakeMembers) Changed() <-chan struct{} { return nil }

func (m *fakeMembers) Lookup(id siskin.VMID) (siskin.VM, bool) {
	for _, vm := range m.live {
		if vm.ID == id {
			return vm, true
		}
	}
	return siskin.VM{}, false
}

// fakePeers calls net/rpc receivers in this process.
type fakePeers struct {
	mu        sync.Mutex
	receivers map[siskin.VMID]map[string]any
	lost      atomic.Bool // calls are not answered
}

func (p *fakePeers) Call(_ context.Context, vm siskin.VMID, method string, args, reply any) error {
	if p.lost.Load() {
		return siskin.NewError(siskin.Unavailable, "call to %s was lost", vm)
	}
	p.mu.Lock()
	receiver, name, _ := strings.Cut(method, ".")
	r := p.receivers[vm][receiver]
	p.mu.Unlock()
	if r == nil {
		return siskin.NewError(siskin.Unavailable, "no VM %s", vm)
	}
	m := reflect.ValueOf(r).MethodByName(name)
	in := reflect.New(m.Type().In(0))
	if err := remarshal(args, in.Interface()); err != nil {
		return err
	}
	out := m.Call([]reflect.Value{in.Elem(), reflect.ValueOf(reply)})
	if err, _ := out[0].Interface().(error); err != nil {
		return fmt.Errorf("%s: %w", method, err)
	}
	return nil
}

func remarshal(from, to any) error {
	b, err := json.Marshal(from)
	if err != nil {
		return err
	}
	return json.Unmarshal(b, to)
}

// fakeKeys accepts a customer's id as the customer's key.
type fakeKeys struct{}

func (fakeKeys) Authenticate(_ siskin.ServiceName, key string) (siskin.KeyGrant, error) {
	if key == "" {
		return siskin.KeyGrant{}, siskin.NewError(siskin.KeyRefused, "no key").WithRemedy("show one")
	}
	return siskin.KeyGrant{Customer: siskin.CustomerID(key), Key: "k"}, nil
}

func (fakeKeys) Check(siskin.ServiceName, siskin.KeyGrant) error { return nil }

// openLimiter admits every request.
type openLimiter struct{}

func (openLimiter) Admit(time.Time, siskin.CustomerID, siskin.Requests) siskin.Admission {
	return siskin.Admission{Admitted: true}
}

func (openLimiter) AdmitWait(context.Context, siskin.CustomerID, siskin.Requests) siskin.Admission {
	return siskin.Admission{Admitted: true}
}
