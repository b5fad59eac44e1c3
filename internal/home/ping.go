package home

import (
	"context"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/views"
)

// Ping asks a target to prove that it is the primary. It uses no slot of the
// target. The result is nil when the target is the primary, an error of kind
// Conflict when it denies that, of kind NotRun when its replicas do not confirm
// it, of kind Overloaded when the target accepts no more connections, and of
// kind Unavailable when it does not answer.
func (h *Homes) Ping(ctx context.Context, service siskin.ServiceName, id siskin.TargetID) error {
	asked := h.cfg.Clock.Now()
	p, err := h.ProbePrimary(ctx, service, id)
	if err != nil {
		return err
	}
	h.cfg.Views.RecordSuccess(id)
	if l, ok := h.pool(id); ok {
		ctx, cancel := context.WithTimeout(ctx, renewTimeout)
		defer cancel()
		if _, ok := h.confirm(ctx, service, l); !ok {
			return siskin.NewError(siskin.NotRun, "the replicas of %s did not confirm that %s is the primary", service, id).WithRemedy("ask again, or another target")
		}
	}
	h.cfg.Views.RecordProof(service, views.PrimaryProof{Target: id, Position: p, Term: h.primaryTerm(id), At: asked})
	return nil
}

// ProbePrimary begins a read-write transaction, which only a target that
// considers itself the primary accepts, and returns the end of its log. Errors
// are those of Ping.
func (h *Homes) ProbePrimary(ctx context.Context, service siskin.ServiceName, id siskin.TargetID) (siskin.Position, error) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	asked := h.cfg.Clock.Now()
	answers, err := h.Control(ctx, id, siskin.Statement{Kind: siskin.Begin}, siskin.Statement{Kind: siskin.Rollback})
	if err != nil {
		if siskin.KindOf(err) != siskin.Overloaded {
			h.cfg.Views.RecordFailure(id, h.cfg.Clock.Now())
		}
		return siskin.Position{}, err
	}
	switch a := &answers[0]; {
	case a.Code == siskin.Succeeded && answers[1].Code == siskin.Succeeded:
		return a.Position, nil
	case a.Code == siskin.Succeeded:
		// The success is a repeated answer, and this one is that of BEGIN.
		return siskin.Position{}, siskin.NewError(siskin.Unavailable, "the answers of target %s to a transaction do not fit: %s", id, answers[1].Code)
	case a.Code == siskin.ReadOnly:
		h.cfg.Views.RecordDenial(service, id, asked)
		h.cfg.Views.RecordPosition(id, a.Position, asked)
		return siskin.Position{}, siskin.NewError(siskin.Conflict, "target %s is not the primary", id).WithRemedy("ask another target")
	default:
		return siskin.Position{}, siskin.NewError(siskin.Unavailable, "target %s refused a transaction: %s", id, a.Code)
	}
}
