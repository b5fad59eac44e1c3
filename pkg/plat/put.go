package plat

import (
	"context"
	"encoding/json"
	"net/http"

	"siskintray.example/siskin"
)

// Put implements siskin.Platform. The package documentation lists its results.
func (p *LimitedClient) Put(ctx context.Context, name siskin.ObjectName, value []byte, ifVersion siskin.Version, op siskin.OperationID) (siskin.Version, error) {
	if siskin.Bytes(len(value)) > siskin.MaxObjectSize {
		return 0, siskin.NewError(siskin.TooLarge, "object %s has %d bytes, above the platform's limit of %d", name, len(value), siskin.MaxObjectSize).WithRemedy("split the object")
	}
	body, err := json.Marshal(struct {
		Value     []byte
		IfVersion siskin.Version
		Operation siskin.OperationID
	}{value, ifVersion, op})
	if err != nil {
		return 0, siskin.NewError(siskin.Internal, "cannot encode object %s", name).WithCause(err)
	}
	ctx, end, err := p.c.startCall(ctx, true)
	if err != nil {
		return 0, err
	}
	defer end()
	return p.put(ctx, name, body, ifVersion, op)
}

// put retries the update until it has a definite result or ctx is done.
func (p *LimitedClient) put(ctx context.Context, name siskin.ObjectName, body []byte, ifVersion siskin.Version, op siskin.OperationID) (siskin.Version, error) {
	const maxUnsentAttempts = 4
	maybeApplied := false // by an earlier request
	for n := 1; ; n++ {
		a, sent, err := p.request(ctx, http.MethodPut, objectPath(name), body)
		if err == nil {
			version, err := p.putResult(a, name, ifVersion, op, maybeApplied)
			if err == nil && maybeApplied {
				p.c.counters.resolved.Add(1)
			}
			return version, err
		}
		maybeApplied = maybeApplied || sent
		giveUp := !maybeApplied && (n >= maxUnsentAttempts || p.c.breaker.open())
		if giveUp || !p.c.wait(ctx, p.c.delay(err, n)) {
			if !maybeApplied {
				return 0, err
			}
			return 0, p.outcomeUnknown(name, op).WithCause(err)
		}
		p.c.counters.retries.Add(1)
	}
}

// putResult interprets the response to an update.
func (p *LimitedClient) putResult(a response, name siskin.ObjectName, ifVersion siskin.Version, op siskin.OperationID, maybeApplied bool) (siskin.Version, error) {
	var body struct {
		Version siskin.Version
		Recent  []recentUpdate
	}
	switch a.status {
	case http.StatusOK:
		if err := decodeVersion(a, &body); err != nil {
			return 0, err
		}
		if body.Version != ifVersion+1 {
			return 0, p.outcomeUnknown(name, op)
		}
		return body.Version, nil
	case http.StatusConflict:
		a.status = http.StatusOK
		if err := decode(a, &body); err != nil {
			return 0, err
		}
		if body.Version == ifVersion {
			return 0, p.outcomeUnknown(name, op) // no reason for a refusal
		}
	case http.StatusRequestEntityTooLarge:
		return 0, siskin.NewError(siskin.TooLarge, "the platform rejected object %s as too large", name).WithRemedy("split the object")
	default:
		return 0, siskin.NewError(siskin.BadInput, "the platform rejected object %s with status %d: %.200s", name, a.status, a.body).WithRemedy("check the address and version of the platform")
	}
	version, applied, known := findUpdate(body.Recent, ifVersion, op)
	switch {
	case applied:
		return version, nil
	case maybeApplied && !known:
		return 0, p.outcomeUnknown(name, op)
	default:
		return 0, siskin.NewError(siskin.Conflict, "object %s has version %d, not %d", name, body.Version, ifVersion).WithRemedy("read the object again and apply the change to the new version")
	}
}

func (p *LimitedClient) outcomeUnknown(name siskin.ObjectName, op siskin.OperationID) *siskin.Error {
	p.c.counters.outcomeUnknown.Add(1)
	return siskin.NewError(siskin.OutcomeUnknown, "the response to operation %s on object %s was lost", op, name).WithRemedy("read the object and check whether the operation took effect before retrying it")
}

type recentUpdate struct {
	Operation siskin.OperationID
	Version   siskin.Version
}

// findUpdate looks for op among the recent updates of an object. A listed update
// took effect. The outcome of one that is not listed is known only if the list
// reaches back to the version that the update would have created.
func findUpdate(recent []recentUpdate, ifVersion siskin.Version, op siskin.OperationID) (version siskin.Version, applied, known bool) {
	for _, r := range recent {
		if r.Operation == op {
			return r.Version, true, true
		}
		if r.Version <= ifVersion+1 {
			known = true
		}
	}
	return 0, false, known
}
