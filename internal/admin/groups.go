package admin

import (
	"fmt"
	"net/http"

	"siskintray.example/siskin"
)

func (s *Server) group(r *http.Request) (any, error) {
	name, err := s.findService(r)
	if err != nil {
		return nil, err
	}
	v, err := s.backend.Groups.View(r.Context(), name)
	if err != nil {
		return nil, err
	}
	return groupStatus(name, v), nil
}

func (s *Server) findService(r *http.Request) (siskin.ServiceName, error) {
	name := siskin.ServiceName(r.PathValue("service"))
	if _, ok := s.backend.Config.View().Service(name); !ok {
		return "", siskin.NewError(siskin.UnknownRoute, "service %.64q does not exist", name).WithRemedy("list them with: siskintray group status")
	}
	return name, nil
}

// PromoteRequest is the body of a planned change of primary.
type PromoteRequest struct {
	Target siskin.TargetID
	// Force promotes with too few reachable targets. AcceptLoss must then be set
	// as well, since acknowledged writes can be lost.
	Force, AcceptLoss bool
}

func (s *Server) promote(r *http.Request) (any, error) {
	name, err := s.findService(r)
	if err != nil {
		return nil, err
	}
	var req PromoteRequest
	if err := readJSON(r, &req); err != nil {
		return nil, err
	}
	if req.Force != req.AcceptLoss {
		return nil, siskin.NewError(siskin.BadInput, "Force and AcceptLoss go together").WithRemedy("leave both out, or accept that acknowledged writes can be lost")
	}
	service, _ := s.backend.Config.View().Service(name)
	known := false
	for _, t := range service.Targets {
		known = known || t.ID == req.Target
	}
	if !known {
		return nil, siskin.NewError(siskin.BadInput, "target %.64q is not in the group of %s", req.Target, name).WithRemedy("list them with: siskintray group status")
	}
	err = s.backend.Groups.Promote(r.Context(), name, req.Target, req.Force)
	s.audit(r, "GroupPromote", fmt.Sprintf("%s, target %s, force %v", name, req.Target, req.Force), err)
	if err != nil {
		return nil, err
	}
	v, err := s.backend.Groups.View(r.Context(), name)
	if err != nil {
		return nil, err
	}
	return groupStatus(name, v), nil
}
