package cmds

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"net/url"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/admin"
)

const (
	grantHelp = `Makes a random key, grants it to a customer and shows it once. Only its digest
leaves this machine. Exit code 8 means that some data centres did not confirm
yet.

Example:
  siskintray key grant shop till-1`

	withdrawHelp = `Ends a key for good and lists the data centres where that is in force. Exit code
8 means that the listed data centres did not confirm: there the key can go on
working for KeyGrace.

Example:
  siskintray key withdraw shop till-1`
)

// keyArgs names a key.
type keyArgs struct {
	Args struct {
		Customer siskin.CustomerID `positional-arg-name:"CUSTOMER" required:"yes"`
		Key      siskin.KeyID      `positional-arg-name:"KEY" required:"yes"`
	} `positional-args:"yes"`
}

// keyGrant grants a key.
type keyGrant struct{ keyArgs }

// Run implements Runner.
func (k *keyGrant) Run(ctx context.Context, env *Env) (Output, error) {
	// 32 random bytes cannot be guessed, so a plain digest protects them.
	secret := make([]byte, 32)
	_, _ = rand.Read(secret) // never fails
	key := base64.RawURLEncoding.EncodeToString(secret)
	digest := sha256.Sum256([]byte(key))
	req := admin.KeyRequest{Customer: k.Args.Customer, Key: k.Args.Key, Digest: hex.EncodeToString(digest[:])}
	var outcome admin.KeyOutcome
	if err := env.post(ctx, "/keys/grant", req, &outcome); err != nil {
		return Output{}, err
	}
	return Output{
		Value: struct {
			admin.KeyOutcome
			Customer siskin.CustomerID
			Key      siskin.KeyID
			Secret   string
		}{outcome, req.Customer, req.Key, key},
		Text: fmt.Sprintf("key %s of %s, shown only now:\n%s\n", req.Key, req.Customer, key) + outcomeText("granted", outcome),
		Exit: partial(outcome),
	}, nil
}

// keyWithdraw withdraws a key.
type keyWithdraw struct{ keyArgs }

// Run implements Runner.
func (k *keyWithdraw) Run(ctx context.Context, env *Env) (Output, error) {
	env.Progress("withdrawing key %s of %s and waiting for the data centres", k.Args.Key, k.Args.Customer)
	var outcome admin.KeyOutcome
	if err := env.post(ctx, "/keys/withdraw", admin.KeyRequest{Customer: k.Args.Customer, Key: k.Args.Key}, &outcome); err != nil {
		return Output{}, err
	}
	return Output{Value: outcome, Text: outcomeText("withdrawn", outcome), Exit: partial(outcome)}, nil
}

func partial(o admin.KeyOutcome) int {
	if len(o.NotConfirmed) > 0 {
		return ExitPartial
	}
	return ExitOK
}

func outcomeText(done string, o admin.KeyOutcome) string {
	s := fmt.Sprintf("%s at revision %d\nin force: %s\n", done, o.Revision, join(o.InForce))
	if len(o.NotConfirmed) > 0 {
		s += fmt.Sprintf("NOT CONFIRMED: %s\n", join(o.NotConfirmed))
	}
	return s
}

// keyList lists keys.
type keyList struct {
	Args struct {
		Customer siskin.CustomerID `positional-arg-name:"CUSTOMER"`
	} `positional-args:"yes"`
}

// Run implements Runner.
func (k *keyList) Run(ctx context.Context, env *Env) (Output, error) {
	customers := make([]admin.CustomerStatus, 1)
	var err error
	if k.Args.Customer == "" {
		err = env.get(ctx, "/customers", &customers)
	} else {
		err = env.get(ctx, "/customers/"+url.PathEscape(string(k.Args.Customer)), &customers[0])
	}
	if err != nil {
		return Output{}, err
	}
	type row struct {
		Customer  siskin.CustomerID
		Key       siskin.KeyID
		Withdrawn bool
	}
	list := []row{}
	rows := []string{"CUSTOMER\tKEY\tSTATE"}
	for _, c := range customers {
		for _, key := range c.Keys {
			list = append(list, row{c.ID, key.ID, key.Withdrawn})
			rows = append(rows, fmt.Sprintf("%s\t%s\t%s", c.ID, key.ID, keyState(key)))
		}
	}
	return Output{Value: list, Text: table(rows...)}, nil
}

func keyState(k admin.KeyStatus) string {
	if k.Withdrawn {
		return "withdrawn"
	}
	return "granted"
}
