package admin

import (
	"net/http"
	"slices"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
)

// KeyRequest is the body of a grant or a withdrawal.
type KeyRequest struct {
	Customer siskin.CustomerID
	Key      siskin.KeyID
	Digest   string `json:",omitempty"` // of a grant
}

func (s *Server) grantKey(r *http.Request) (any, error) {
	var req KeyRequest
	if err := readJSON(r, &req); err != nil {
		return nil, err
	}
	c, err := s.findCustomer(req.Customer)
	if err != nil {
		return nil, err
	}
	if !config.ValidName(string(req.Key)) || !config.ValidDigest(req.Digest) {
		return nil, siskin.NewError(siskin.BadInput, "key id or digest is malformed").WithRemedy("send an id of lower-case letters, digits and hyphens, and a SHA-256 digest in hexadecimal")
	}
	if slices.ContainsFunc(c.Keys, func(k config.Key) bool { return k.ID == req.Key }) {
		return nil, siskin.NewError(siskin.Conflict, "customer %s already has a key %s", req.Customer, req.Key).WithRemedy("choose another id; a withdrawn key is never granted again")
	}
	out, err := s.backend.Keys.Grant(r.Context(), req.Customer, config.Key{ID: req.Key, Digest: req.Digest})
	s.audit(r, "KeyGrant", string(req.Customer)+"/"+string(req.Key), err)
	return out, err
}

func (s *Server) withdrawKey(r *http.Request) (any, error) {
	var req KeyRequest
	if err := readJSON(r, &req); err != nil {
		return nil, err
	}
	if req.Digest != "" {
		return nil, siskin.NewError(siskin.BadInput, "a withdrawal names no digest").WithRemedy("send customer and key only")
	}
	// A customer or key that this VM does not know yet may exist already, so the
	// store decides. It must not be refused here: a withdrawal is urgent.
	out, err := s.backend.Keys.Withdraw(r.Context(), req.Customer, req.Key)
	s.audit(r, "KeyWithdraw", string(req.Customer)+"/"+string(req.Key), err)
	return out, err
}
