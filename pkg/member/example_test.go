package member_test

import (
	"context"
	"errors"
	"fmt"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/member"
)

type noPeers struct{}

func (noPeers) Call(context.Context, siskin.VMID, string, any, any) error {
	return errors.New("no peers")
}

func Example() {
	self := siskin.VM{ID: "vm-1", Incarnation: 1, DataCentre: "turku-1", PeerAddress: "127.0.0.1:7000"}
	m := member.New(member.Config{Self: self}, noPeers{})
	m.Start()
	defer m.Close()
	fmt.Println(m.Self().ID, m.Self().State, len(m.Live()))
	// Output: vm-1 Live 1
}
