package quest

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
)

// maxAnswer bounds one answer. The longest is a list of keys.
const maxAnswer = 4096

// kind checks one answer and returns what is wrong and the remedy, or "".
type kind func(answer string) (message, remedy string)

// check refuses text that no question accepts, then asks the question's kind.
func (q *Question) check(answer string) (message, remedy string) {
	switch {
	case len(answer) > maxAnswer:
		return fmt.Sprintf("the answer is longer than %d characters", maxAnswer), "shorten it"
	case !utf8.ValidString(answer) || strings.ContainsFunc(answer, unicode.IsControl):
		return "the answer contains a control character", "type it again on one line"
	case answer == "" && q.Optional:
		return "", ""
	case answer == "":
		return "the question is not answered", "answer it; there is no default"
	}
	return q.kind(answer)
}

func name(s string) (string, string) {
	if !config.ValidName(s) {
		return "this is not a name", "use 1 to 63 lower-case letters, digits and hyphens, starting with a letter or digit"
	}
	return "", ""
}

// free accepts what an answers file can hold.
func free(s string) (string, string) {
	if strings.ContainsRune("\"'`", rune(s[0])) || strings.HasSuffix(s, `\`) || strings.TrimSpace(s) != s {
		return "the answer starts with a quotation mark or ends with a backslash", "choose another value"
	}
	if len(s) > 256 {
		return "the answer is longer than 256 characters", "choose a shorter value"
	}
	return "", ""
}

func count(low, high int) kind {
	return func(s string) (string, string) {
		n, err := strconv.Atoi(s)
		if err != nil || n < low || n > high {
			return "this is not a whole number in bounds", fmt.Sprintf("give a whole number from %d to %d", low, high)
		}
		return "", ""
	}
}

func amount(s string) (string, string) {
	x, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsNaN(x) || math.IsInf(x, 0) || x <= 0 {
		return "this is not a positive number", "give a number such as 50 or 0.5"
	}
	return "", ""
}

func duration(s string) (string, string) {
	d, err := time.ParseDuration(s)
	if err != nil || d < 0 {
		return "this is not a length of time", "give a number with its unit, such as 250ms, 10s or 2m"
	}
	return "", ""
}

func address(s string) (string, string) {
	if a, err := netip.ParseAddrPort(s); err != nil || a.Port() == 0 {
		return "this is not an address", "give an IP number and a port, such as 10.1.0.5:5432"
	}
	return "", ""
}

func choice(values ...string) kind {
	return func(s string) (string, string) {
		if !slices.Contains(values, s) {
			return "this is none of the choices", "answer " + strings.Join(values, " or ")
		}
		return "", ""
	}
}

var yesNo = choice("yes", "no")

func keyList(s string) (string, string) {
	if _, ok := parseKeys(s); !ok {
		return "this is not a list of keys", "give pairs of a name and a SHA-256 digest of 64 lower-case hexadecimal digits, separated by commas; never the key itself"
	}
	return "", ""
}

func parseKeys(s string) ([]config.Key, bool) {
	if s == "" {
		return nil, true
	}
	var keys []config.Key
	for _, pair := range strings.Split(s, ",") {
		f := strings.Fields(pair)
		if len(f) != 2 || !config.ValidName(f[0]) || !config.ValidDigest(f[1]) {
			return nil, false
		}
		keys = append(keys, config.Key{ID: siskin.KeyID(f[0]), Digest: f[1]})
	}
	return keys, true
}
