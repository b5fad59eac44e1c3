package limit_test

import (
	"context"
	"fmt"

	"github.com/jonboulle/clockwork"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
	"siskintray.example/siskin/pkg/limit"
)

func Example() {
	clock := clockwork.NewRealClock()
	view := config.NewStaticView(nil, []*config.Customer{{ID: "school-a", Rate: 10, Burst: 20}})
	l := limit.New(clock, view, oneVM{}, noPeers{}, &memory{}, limit.WithPrepareAll())
	l.Start()
	defer l.Close()
	fmt.Println(l.AdmitWait(context.Background(), "school-a", 1).Admitted)
	// Output: true
}

// oneVM is a fleet of one VM.
type oneVM struct{ siskin.Members }

func (oneVM) Self() siskin.VM { return siskin.VM{ID: "vm-1", Incarnation: 1, State: siskin.VMLive} }

func (v oneVM) Live() []siskin.VM { return []siskin.VM{v.Self()} }

func (v oneVM) Lookup(siskin.VMID) (siskin.VM, bool) { return v.Self(), true }

type noPeers struct{ siskin.Peers }

// memory is a platform that stores objects in memory.
type memory struct {
	siskin.Platform
	objects map[siskin.ObjectName]siskin.Object
}

func (m *memory) Get(_ context.Context, name siskin.ObjectName) (siskin.Object, error) {
	return m.objects[name], nil
}

func (m *memory) Put(_ context.Context, name siskin.ObjectName, value []byte, v siskin.Version, op siskin.OperationID) (siskin.Version, error) {
	if m.objects == nil {
		m.objects = make(map[siskin.ObjectName]siskin.Object)
	}
	m.objects[name] = siskin.Object{Name: name, Version: v + 1, Operation: op, Value: value}
	return v + 1, nil
}

func (m *memory) VMs(context.Context) ([]siskin.VM, error) { return []siskin.VM{oneVM{}.Self()}, nil }
