package cmds

import (
	"context"
	"fmt"
	"net/url"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/admin"
)

// customerList lists customers.
type customerList struct{}

// Run implements Runner.
func (*customerList) Run(ctx context.Context, env *Env) (Output, error) {
	var list []admin.CustomerStatus
	if err := env.get(ctx, "/customers", &list); err != nil {
		return Output{}, err
	}
	rows := []string{"CUSTOMER\tRATE\tBURST\tWEIGHT\tSERVICES\tKEYS"}
	for _, c := range list {
		rows = append(rows, fmt.Sprintf("%s\t%v\t%v\t%d\t%d\t%d", c.ID, c.Rate, c.Burst, c.Weight, len(c.Services), len(c.Keys)))
	}
	return Output{Value: list, Text: table(rows...)}, nil
}

// customerShow shows one customer.
type customerShow struct {
	Args struct {
		Customer siskin.CustomerID `positional-arg-name:"CUSTOMER" required:"yes"`
	} `positional-args:"yes"`
}

// Run implements Runner.
func (c *customerShow) Run(ctx context.Context, env *Env) (Output, error) {
	var s admin.CustomerStatus
	if err := env.get(ctx, "/customers/"+url.PathEscape(string(c.Args.Customer)), &s); err != nil {
		return Output{}, err
	}
	rows := []string{
		fmt.Sprintf("customer\t%s, changed at revision %d", s.ID, s.Revision),
		fmt.Sprintf("rate\t%v requests a second", s.Rate),
		fmt.Sprintf("burst\t%v requests", s.Burst),
		fmt.Sprintf("weight\t%d", s.Weight),
		"services\t" + join(s.Services),
	}
	for _, k := range s.Keys {
		rows = append(rows, fmt.Sprintf("key\t%s, %s", k.ID, keyState(k)))
	}
	return Output{Value: s, Text: table(rows...)}, nil
}
