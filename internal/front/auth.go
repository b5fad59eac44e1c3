package front

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
)

// maxKeySize is the largest password message in bytes.
const maxKeySize = 4096

// authenticate requests the key unless the route is open. The key is compared
// and not kept. Without mayAsk a keyed route is refused, since the key would be
// sent in plain text.
func (c *session) authenticate(mayAsk bool) error {
	_, route, err := c.lookup()
	if err != nil {
		return err
	}
	if !route.Open {
		if !mayAsk {
			return siskin.NewError(siskin.KeyRefused, "keys are accepted over TLS only").
				WithRemedy("connect with sslmode=require or stricter")
		}
		if c.grant, err = c.askKey(); err != nil {
			return err
		}
	}
	return c.w.Message(&pgproto3.AuthenticationOk{})
}

func (c *session) askKey() (siskin.KeyGrant, error) {
	if err := c.w.Message(&pgproto3.AuthenticationCleartextPassword{}); err != nil {
		return siskin.KeyGrant{}, err
	}
	if err := c.w.Flush(); err != nil {
		return siskin.KeyGrant{}, err
	}
	h, err := c.r.Next()
	if err != nil {
		return siskin.KeyGrant{}, err
	}
	if h.Type != 'p' {
		return siskin.KeyGrant{}, siskin.NewError(siskin.BadInput, "message %q came in place of the key", h.Type).
			WithRemedy("answer the password request with the key")
	}
	body, err := c.r.Body(maxKeySize)
	if err != nil {
		return siskin.KeyGrant{}, err
	}
	if n := len(body); n > 0 && body[n-1] == 0 {
		body = body[:n-1]
	}
	grant, err := c.srv.cfg.Keys.Authenticate(c.service, string(body))
	clear(body) // the buffer is reused and must not keep the key
	return grant, err
}

// checkKey returns an error when the session's key is no longer valid. A
// session without a key has nothing to check; customer refuses its requests on
// keyed routes.
func (c *session) checkKey() error {
	if c.grant == (siskin.KeyGrant{}) {
		return nil
	}
	return c.srv.cfg.Keys.Check(c.service, c.grant)
}

// customer returns the customer whose rate a request on the route counts
// against.
func (c *session) customer(route *config.Route) (siskin.CustomerID, error) {
	switch {
	case c.grant != (siskin.KeyGrant{}):
		return c.grant.Customer, nil
	case route.Open:
		return route.OpenCustomer, nil
	}
	return "", siskin.NewError(siskin.KeyRefused, "route %s needs a key and the session has none", route.Name).
		WithRemedy("connect to this route with a key")
}
