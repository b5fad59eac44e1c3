package cfgini

import (
	"fmt"
	"strings"
)

// Reference returns the reference of a settings type as Markdown tables, one per
// section.
func Reference(settings any) string {
	var b strings.Builder
	section := ""
	for _, s := range Describe(settings) {
		if s.Section != section {
			section = s.Section
			fmt.Fprintf(&b, "\n### [%s]\n\n| Key | Unit | Default | Bounds | Reload | Meaning |\n|---|---|---|---|---|---|\n", section)
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s | %s |\n", s.Key, strings.ReplaceAll(s.Unit, "|", ", "), s.defaultText(), s.boundsText(), yesNo(s.Reload), s.Doc)
	}
	return b.String()
}

// Guards returns the names of the settings with the tag guard.
func Guards(settings any) []string {
	var names []string
	for _, s := range Describe(settings) {
		if s.Guard {
			names = append(names, s.Name())
		}
	}
	return names
}

func (s Setting) defaultText() string {
	switch {
	case s.Default != "":
		return "`" + s.Default + "`"
	case s.Optional:
		return "none"
	default:
		return "required"
	}
}

func (s Setting) boundsText() string {
	switch {
	case s.Min == "" && s.Max == "":
		return ""
	case s.Max == "":
		return "at least " + s.Min
	case s.Min == "":
		return "at most " + s.Max
	default:
		return s.Min + " to " + s.Max
	}
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
