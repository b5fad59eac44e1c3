package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"

	"siskintray.example/siskin"
)

// Size limits of JSON text.
const (
	// MaxDocumentSize limits one document. A service takes about 2 KB; the
	// snapshot objects hold about 90 documents within the platform's limit of
	// 1 MB.
	MaxDocumentSize siskin.Bytes = 64 << 10
	// MaxChangeSize limits a change, which is stored as one platform object.
	MaxChangeSize = siskin.MaxObjectSize
)

// EncodeChange returns the JSON text of a change.
func EncodeChange(c *Change) ([]byte, error) {
	return encode(c, MaxChangeSize, "split it into several changes")
}

// EncodeService returns the JSON text of a service.
func EncodeService(s *Service) ([]byte, error) {
	return encode(s, MaxDocumentSize, "remove targets or routes")
}

// EncodeCustomer returns the JSON text of a customer.
func EncodeCustomer(c *Customer) ([]byte, error) {
	return encode(c, MaxDocumentSize, "name fewer services or keys")
}

func encode(v any, limit siskin.Bytes, remedy string) ([]byte, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return nil, siskin.NewError(siskin.BadInput, "document cannot be written as JSON").WithCause(err).WithRemedy("use finite numbers")
	}
	if len(data) > int(limit) {
		return nil, siskin.NewError(siskin.TooLarge, "JSON text has %d bytes, at most %d are allowed", len(data), limit).WithRemedy(remedy)
	}
	return data, nil
}

// maxExportSize limits an export of all documents, which is 46 MB at 23,000
// services.
const maxExportSize siskin.Bytes = 128 << 20

// DecodeChange decodes a change. It rejects unknown fields, trailing text and
// services without KeyGrace.
func DecodeChange(data []byte) (*Change, error) { return decodeChange(data, MaxChangeSize) }

// DecodeExport decodes an export of all documents, which has the format of a
// change but may be larger, and returns it as a view.
func DecodeExport(data []byte) (*Snapshot, error) {
	c, err := decodeChange(data, maxExportSize)
	if err != nil {
		return nil, err
	}
	return NewSnapshot(c.Base, c.Services, c.Customers), nil
}

func decodeChange(data []byte, limit siskin.Bytes) (*Change, error) {
	c := new(Change)
	if err := decode(data, limit, c); err != nil {
		return nil, err
	}
	var grace struct {
		Services []*struct{ KeyGrace *Duration }
	}
	if err := json.Unmarshal(data, &grace); err != nil {
		return nil, malformedJSON(err)
	}
	for i, s := range c.Services {
		if s == nil || grace.Services[i] == nil {
			return nil, siskin.NewError(siskin.BadInput, "service %d of the change is null", i+1).WithRemedy("remove it")
		}
		if grace.Services[i].KeyGrace == nil {
			return nil, missingKeyGrace(s.Name)
		}
	}
	for i, d := range c.Customers {
		if d == nil {
			return nil, siskin.NewError(siskin.BadInput, "customer %d of the change is null", i+1).WithRemedy("remove it")
		}
	}
	return c, nil
}

// DecodeService decodes a service document. KeyGrace is required.
func DecodeService(data []byte) (*Service, error) {
	s := new(Service)
	if err := decode(data, MaxDocumentSize, s); err != nil {
		return nil, err
	}
	var grace struct{ KeyGrace *Duration }
	if err := json.Unmarshal(data, &grace); err != nil {
		return nil, malformedJSON(err)
	}
	if grace.KeyGrace == nil {
		return nil, missingKeyGrace(s.Name)
	}
	return s, nil
}

// DecodeCustomer decodes a customer document.
func DecodeCustomer(data []byte) (*Customer, error) {
	c := new(Customer)
	if err := decode(data, MaxDocumentSize, c); err != nil {
		return nil, err
	}
	return c, nil
}

func missingKeyGrace(name siskin.ServiceName) error {
	return siskin.NewError(siskin.BadInput, "service %s has no KeyGrace", quote(name)).
		WithRemedy("decide how long keys go on working in a data centre that is cut off, such as \"30s\"; there is no default")
}

func decode(data []byte, limit siskin.Bytes, v any) error {
	if len(data) > int(limit) {
		return siskin.NewError(siskin.TooLarge, "JSON text has %d bytes, at most %d are allowed", len(data), limit).WithRemedy("split it")
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return malformedJSON(err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return siskin.NewError(siskin.BadInput, "JSON text goes on after its end").WithRemedy("write one document")
	}
	return nil
}

func malformedJSON(err error) error {
	return siskin.NewError(siskin.BadInput, "JSON text is not a document").WithCause(err).
		WithRemedy("write names in Pascal case as docs/design.md section 9 and pkg/config give them")
}
