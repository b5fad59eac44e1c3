package cfgini

import (
	"fmt"
	"strings"
	"unicode/utf8"

	"gopkg.in/ini.v1"
)

// Limits of a file. Settings and answers are a few kilobytes; the limits keep a
// wrong or malicious file from using much memory.
const (
	maxFileSize   = 1 << 20
	maxLineLength = 8 << 10
	maxLines      = 10000
)

// File is a parsed INI file with the line number of each section and key.
type File struct {
	Name     string
	Sections []*Section // in file order
}

// Section is one section of a File.
type Section struct {
	Name    string
	Line    int
	Entries []Entry // in file order
}

// Entry is one key of a Section.
type Entry struct {
	Key, Value string
	Line       int
}

// Section returns the section with the given name, or nil.
func (f *File) Section(name string) *Section {
	for _, s := range f.Sections {
		if s.Name == name {
			return s
		}
	}
	return nil
}

// Entry returns the entry of a key. It may be called on a nil section.
func (s *Section) Entry(key string) (Entry, bool) {
	if s == nil {
		return Entry{}, false
	}
	for _, e := range s.Entries {
		if e.Key == key {
			return e, true
		}
	}
	return Entry{}, false
}

// ParseFile parses INI text. A value extends to the end of its line, so that
// passwords may contain comment characters. Line continuation, nested values and
// repeated names are rejected.
func ParseFile(name string, data []byte) (*File, Findings) {
	f := &File{Name: name}
	var found Findings
	if len(data) > maxFileSize {
		found.add(name, 0, "split the file or remove what is not a setting", "file has %d bytes, at most %d are read", len(data), maxFileSize)
		return f, found
	}
	if !utf8.Valid(data) {
		found.add(name, 0, "save the file as UTF-8", "file is not valid UTF-8")
		return f, found
	}
	found = f.scan(string(data))
	if len(found) > 0 {
		return f, found
	}
	return f, f.readValues(data)
}

// scan records the line number of each section and key, which the INI library
// does not keep, and rejects every line that the library would treat specially.
func (f *File) scan(text string) (found Findings) {
	text = strings.TrimPrefix(text, "\ufeff")
	lineCount := 0
	seen := map[string]int{}
	for i, line := range strings.Split(text, "\n") {
		n := i + 1
		line = strings.TrimSpace(line)
		switch {
		case len(line) > maxLineLength:
			found.add(f.Name, n, "shorten the value", "line is longer than %d bytes", maxLineLength)
		case strings.ContainsFunc(line, isControl):
			found.add(f.Name, n, "remove the control character", "line contains a control character")
		case line == "" || line[0] == '#' || line[0] == ';':
		case line[0] == '[':
			f.scanSection(line, n, seen, &found)
		default:
			f.scanEntry(line, n, seen, &found)
		}
		if lineCount++; lineCount > maxLines {
			found.add(f.Name, n, "remove what is not a setting", "file has more than %d lines", maxLines)
			return found
		}
	}
	return found
}

func isControl(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }

func (f *File) scanSection(line string, n int, seen map[string]int, found *Findings) {
	name := strings.TrimSpace(strings.TrimSuffix(line[1:], "]"))
	if !strings.HasSuffix(line, "]") || !isName(name) {
		found.add(f.Name, n, "write a section as [Name]", "section header %s is malformed", quote(line))
		return
	}
	if first, ok := seen["["+name]; ok {
		found.add(f.Name, n, fmt.Sprintf("move its keys to line %d", first), "section %s appears a second time", name)
	}
	seen["["+name] = n
	f.Sections = append(f.Sections, &Section{Name: name, Line: n})
}

func (f *File) scanEntry(line string, n int, seen map[string]int, found *Findings) {
	key, value, ok := strings.Cut(line, "=")
	key, value = strings.TrimSpace(key), strings.TrimSpace(value)
	switch {
	case !ok || !isName(key):
		found.add(f.Name, n, "write a setting as Key = value, and a comment with # before it", "line %s is not a setting", quote(line))
	case len(f.Sections) == 0:
		found.add(f.Name, n, "put it below a section header such as [VM]", "key %s stands before the first section", key)
	case value != "" && strings.ContainsRune("\"'`", rune(value[0])), strings.HasSuffix(value, `\`):
		found.add(f.Name, n, "write the value without quotes and without a backslash at its end", "value of %s is quoted or continued", key)
	default:
		s := f.Sections[len(f.Sections)-1]
		if first, ok := seen[s.Name+"."+key]; ok {
			found.add(f.Name, n, fmt.Sprintf("remove it here or in line %d", first), "key %s.%s appears a second time", s.Name, key)
			return
		}
		seen[s.Name+"."+key] = n
		s.Entries = append(s.Entries, Entry{Key: key, Line: n})
	}
}

// readValues sets the values of the entries as parsed by the INI library.
func (f *File) readValues(data []byte) (found Findings) {
	lib, err := ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation: true, IgnoreInlineComment: true, KeyValueDelimiters: "=",
		PreserveSurroundedQuote: true, ChildSectionDelimiter: "\x00",
	}, data)
	if err != nil {
		found.add(f.Name, 0, "correct the line that the message names", "file is not INI: %v", err)
		return found
	}
	for _, s := range f.Sections {
		for i := range s.Entries {
			e := &s.Entries[i]
			k, err := lib.Section(s.Name).GetKey(e.Key)
			if err != nil {
				found.add(f.Name, e.Line, "write the setting as Key = value", "key %s.%s is not readable", s.Name, e.Key)
				continue
			}
			// Value rather than String, which expands %(name)s references.
			e.Value = k.Value()
		}
	}
	return found
}

// isName accepts names of sections and keys, such as "Target.1".
func isName(s string) bool {
	if s == "" || len(s) > 64 {
		return false
	}
	for i, r := range s {
		letter := r >= 'A' && r <= 'Z' || r >= 'a' && r <= 'z'
		if !letter && (i == 0 || r != '.' && r != '_' && r != '-' && (r < '0' || r > '9')) {
			return false
		}
	}
	return true
}

// quote quotes and truncates untrusted text for a message.
func quote(s string) string {
	if len(s) > 60 {
		s = strings.ToValidUTF8(s[:60], "") + "..."
	}
	return fmt.Sprintf("%q", s)
}
