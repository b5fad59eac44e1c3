package group_test

import (
	"context"
	"fmt"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/stand/store"
	"siskintray.example/siskin/internal/stand/target"
	"siskintray.example/siskin/pkg/config"
	"siskintray.example/siskin/pkg/group"
	"siskintray.example/siskin/pkg/pgctl"
)

func Example() {
	servers, err := target.StartGroup("ledger", 3, nil)
	if err != nil {
		fmt.Println(err)
		return
	}
	defer target.CloseAll(servers)
	s := group.Settings{Service: "ledger", Self: "vm-1", AckReplicas: 1}
	for _, srv := range servers {
		s.Members = append(s.Members, group.Member{ID: srv.ID(), Address: srv.Address()})
	}
	credentials := config.Credentials{User: "siskin", Password: "full-secret", Database: "app"}
	g, err := group.New(s, pgctl.NewDialer(credentials, time.Second))
	if err != nil {
		fmt.Println(err)
		return
	}
	defer g.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	primary, term, done, err := g.AdmitWrite(ctx)
	if err != nil {
		fmt.Println(err)
		return
	}
	defer done()
	pos, _ := servers[0].Store().Commit([]store.Op{{Key: "order-1", Value: "badge"}})
	fmt.Println(primary, term, "confirmed:", g.Confirm(ctx, pos) == nil)
	err = g.Confirm(ctx, siskin.Position{Term: 0, LSN: pos.LSN})
	fmt.Println("older term:", siskin.KindOf(err))
	// Output:
	// ledger/1 1 confirmed: true
	// older term: OutcomeUnknown
}
