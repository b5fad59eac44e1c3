package spread

import (
	"encoding/json"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
)

// documents encodes a change as documents of a revision.
func documents(op siskin.OperationID, c *config.Change, rev siskin.Revision) ([]Document, error) {
	var docs []Document
	for _, s := range c.Services {
		stamped := *s
		stamped.Revision = rev
		body, err := json.Marshal(&stamped)
		if err != nil {
			return nil, siskin.NewError(siskin.BadInput, "service %s cannot be encoded", s.Name).WithCause(err)
		}
		docs = append(docs, Document{Kind: ServiceKind, Name: string(s.Name), Revision: rev, Body: body})
	}
	for _, u := range c.Customers {
		stamped := *u
		stamped.Revision = rev
		body, err := json.Marshal(&stamped)
		if err != nil {
			return nil, siskin.NewError(siskin.BadInput, "customer %s cannot be encoded", u.ID).WithCause(err)
		}
		docs = append(docs, Document{Kind: CustomerKind, Name: string(u.ID), Revision: rev, Body: body})
	}
	for _, name := range c.DeleteServices {
		docs = append(docs, Document{Kind: ServiceKind, Name: string(name), Revision: rev, Deleted: true})
	}
	for _, id := range c.DeleteCustomers {
		docs = append(docs, Document{Kind: CustomerKind, Name: string(id), Revision: rev, Deleted: true})
	}
	seen := make(map[key]bool, len(docs))
	for _, d := range docs {
		if seen[d.key()] {
			return nil, siskin.NewError(siskin.BadInput, "the change contains %s %q twice", d.Kind, d.Name).WithRemedy("name each document once")
		}
		seen[d.key()] = true
	}
	if len(docs) == 0 || op == "" {
		return nil, siskin.NewError(siskin.BadInput, "the change has no documents or no operation id").WithRemedy("add at least one document and an operation id")
	}
	return docs, nil
}
