package front

import (
	"strings"

	"siskintray.example/siskin"
)

// Names of the settings that callers may set at start-up and with SET.
const (
	routeSetting = "siskintray.route"
	tokenSetting = "siskintray.token"
)

// parseOptions returns the settings of the proxy in the start-up parameter
// "options", which has the form "-c name=value --name=value". A backslash makes
// the next character literal. Other settings are ignored.
func parseOptions(options string) (map[string]string, error) {
	settings := make(map[string]string)
	words := splitOptions(options)
	for i := 0; i < len(words); i++ {
		word := words[i]
		switch {
		case word == "-c" && i+1 < len(words):
			i++
			word = words[i]
		case strings.HasPrefix(word, "-c"):
			word = word[2:]
		case strings.HasPrefix(word, "--"):
			word = word[2:]
		default:
			return nil, siskin.NewError(siskin.BadInput, "start-up option %q is not understood", word).
				WithRemedy("write options as -c name=value")
		}
		name, value, ok := strings.Cut(word, "=")
		if !ok {
			return nil, siskin.NewError(siskin.BadInput, "start-up option %q has no value", word).
				WithRemedy("write options as -c name=value")
		}
		if name == routeSetting || name == tokenSetting {
			settings[name] = value
		}
	}
	return settings, nil
}

func splitOptions(s string) []string {
	var words []string
	var word strings.Builder
	inWord := false
	for i := 0; i < len(s); i++ {
		switch c := s[i]; {
		case c == '\\' && i+1 < len(s):
			i++
			word.WriteByte(s[i])
			inWord = true
		case c == ' ' || c == '\t' || c == '\n':
			if inWord {
				words = append(words, word.String())
				word.Reset()
				inWord = false
			}
		default:
			word.WriteByte(c)
			inWord = true
		}
	}
	if inWord {
		words = append(words, word.String())
	}
	return words
}
