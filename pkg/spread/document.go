package spread

import (
	"encoding/json"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
)

// Kind is the type of object that a document describes.
type Kind string

// Kinds of documents.
const (
	ServiceKind  Kind = "Service"
	CustomerKind Kind = "Customer"
)

type key struct {
	kind Kind
	name string
}

// Document is a document in its encoded form. A tombstone has no body.
type Document struct {
	Kind     Kind
	Name     string
	Revision siskin.Revision
	Deleted  bool            `json:",omitempty"`
	Body     json.RawMessage `json:",omitempty"`
}

func (d Document) key() key { return key{d.Kind, d.Name} }

// entry is a document with its decoded body.
type entry struct {
	Document
	service  *config.Service
	customer *config.Customer
}

// asService returns the service and reports whether it exists. A deleted
// service does not exist.
func (e *entry) asService() (*config.Service, bool) {
	if e == nil || e.Deleted {
		return nil, false
	}
	return e.service, true
}

// asCustomer returns the customer and reports whether it exists. A deleted
// customer does not exist.
func (e *entry) asCustomer() (*config.Customer, bool) {
	if e == nil || e.Deleted {
		return nil, false
	}
	return e.customer, true
}

// decode validates a document and decodes its body.
func decode(d Document) (*entry, error) {
	e := &entry{Document: d}
	var err error
	switch {
	case d.Kind != ServiceKind && d.Kind != CustomerKind || d.Name == "" || d.Revision == 0:
		return nil, siskin.NewError(siskin.BadInput, "document %s %q of revision %d is malformed", d.Kind, d.Name, d.Revision)
	case d.Deleted:
		e.Body = nil
	case d.Kind == ServiceKind:
		err = json.Unmarshal(d.Body, &e.service)
		if err == nil && (e.service == nil || string(e.service.Name) != d.Name) {
			err = siskin.NewError(siskin.BadInput, "the name in the body differs from the name of the document")
		}
	default:
		err = json.Unmarshal(d.Body, &e.customer)
		if err == nil && (e.customer == nil || string(e.customer.ID) != d.Name) {
			err = siskin.NewError(siskin.BadInput, "the name in the body differs from the name of the document")
		}
	}
	if err != nil {
		return nil, siskin.NewError(siskin.BadInput, "document %s %q is malformed", d.Kind, d.Name).WithCause(err)
	}
	return e, nil
}

func decodeAll(docs []Document) ([]*entry, error) {
	entries := make([]*entry, 0, len(docs))
	for _, d := range docs {
		e, err := decode(d)
		if err != nil {
			return nil, err
		}
		entries = append(entries, e)
	}
	return entries, nil
}
