package spread_test

import (
	"context"
	"fmt"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/stand/objapi"
	"siskintray.example/siskin/pkg/config"
	"siskintray.example/siskin/pkg/member"
	"siskintray.example/siskin/pkg/plat"
	"siskintray.example/siskin/pkg/spread"
)

type noPeers struct{}

func (noPeers) Call(context.Context, siskin.VMID, string, any, any) error {
	return siskin.NewError(siskin.Unavailable, "no peers")
}

func Example() {
	platform, err := objapi.Start(objapi.Config{})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer platform.Close()
	client, err := plat.New(plat.Config{Addresses: []string{platform.Address()}})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer client.Close()
	self := siskin.VM{ID: "vm-1", Incarnation: 1, DataCentre: "turku-1", PeerAddress: "127.0.0.1:7000"}
	s := spread.New(spread.Config{}, member.New(member.Config{Self: self}, noPeers{}), noPeers{}, client)
	defer s.Close()
	rev, err := s.Apply(context.Background(), &config.Change{
		Customers: []*config.Customer{{ID: "shop", Rate: 100, Burst: 200, Weight: 1}},
	})
	fmt.Println(rev, err)
	c, ok := s.Customer("shop")
	fmt.Println(c.Rate, c.Revision, ok)
	// Output:
	// 1 <nil>
	// 100 1 true
}
