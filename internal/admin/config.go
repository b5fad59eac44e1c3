package admin

import (
	"fmt"
	"net/http"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
)

// exportConfig returns all documents as one change, so that a copy can be
// edited and applied. It contains the services' credentials.
func (s *Server) exportConfig(*http.Request) (any, error) {
	v := s.backend.Config.View()
	c := config.Change{Base: v.Revision()}
	for _, name := range v.Services() {
		if d, ok := v.Service(name); ok {
			c.Services = append(c.Services, d)
		}
	}
	for _, id := range v.Customers() {
		if d, ok := v.Customer(id); ok {
			c.Customers = append(c.Customers, d)
		}
	}
	return c, nil
}

func (s *Server) configStatus(r *http.Request) (any, error) {
	vms, err := s.backend.Config.Revisions(r.Context())
	if err != nil {
		return nil, err
	}
	return ConfigStatus{Revision: s.backend.Config.View().Revision(), VMs: vms}, nil
}

// ConfigStatus says which revision is in force where.
type ConfigStatus struct {
	Revision siskin.Revision // in force at the VM that answers
	VMs      []VMRevision
}

// CheckResult is the outcome of a check without findings.
type CheckResult struct {
	Base     siskin.Revision
	InForce  siskin.Revision
	Accepted bool
}

// readChange decodes the change in the body.
func readChange(r *http.Request) (*config.Change, error) {
	data, err := readBody(r)
	if err != nil {
		return nil, err
	}
	return config.DecodeChange(data)
}

// validChange decodes and validates the change in the body against the
// configuration in force at this VM.
func (s *Server) validChange(r *http.Request) (*config.Change, config.View, error) {
	change, err := readChange(r)
	if err != nil {
		return nil, nil, err
	}
	view := s.backend.Config.View()
	return change, view, config.Validate(view, change).Err()
}

func (s *Server) checkConfig(r *http.Request) (any, error) {
	change, view, err := s.validChange(r)
	if err != nil {
		return nil, err
	}
	return CheckResult{Base: change.Base, InForce: view.Revision(), Accepted: true}, nil
}

func (s *Server) diffConfig(r *http.Request) (any, error) {
	change, view, err := s.validChange(r)
	if err != nil {
		return nil, err
	}
	return config.Diff(view, config.NewOverlay(view, change)), nil
}

// applyConfig leaves the validation to the backend, which knows the newest
// configuration. This VM may lag behind the one that the change was made from.
func (s *Server) applyConfig(r *http.Request) (any, error) {
	change, err := readChange(r)
	if err != nil {
		return nil, err
	}
	revision, err := s.backend.Config.Apply(r.Context(), change)
	s.audit(r, "ConfigApply", fmt.Sprintf("base %d, revision %d, %d services, %d customers", change.Base, revision, len(change.Services)+len(change.DeleteServices), len(change.Customers)+len(change.DeleteCustomers)), err)
	if err != nil {
		return nil, err
	}
	return ApplyResult{Revision: revision}, nil
}

// ApplyResult is the outcome of an accepted change.
type ApplyResult struct{ Revision siskin.Revision }

func (s *Server) customers(*http.Request) (any, error) {
	v := s.backend.Config.View()
	list := []CustomerStatus{}
	for _, id := range v.Customers() {
		if c, ok := v.Customer(id); ok {
			list = append(list, customerStatus(c))
		}
	}
	return list, nil
}

func (s *Server) customer(r *http.Request) (any, error) {
	c, err := s.findCustomer(siskin.CustomerID(r.PathValue("id")))
	if err != nil {
		return nil, err
	}
	return customerStatus(c), nil
}

func (s *Server) findCustomer(id siskin.CustomerID) (*config.Customer, error) {
	c, ok := s.backend.Config.View().Customer(id)
	if !ok {
		return nil, siskin.NewError(siskin.UnknownRoute, "customer %.64q does not exist", id).WithRemedy("list them with: siskintray customer list")
	}
	return c, nil
}
