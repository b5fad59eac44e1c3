package plat

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"siskintray.example/siskin"
)

// Watch implements siskin.Platform. It waits through outages and ends only
// with the context, with an error of kind Unavailable, or when too many
// watches of this process wait already, with kind Overloaded.
func (p *Purpose) Watch(ctx context.Context, name siskin.ObjectName, after siskin.Version) (siskin.Object, error) {
	ctx, end, err := p.c.begin(ctx, false)
	if err != nil {
		return siskin.Object{}, err
	}
	defer end()
	select {
	case p.c.watches <- struct{}{}:
		defer func() { <-p.c.watches }()
	default:
		return siskin.Object{}, siskin.NewError(siskin.Overloaded, "%d watches wait already", cap(p.c.watches)).WithRemedy("raise MaxWatches or watch fewer objects")
	}
	path := fmt.Sprintf("%s?After=%d&WaitMs=%d", objectPath(name), after, p.c.cfg.WatchWait.Milliseconds())
	failures := 0
	for {
		o, err := p.poll(ctx, path)
		if err == nil && o.Version > after {
			return o, nil
		}
		if err == nil {
			failures = 0
		} else {
			failures++
		}
		if ctx.Err() != nil || (err != nil && !p.c.wait(ctx, p.c.delay(err, failures))) {
			return siskin.Object{}, siskin.NewError(siskin.Unavailable, "the watch of object %s ended", name).WithCause(ctx.Err()).WithRemedy("start a new watch")
		}
	}
}

// poll makes one long poll. An object with version 0 means that nothing
// changed.
func (p *Purpose) poll(ctx context.Context, path string) (siskin.Object, error) {
	a, _, err := p.request(ctx, http.MethodGet, path, nil)
	if err != nil || a.status == http.StatusNoContent {
		return siskin.Object{}, err
	}
	var o siskin.Object
	err = decode(a, &o)
	return o, err
}

// decodeVersion decodes the answer to an update that took effect.
func decodeVersion(a answer, into any) error {
	if err := json.Unmarshal(a.body, into); err != nil {
		return siskin.NewError(siskin.OutcomeUnknown, "the platform's answer to an update is malformed").WithCause(err).WithRemedy("read the object back")
	}
	return nil
}
