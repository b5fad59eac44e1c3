package keys_test

import (
	"fmt"

	"github.com/jonboulle/clockwork"

	"siskintray.example/siskin/pkg/config"
	"siskintray.example/siskin/pkg/keys"

	"siskintray.example/siskin"
)

func Example() {
	key := keys.Generate()
	customer := &config.Customer{ID: "school-a", Services: []siskin.ServiceName{"ledger"}, Keys: []config.Key{{ID: "2026", Digest: keys.Digest(key)}}}
	k := keys.New(clockwork.NewRealClock(), config.NewStaticView(nil, []*config.Customer{customer}))
	defer k.Close()
	grant, err := k.Authenticate("ledger", key)
	fmt.Println(grant.Customer, grant.Key, err)
	// Output: school-a 2026 <nil>
}
