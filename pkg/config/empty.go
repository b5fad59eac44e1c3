package config

import "siskintray.example/siskin"

// empty is the View before the first change. Its revision is 0, so that a
// change that is made without a view can be the first one.
type empty struct{ *Fixed }

func newEmpty() View { return empty{NewFixed(nil, nil)} }

// Revision implements View.
func (empty) Revision() siskin.Revision { return 0 }
