package cfgini

import (
	"reflect"
	"time"

	"siskintray.example/siskin"
)

// Setting describes one key of a settings type.
type Setting struct {
	Section, Key string
	Unit         string
	Default      string
	Min, Max     string
	Optional     bool
	Reload       bool
	Guard        bool
	Doc          string

	index []int
	typ   reflect.Type
}

// Required reports whether the key must be present.
func (s Setting) Required() bool { return s.Default == "" && !s.Optional }

// Name returns the setting's full name, such as "Caller.Address".
func (s Setting) Name() string { return s.Section + "." + s.Key }

var (
	durationType = reflect.TypeFor[time.Duration]()
	bytesType    = reflect.TypeFor[siskin.Bytes]()
)

// Describe returns the settings of a settings type, a struct of sections.
func Describe(settings any) []Setting {
	t := reflect.TypeOf(settings)
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	var all []Setting
	for i := range t.NumField() {
		section := t.Field(i)
		for j := range section.Type.NumField() {
			f := section.Type.Field(j)
			all = append(all, Setting{
				Section: section.Name, Key: f.Name,
				Unit: unitOf(f), Default: f.Tag.Get("default"), Doc: f.Tag.Get("doc"),
				Min: f.Tag.Get("min"), Max: f.Tag.Get("max"),
				Optional: f.Tag.Get("optional") == "yes", Reload: f.Tag.Get("reload") == "yes", Guard: f.Tag.Get("guard") == "yes",
				index: []int{i, j}, typ: f.Type,
			})
		}
	}
	return all
}

func unitOf(f reflect.StructField) string {
	switch {
	case f.Type == durationType:
		return "duration"
	case f.Type == bytesType:
		return "size"
	case f.Type.Kind() == reflect.Bool:
		return "yes|no"
	case f.Type.Kind() == reflect.Int, f.Type.Kind() == reflect.Float64:
		return "number"
	}
	return f.Tag.Get("unit")
}
