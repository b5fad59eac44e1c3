package speed

// stage is a part of a trial of a lower limit.
type stage int

// Values of stage.
const (
	noTrial stage = iota
	trialFew
	trialFull
)
