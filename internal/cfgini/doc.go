// Package cfgini reads and checks settings in INI with Pascal-case names.
//
// Settings are described once, by Go types with tags. The types drive the
// parser, the checks, reload and the reference page docs/SETTINGS.md. All
// findings of a file are reported at once, each with file, line and remedy.
//
// Tags of a setting:
//
//	unit     how the text is parsed: name, text, address, addresses, file, or
//	         the names of the allowed values separated by "|"; numbers,
//	         durations and sizes follow from the Go type
//	default  the value of a missing key
//	optional "yes" when the key may be missing and has no default
//	min, max inclusive bounds
//	reload   "yes" when a running program can apply a new value
//	guard    "yes" when the default of a misspelt key could break a promise: a
//	         file without this key must not have unknown names
//	doc      one sentence for the reference page
package cfgini
