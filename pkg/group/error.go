package group

import (
	"time"

	"siskintray.example/siskin"
)

var phaseNames = [...]string{
	phaseDrain: "running writes ended", phaseCatchUp: "the replicas caught up",
	phaseGrace: "the replicas caught up", phaseClaim: "enough targets were claimed",
	phasePromote: "the promotion was confirmed",
}

func errAttemptExpired(service siskin.ServiceName, p phase, claims, quorum int) error {
	return siskin.NewError(siskin.Unavailable, "change of primary of %s ended before %s (%d of %d claims)", service, phaseNames[p], claims, quorum).
		WithRemedy("restore targets, or force the change and accept the loss of writes")
}

func errOtherVM(term siskin.Term) error {
	return siskin.NewError(siskin.Conflict, "another VM changes the primary with term %d", term).
		WithRemedy("look at the group's view and repeat if it is still needed")
}

func errOtherTarget(preferred, got siskin.TargetID) error {
	return siskin.NewError(siskin.Conflict, "target %s was promoted instead of %s, since its log is newer", got, preferred).
		WithRemedy("repeat the change when the wanted target has caught up")
}

func errChangeInProgress(service siskin.ServiceName) error {
	return siskin.NewError(siskin.Conflict, "a change of primary of %s is in progress", service).
		WithRemedy("repeat when it has ended")
}

func errNoPrimary(service siskin.ServiceName) error {
	return siskin.NewError(siskin.Unavailable, "the primary of %s does not answer, so it cannot be drained", service).
		WithRemedy("wait for the failover, or force the change")
}

func errUnknownTarget(service siskin.ServiceName, id siskin.TargetID) error {
	return siskin.NewError(siskin.BadInput, "group %s has no target %s", service, id).
		WithRemedy("choose a target of the group")
}

func errOutcomeUnknown(pos siskin.Position, cause error) error {
	return siskin.NewError(siskin.OutcomeUnknown, "write at term %d position %s was not confirmed", pos.Term, pos.LSN).
		WithRemedy("read back whether the write is there before repeating it").WithCause(cause)
}

func errNoWritablePrimary(service siskin.ServiceName, wait time.Duration) error {
	return siskin.NewError(siskin.NotRun, "group %s has no primary that takes writes; not run", service).
		WithRemedy("repeat the request").WithRetryAfter(wait)
}

func errLagging(service siskin.ServiceName, wait time.Duration) error {
	return siskin.NewError(siskin.NotRun, "replicas of %s do not confirm writes in time; not run", service).
		WithRemedy("repeat the request later").WithRetryAfter(wait)
}

func errFloor(service siskin.ServiceName, answers, quorum int, cause error) error {
	return siskin.NewError(siskin.NotRun, "read floor of %s: %d of %d targets answered; not run", service, answers, quorum).
		WithRemedy("repeat the request").WithCause(cause)
}

func errPaused(service siskin.ServiceName) error {
	return siskin.NewError(siskin.Unavailable, "this VM was paused and gave up the change of primary of %s", service).
		WithRemedy("look at the group's view and repeat if it is still needed")
}

func errClosed() error {
	return siskin.NewError(siskin.NotRun, "the group was closed; not run").
		WithRemedy("use another VM")
}

func errPrimaryResponds(service siskin.ServiceName) error {
	return siskin.NewError(siskin.Unavailable, "the primary of %s answers on a new connection", service).WithRemedy("nothing; its connections are replaced")
}
