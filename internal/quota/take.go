package quota

import (
	"context"
	"slices"
	"time"

	"siskintray.example/siskin"
)

// minRetryAfter is the least time that a refused request is told to wait.
const minRetryAfter = 20 * time.Millisecond

func retryAfter(rate float64) time.Duration {
	if rate <= 0 {
		return time.Second
	}
	return max(minRetryAfter, time.Duration(float64(time.Second)/rate))
}

// AdmitWait implements siskin.Limiter. It asks the owners of the customer's
// pools when this VM's own tokens are used up.
func (l *Limiter) AdmitWait(ctx context.Context, customer siskin.CustomerID, n siskin.Requests) siskin.Admission {
	adm, _ := l.admitOnce(ctx, &siskin.AdmissionRequest{Customer: customer}, float64(n), false)
	return adm
}

// AdmitClass implements siskin.ClassLimiter. It waits for a token that accrues
// in time.
func (l *Limiter) AdmitClass(ctx context.Context, req siskin.AdmissionRequest) siskin.Admission {
	req.Class = req.Class.Valid()
	start, wait := l.cfg.Clock.Now(), req.Wait
	next := retry{}
	for {
		var adm siskin.Admission
		adm, next = l.admitOnce(ctx, &req, 1, next.placed)
		if adm.Admitted || next.after == 0 {
			return adm
		}
		select {
		case <-l.cfg.Clock.After(next.after):
		case <-ctx.Done():
			return adm
		}
		req.Wait = wait - l.cfg.Clock.Since(start)
	}
}

// retry is how a request that waits goes on.
type retry struct {
	after time.Duration // zero if the request does not wait
	// placed is set if an owner keeps a place for the request.
	placed bool
}

// admitOnce takes n tokens of this VM or of the pools, and returns whether the
// request waits and tries again.
func (l *Limiter) admitOnce(ctx context.Context, req *siskin.AdmissionRequest, n float64, returning bool) (siskin.Admission, retry) {
	now := l.cfg.Clock.Now()
	adm := l.admitLocal(now, req.Customer, req.Class, n)
	if adm.Admitted {
		return adm, retry{}
	}
	owners, tokens := l.ownersToAsk(now, req, n, returning)
	refused := false
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	for i, owner := range owners {
		if ctx.Err() != nil {
			break // no time is left to ask this owner; don't mark it as silent
		}
		sentAt := l.cfg.Clock.Now()
		args := TakeArgs{Customer: req.Customer, Tokens: tokens, Class: req.Class, Returning: returning}
		if i == len(owners)-1 {
			args.Wait = max(0, req.Wait) // another owner may have tokens now
		}
		reply, ok := l.takeFrom(ctx, owner, &args, len(owners)-i)
		if !ok {
			continue
		}
		if adm = l.spendGrant(sentAt, req, n, &reply); adm.Admitted {
			return adm, retry{}
		}
		if reply.Return && reply.RetryAfter <= req.Wait {
			return adm, retry{max(reply.RetryAfter, minReturn), true}
		}
		refused = true
	}
	if refused {
		l.backOff(req, adm.RetryAfter)
	}
	if l.isStarting(now) && req.Wait >= startupPoll {
		return adm, retry{startupPoll, returning}
	}
	if req.Useful > 0 {
		adm.RetryAfter = l.bookReturn(now, req, adm.RetryAfter)
	}
	return adm, retry{}
}

const (
	// startupTime is the time after the start of a VM in which its pools may
	// lack loans that are on their way, and startupPoll the time between two
	// tries in it. Loans arrive within half a second of a start of all VMs.
	startupTime = time.Second
	startupPoll = 30 * time.Millisecond
	// minReturn bounds the calls of a request that waits.
	minReturn = 5 * time.Millisecond
)

func (l *Limiter) isStarting(now time.Time) bool { return now.Sub(l.started) < startupTime }

