package plat

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"siskintray.example/siskin"
)

// Watch implements siskin.Platform. It keeps polling through outages until the
// object changes. It fails with kind Unavailable when ctx ends, and with kind
// Overloaded when MaxWatches watches of this process are already waiting.
func (p *LimitedClient) Watch(ctx context.Context, name siskin.ObjectName, after siskin.Version) (siskin.Object, error) {
	ctx, end, err := p.c.startCall(ctx, false)
	if err != nil {
		return siskin.Object{}, err
	}
	defer end()
	select {
	case p.c.watches <- struct{}{}:
		defer func() { <-p.c.watches }()
	default:
		return siskin.Object{}, siskin.NewError(siskin.Overloaded, "%d watches are already waiting", cap(p.c.watches)).WithRemedy("raise MaxWatches or watch fewer objects")
	}
	failures := 0
	for {
		wait, ok := p.c.pollWait(ctx)
		if !ok {
			return siskin.Object{}, watchEnded(name, context.DeadlineExceeded)
		}
		o, err := p.poll(ctx, name, fmt.Sprintf("%s?After=%d&WaitMs=%d", objectPath(name), after, wait.Milliseconds()))
		if err == nil && o.Version > after {
			return o, nil
		}
		if err == nil {
			failures = 0
		} else {
			failures++
		}
		if ctx.Err() != nil || (err != nil && !p.c.wait(ctx, p.c.delay(err, failures))) {
			return siskin.Object{}, watchEnded(name, ctx.Err())
		}
	}
}

// pollMargin is the time before the deadline of a watch at which its last poll
// ends, so that the platform responds before the deadline. Without it the end
// of a watch would close its connection and count as a failure.
const pollMargin = 100 * time.Millisecond

// pollWait returns how long the next poll may wait, and false when the
// deadline is too close for another one.
func (c *Client) pollWait(ctx context.Context) (time.Duration, bool) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return c.cfg.LongPollWait, true
	}
	wait := min(c.cfg.LongPollWait, time.Until(deadline)-pollMargin)
	return wait, wait > time.Millisecond
}

func watchEnded(name siskin.ObjectName, cause error) error {
	return siskin.NewError(siskin.Unavailable, "the watch of object %s ended", name).WithCause(cause).WithRemedy("start a new watch")
}

// poll makes one long poll. It returns an object with version 0 if nothing
// changed.
func (p *LimitedClient) poll(ctx context.Context, name siskin.ObjectName, path string) (siskin.Object, error) {
	a, _, err := p.request(ctx, http.MethodGet, path, nil)
	if err != nil || a.status == http.StatusNoContent {
		return siskin.Object{}, err
	}
	var o siskin.Object
	if err = decode(a, &o); err == nil {
		err = checkName(&o, name)
	}
	return o, err
}

// decodeVersion decodes the response to an update that took effect.
func decodeVersion(a response, into any) error {
	if err := json.Unmarshal(a.body, into); err != nil {
		return siskin.NewError(siskin.OutcomeUnknown, "the platform's response to an update is malformed").WithCause(err).WithRemedy("read the object to see whether the update took effect")
	}
	return nil
}
