package admin

import (
	"net/http"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/invar"
)

func (s *Server) status(r *http.Request) (any, error) { return s.backend.Status.Status(r.Context()) }

// invariants returns the violations of each invariant of this process.
func (s *Server) invariants(*http.Request) (any, error) { return invar.Violations(), nil }

func (s *Server) vms(r *http.Request) (any, error) {
	vms, err := s.backend.Fleet.VMs(r.Context())
	if err != nil {
		return nil, err
	}
	list := []VMStatus{}
	for _, vm := range vms {
		list = append(list, VMStatus{vm.ID, vm.Incarnation, vm.DataCentre, vm.PeerAddress, vm.State.String()})
	}
	return list, nil
}

func (s *Server) leave(r *http.Request) (any, error) {
	id := siskin.VMID(r.PathValue("id"))
	vms, err := s.backend.Fleet.VMs(r.Context())
	if err != nil {
		return nil, err
	}
	for _, vm := range vms {
		if vm.ID == id {
			err := s.backend.Fleet.Leave(r.Context(), id)
			s.audit(r, "VMLeave", string(id), err)
			return struct{ VM siskin.VMID }{id}, err
		}
	}
	return nil, siskin.NewError(siskin.UnknownRoute, "VM %.64q is not known", id).WithRemedy("list them with: siskintray vm list")
}
