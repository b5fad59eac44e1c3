package quota

import (
	"context"
	"slices"
	"time"

	"siskintray.example/siskin"
)

func retryAfter(rate float64) time.Duration {
	if rate <= 0 {
		return time.Second
	}
	return max(20*time.Millisecond, time.Duration(float64(time.Second)/rate))
}

// AdmitWait implements siskin.Limiter. It asks the owners of the customer's
// pools when this VM's own tokens are used up.
func (l *Limiter) AdmitWait(ctx context.Context, customer siskin.CustomerID, n siskin.Requests) siskin.Admission {
	now := l.cfg.Clock.Now()
	adm := l.Admit(now, customer, n)
	if adm.Admitted {
		return adm
	}
	owners, tokens := l.ownersToAsk(now, customer, float64(n))
	refused := false
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	for i, owner := range owners {
		if ctx.Err() != nil {
			break // no time is left to ask this owner; don't mark it as silent
		}
		sentAt := l.cfg.Clock.Now()
		reply, ok := l.takeFrom(ctx, owner, &TakeArgs{Customer: customer, Tokens: tokens}, len(owners)-i)
		if !ok {
			continue
		}
		if adm = l.spendGrant(sentAt, customer, float64(n), &reply); adm.Admitted {
			return adm
		}
		refused = true
	}
	if refused {
		l.backOff(customer, adm.RetryAfter)
	}
	return adm
}

// takeFrom asks one owner for tokens. While further owners remain, it uses at
// most half of the time left, since an owner that is cut off never answers.
func (l *Limiter) takeFrom(ctx context.Context, owner siskin.VMID, args *TakeArgs, remaining int) (reply TakeReply, ok bool) {
	if owner == l.cfg.Members.Self().ID {
		return l.Take(args), true
	}
	deadline, _ := ctx.Deadline()
	ctx, cancel := context.WithTimeout(ctx, time.Until(deadline)/time.Duration(min(remaining, 2)))
	defer cancel()
	if err := l.cfg.Peers.Call(ctx, owner, "Quota.Take", args, &reply); err != nil {
		l.noteNoAnswer(owner, args.Customer, err)
		return TakeReply{}, false
	}
	return reply, true
}

// noteNoAnswer records that an owner didn't answer, and triggers a ping of it.
func (l *Limiter) noteNoAnswer(owner siskin.VMID, customer siskin.CustomerID, err error) {
	l.mu.Lock()
	l.silentUntil[owner] = l.cfg.Clock.Now().Add(silentBackoff)
	l.mu.Unlock()
	l.cfg.Log.Info().Err(err).Str("Customer", string(customer)).Str("Owner", string(owner)).Msg("the pool gave no answer")
	l.cfg.PingNow(owner)
}

// ownersToAsk returns the owners of the customer's pools in the order in which
// to ask them, and the number of tokens to ask for. It leaves out silent
// owners, and returns none for a while after a refusal.
func (l *Limiter) ownersToAsk(now time.Time, customer siskin.CustomerID, n float64) ([]siskin.VMID, int) {
	_, burst, _ := l.limits(customer)
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.localBucketOf(customer)
	if now.Before(p.refusedUntil) {
		return nil, 0
	}
	owners := l.owners(customer, burst, l.keptFraction(burst))
	if l.share == 0 && len(owners) > 0 && owners[0] != p.lastAsked {
		// A VM without a share lends nothing, so it detects a new owner only from
		// its own view of the fleet. The former owner may have tokens until the
		// holders' loans to it expire.
		if p.lastAsked != "" {
			p.formerOwner, p.formerOwnerUntil = p.lastAsked, now.Add(loanDuration)
		}
		p.lastAsked = owners[0]
	}
	if now.Before(p.loanEnd) && !slices.Contains(owners, p.owner) {
		// Another VM has just become the owner, but this VM's loan to the former
		// owner is still valid.
		owners = append([]siskin.VMID{p.owner}, owners...)
	}
	// After this VM's loan has expired, the VM that it lent to may still have
	// tokens from loans of other lenders.
	if now.Before(p.loanEnd.Add(loanDuration)) && !slices.Contains(owners, p.owner) {
		owners = append(owners, p.owner)
	}
	if now.Before(p.formerOwnerUntil) && !slices.Contains(owners, p.formerOwner) {
		owners = append(owners, p.formerOwner)
	}
	owners = slices.DeleteFunc(owners, func(id siskin.VMID) bool { return now.Before(l.silentUntil[id]) })
	return owners, int(min(maxTake, max(n, p.lastDemand)))
}

// backOff keeps requests of a customer from asking the owners again for a
// while.
func (l *Limiter) backOff(customer siskin.CustomerID, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.localBucketOf(customer).refusedUntil = l.cfg.Clock.Now().Add(min(refusalBackoff, wait))
}

// spendGrant adds granted tokens and spends n of them if there are enough.
func (l *Limiter) spendGrant(sentAt time.Time, customer siskin.CustomerID, n float64, reply *TakeReply) siskin.Admission {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.localBucketOf(customer)
	now := l.cfg.Clock.Now()
	if now.After(p.expiry) {
		p.granted = 0
	}
	if now.Before(sentAt.Add(grantTTL)) {
		p.granted += float64(reply.Tokens)
		// The earlier expiry applies to all granted tokens, so none is valid
		// for too long.
		if e := sentAt.Add(grantTTL); p.granted == float64(reply.Tokens) || e.Before(p.expiry) {
			p.expiry = e
		}
	}
	if p.granted >= n {
		p.granted -= n
		return siskin.Admission{Admitted: true}
	}
	return siskin.Admission{RetryAfter: reply.RetryAfter}
}

// Take grants tokens of a pool that this VM owns.
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

// Take serves a request of another VM for tokens.
func (r *Receiver) Take(args *TakeArgs, reply *TakeReply) error {
	*reply = r.l.Take(args)
	return nil
}
