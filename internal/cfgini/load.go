package cfgini

import (
	"os"
	"path/filepath"
	"reflect"
	"slices"

	"siskintray.example/siskin"
)

// ruleChecker is implemented by settings types with rules that involve several
// keys.
type ruleChecker interface {
	check(c *check)
}

// Option changes how settings are read.
type Option func(*options)

type options struct{ skipped *Findings }

// SkipUnknown skips keys and sections that the settings type does not know, and
// stores them in skipped. A program can then start on the settings of a later
// version. Names are skipped only if the file gives all settings with the tag
// guard, so that a misspelt one does not get its default.
func SkipUnknown(skipped *Findings) Option {
	return func(o *options) { o.skipped = skipped }
}

// Load reads the file at path into settings, a pointer to a settings type.
// Relative file names in the settings are resolved against the directory of path.
func Load(path string, settings any, opts ...Option) error {
	info, err := os.Stat(path)
	if err == nil && info.Size() > maxFileSize {
		return Findings{{File: path, Message: "file is too large", Remedy: "name a settings file"}}.Err()
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return siskin.NewError(siskin.BadInput, "settings file cannot be read").WithCause(err).WithRemedy("check the path after --config")
	}
	return Parse(path, data, settings, opts...).Err()
}

// Parse reads INI text into settings and returns all findings.
func Parse(name string, data []byte, settings any, opts ...Option) Findings {
	var o options
	for _, opt := range opts {
		opt(&o)
	}
	f, found := ParseFile(name, data)
	if len(found) > 0 {
		return found
	}
	c := &check{file: f, settings: Describe(settings), invalid: map[string]bool{}}
	if unknown := c.unknownNames(); o.skipped != nil && c.checkGuards(unknown) {
		*o.skipped = unknown
	} else {
		c.found = append(c.found, unknown...)
	}
	v := reflect.ValueOf(settings).Elem()
	for _, s := range c.settings {
		c.parseSetting(s, v.FieldByIndex(s.index))
	}
	if rules, ok := settings.(ruleChecker); ok {
		rules.check(c)
	}
	return c.found
}

// check is the state of the check of one settings file.
type check struct {
	file     *File
	settings []Setting
	found    Findings
	invalid  map[string]bool // settings with a finding, so that rules skip them
}

// checkGuards reports whether unknown names can be skipped. If not, it records the
// settings that one of them may be meant for.
func (c *check) checkGuards(unknown Findings) bool {
	if len(unknown) == 0 {
		return true
	}
	complete := true
	for _, s := range c.settings {
		if _, present := c.file.Section(s.Section).Entry(s.Key); s.Guard && !present {
			complete = false
			c.addFinding(s.Name(), "correct the unknown name or set "+s.Name(), "%s is not set, so that unknown names cannot be skipped", s.Name())
		}
	}
	return complete
}

// unknownNames returns the sections and keys that the settings type lacks.
func (c *check) unknownNames() Findings {
	var unknown Findings
	var sections []string
	keys := map[string][]string{}
	for _, s := range c.settings {
		if !slices.Contains(sections, s.Section) {
			sections = append(sections, s.Section)
		}
		keys[s.Section] = append(keys[s.Section], s.Key)
	}
	for _, s := range c.file.Sections {
		if !slices.Contains(sections, s.Name) {
			unknown.add(c.file.Name, s.Line, suggest(s.Name, sections), "unknown section %s", s.Name)
			continue
		}
		for _, e := range s.Entries {
			if !slices.Contains(keys[s.Name], e.Key) {
				unknown.add(c.file.Name, e.Line, suggest(e.Key, keys[s.Name]), "unknown key %s in section %s", e.Key, s.Name)
			}
		}
	}
	return unknown
}

func suggest(name string, known []string) string {
	if near := Nearest(name, known); near != "" {
		return "did you mean " + near + "?"
	}
	return "remove it; docs/SETTINGS.md lists what is known"
}

func (c *check) parseSetting(s Setting, v reflect.Value) {
	e, present := c.file.Section(s.Section).Entry(s.Key)
	text := e.Value
	if !present {
		if s.Default == "" {
			if !s.Optional {
				c.addFinding(s.Name(), "add "+s.Key+" below ["+s.Section+"]: "+s.Doc, "%s is missing", s.Name())
			}
			return
		}
		text = s.Default
	}
	if text == "" {
		if !s.Optional {
			c.addFinding(s.Name(), "give it a value: "+s.Doc, "%s is empty", s.Name())
		}
		return
	}
	if p := s.parse(text, v); p != nil {
		c.addFinding(s.Name(), p.remedy, "%s: %s", s.Name(), p.message)
		return
	}
	if s.Unit == "file" {
		c.resolveFile(s, v)
	}
}

func (c *check) resolveFile(s Setting, v reflect.Value) {
	path := v.String()
	if !filepath.IsAbs(path) {
		path = filepath.Join(filepath.Dir(c.file.Name), path)
	}
	v.SetString(path)
	file, err := os.Open(path)
	if err != nil {
		c.addFinding(s.Name(), "create the file or correct the path", "%s: file cannot be read: %v", s.Name(), err)
		return
	}
	defer file.Close()
	if info, err := file.Stat(); err != nil || !info.Mode().IsRegular() {
		c.addFinding(s.Name(), "name a regular file", "%s: %s is not a regular file", s.Name(), path)
	}
}

// addFinding records a finding at the line of the named setting.
func (c *check) addFinding(name, remedy, format string, args ...any) {
	c.invalid[name] = true
	line := 0
	for _, s := range c.settings {
		if s.Name() != name {
			continue
		}
		section := c.file.Section(s.Section)
		if e, ok := section.Entry(s.Key); ok {
			line = e.Line
		} else if section != nil {
			line = section.Line
		}
	}
	c.found.add(c.file.Name, line, remedy, format, args...)
}

// allValid reports whether none of the named settings has a finding.
func (c *check) allValid(names ...string) bool {
	return !slices.ContainsFunc(names, func(n string) bool { return c.invalid[n] })
}
