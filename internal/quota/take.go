package quota

import (
	"context"
	"time"

	"siskintray.example/siskin"
)

func retryAfter(rate float64) time.Duration {
	if rate <= 0 {
		return time.Second
	}
	return max(20*time.Millisecond, time.Duration(float64(time.Second)/rate))
}

// AdmitWait implements siskin.Limiter. It asks the owner of the customer's
// pool when this VM's own tokens are used up.
func (l *Limiter) AdmitWait(ctx context.Context, customer siskin.CustomerID, n siskin.Requests) siskin.Admission {
	now := l.cfg.Clock.Now()
	adm := l.Admit(now, customer, n)
	if adm.Admitted {
		return adm
	}
	owner, tokens, ok := l.ask(now, customer, float64(n))
	if !ok {
		return adm
	}
	var reply TakeReply
	args := &TakeArgs{Customer: customer, Tokens: tokens}
	if owner == l.cfg.Members.Self().ID {
		reply = l.Take(args)
	} else {
		ctx, cancel := context.WithTimeout(ctx, takeTimeout)
		defer cancel()
		if err := l.cfg.Peers.Call(ctx, owner, "Quota.Take", args, &reply); err != nil {
			l.cfg.Log.Info().Err(err).Str("Customer", string(customer)).Str("Owner", string(owner)).Msg("the pool gave no answer")
			return adm
		}
	}
	return l.settle(now, customer, float64(n), &reply)
}

// ask returns the owner of the pool and the tokens to ask for.
func (l *Limiter) ask(now time.Time, customer siskin.CustomerID, n float64) (siskin.VMID, int, bool) {
	owner, ok := l.owner(customer)
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.part(customer)
	if !ok || now.Before(p.refused) {
		return "", 0, false
	}
	return owner, int(min(maxTake, max(n, p.last))), true
}

// settle takes over granted tokens and spends n of them.
func (l *Limiter) settle(asked time.Time, customer siskin.CustomerID, n float64, reply *TakeReply) siskin.Admission {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.part(customer)
	now := l.cfg.Clock.Now()
	if now.After(p.expiry) {
		p.granted = 0
	}
	if now.Before(asked.Add(grantLife)) {
		p.granted += float64(reply.Tokens)
		// An earlier expiry of other tokens is kept, so none lives too long.
		if e := asked.Add(grantLife); p.granted == float64(reply.Tokens) || e.Before(p.expiry) {
			p.expiry = e
		}
	}
	if p.granted >= n {
		p.granted -= n
		return siskin.Admission{Admitted: true}
	}
	p.refused = now.Add(min(refusedFor, reply.RetryAfter))
	return siskin.Admission{RetryAfter: reply.RetryAfter}
}

// Take grants tokens of a pool that this VM holds.
func (l *Limiter) Take(args *TakeArgs) TakeReply {
	rate, burst, ok := l.limits(args.Customer)
	if !ok {
		return TakeReply{RetryAfter: time.Second}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.released {
		return TakeReply{RetryAfter: retryAfter(rate)}
	}
	p := l.pools[args.Customer]
	if p == nil {
		return TakeReply{RetryAfter: retryAfter(rate)}
	}
	p.fill(l.cfg.Clock.Now(), rate, burst)
	return TakeReply{Tokens: int(p.take(float64(args.Tokens))), RetryAfter: retryAfter(rate)}
}

// Take grants tokens of a pool.
func (r *Receiver) Take(args *TakeArgs, reply *TakeReply) error {
	*reply = r.l.Take(args)
	return nil
}