// bookReturn returns when a refused request may return, or zero if that is of no
// use. Those that this VM refuses are spread by the speed at which it obtains
// tokens for the customer, or by its part of the rate.
func (l *Limiter) bookReturn(now time.Time, req *siskin.AdmissionRequest, ready time.Duration) time.Duration {
	rate, _, ok := l.limits(req.Customer)
	if !ok || rate <= 0 {
		return ready
	}
	vms := max(1, len(l.cfg.Members.Live()))
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.localBucketOf(req.Customer)
	// Requests that have a place, and the reserve of more urgent ones, come first.
	ready = max(ready, p.readyAt[req.Class].Sub(now))
	speed := max(p.obtained.total(now), rate/float64(vms))
	after, _ := p.returns.Book(now.Sub(l.started), req.Class, ready, time.Duration(float64(time.Second)/speed), req.Useful)
	return after
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
// owners, and returns none for a while after a refusal unless an owner keeps a
// place for the request.
func (l *Limiter) ownersToAsk(now time.Time, req *siskin.AdmissionRequest, n float64, returning bool) ([]siskin.VMID, int) {
	customer, class := req.Customer, req.Class
	_, burst, _ := l.limits(customer)
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.localBucketOf(customer)
	if !returning && now.Before(p.refusedUntil[class]) {
		return nil, 0
	}
	owners := l.owners(customer, burst, l.keptFraction(burst))
	if l.share == 0 && len(owners) > 0 && owners[0] != p.lastAsked {
		// A VM without a share lends nothing, so it detects a new owner only from
		// its own view of the fleet. The former owner may have tokens until the
		// holders' loans to it expire.
		if p.lastAsked != "" {
			p.formerOwner, p.formerOwnerUntil = p.lastAsked, now.Add(LoanDuration)
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
	if now.Before(p.loanEnd.Add(LoanDuration)) && !slices.Contains(owners, p.owner) {
		owners = append(owners, p.owner)
	}
	if now.Before(p.formerOwnerUntil) && !slices.Contains(owners, p.formerOwner) {
		owners = append(owners, p.formerOwner)
	}
	owners = slices.DeleteFunc(owners, func(id siskin.VMID) bool { return now.Before(l.silentUntil[id]) })
	return owners, int(min(maxTake, max(n, p.lastDemand[class])))
}

// backOff keeps requests of the class from asking the owners again for a while.
func (l *Limiter) backOff(req *siskin.AdmissionRequest, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now, p := l.cfg.Clock.Now(), l.localBucketOf(req.Customer)
	p.readyAt[req.Class] = now.Add(wait)
	// A request that comes later can wait for as long as this one.
	if req.Wait > 0 {
		wait = max(wait-req.Wait, minRetryAfter)
	}
	p.refusedUntil[req.Class] = now.Add(min(refusalBackoff, wait))
	p.scarceUntil = now.Add(demandTime)
}

// spendGrant adds granted tokens and spends n of them if there are enough.
func (l *Limiter) spendGrant(sentAt time.Time, req *siskin.AdmissionRequest, n float64, reply *TakeReply) siskin.Admission {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.localBucketOf(req.Customer)
	now := l.cfg.Clock.Now()
	p.dropExpired(now)
	if reply.Tokens > 0 && now.Before(sentAt.Add(grantTTL)) {
		p.addGranted(req.Class, float64(reply.Tokens), sentAt.Add(grantTTL))
		p.obtained.add(now, 0, float64(reply.Tokens))
	}
	if p.spendGranted(req.Class, n) {
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
	now, p := l.cfg.Clock.Now(), l.pools[args.Customer]
	if p == nil {
		return TakeReply{RetryAfter: retryAfter(rate)}
	}
	return p.serve(now, args, rate, burst)
}

// Take serves a request of another VM for tokens.
func (r *Receiver) Take(args *TakeArgs, reply *TakeReply) error {
	*reply = r.l.Take(args)
	return nil
}
