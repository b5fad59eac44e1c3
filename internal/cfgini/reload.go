package cfgini

import (
	"reflect"
	"slices"

	"siskintray.example/siskin"
)

// Changed returns the names of the settings that differ between two values of
// the same settings type.
func Changed(before, after any) []string {
	var names []string
	a, b := reflect.Indirect(reflect.ValueOf(before)), reflect.Indirect(reflect.ValueOf(after))
	for _, s := range Describe(before) {
		if !reflect.DeepEqual(a.FieldByIndex(s.index).Interface(), b.FieldByIndex(s.index).Interface()) {
			names = append(names, s.Name())
		}
	}
	return names
}

// Reload reads the file at path and compares it with the current settings. It
// returns the new settings and the names of those that changed. If a changed
// setting needs a restart, it returns an error and nothing is reloaded.
func Reload(path string, current *Daemon) (*Daemon, []string, error) {
	next := new(Daemon)
	if err := Load(path, next); err != nil {
		return nil, nil, err
	}
	changed := Changed(current, next)
	for _, s := range Describe(next) {
		if !s.Reload && slices.Contains(changed, s.Name()) {
			return nil, nil, siskin.NewError(siskin.BadInput, "%s cannot change while the VM runs", s.Name()).
				WithRemedy("restore the old value or restart the VM with a planned stop")
		}
	}
	return next, changed, nil
}
