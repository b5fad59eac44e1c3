package cfgini

import (
	"fmt"
	"math"
	"net/netip"
	"reflect"
	"strconv"
	"strings"
	"time"

	"siskintray.example/siskin"
)

// problem is an error in one value, with its remedy.
type problem struct{ message, remedy string }

func problemf(remedy, format string, args ...any) *problem {
	return &problem{message: fmt.Sprintf(format, args...), remedy: remedy}
}

// parse parses the text of a setting into v and checks its bounds.
func (s Setting) parse(text string, v reflect.Value) *problem {
	switch {
	case s.typ == durationType:
		return s.parseDuration(text, v)
	case s.typ == bytesType:
		return s.parseBytes(text, v)
	}
	switch s.typ.Kind() {
	case reflect.Int, reflect.Float64:
		return s.parseNumber(text, v)
	case reflect.Bool:
		if text != "yes" && text != "no" {
			return problemf("write yes or no", "value %s is neither yes nor no", quote(text))
		}
		v.SetBool(text == "yes")
		return nil
	case reflect.Slice:
		return parseAddresses(text, v)
	}
	v.SetString(text)
	return s.checkText(text)
}

func (s Setting) parseDuration(text string, v reflect.Value) *problem {
	d, err := time.ParseDuration(text)
	if err != nil {
		return problemf("write a number with its unit, such as 250ms, 10s or 2m", "value %s is not a duration", quote(text))
	}
	v.SetInt(int64(d))
	low, _ := time.ParseDuration(s.Min) // an empty bound is zero
	high, err := time.ParseDuration(s.Max)
	if d < low || err == nil && d > high {
		return s.outOfBounds(text)
	}
	return nil
}

func (s Setting) parseBytes(text string, v reflect.Value) *problem {
	n, ok := ParseBytes(text)
	if !ok {
		return problemf("write a number with its unit, such as 64KB or 16MB", "value %s is not a size", quote(text))
	}
	v.SetInt(int64(n))
	low, _ := ParseBytes(s.Min)
	high, bounded := ParseBytes(s.Max)
	if n < low || bounded && n > high {
		return s.outOfBounds(text)
	}
	return nil
}

// ParseBytes parses a size such as "512B", "64KB" or "16MB"; a KB is 1024 bytes.
func ParseBytes(text string) (siskin.Bytes, bool) {
	for _, u := range []struct {
		suffix string
		factor int64
	}{{"KB", 1 << 10}, {"MB", 1 << 20}, {"GB", 1 << 30}, {"B", 1}} {
		digits, ok := strings.CutSuffix(text, u.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(digits, 10, 64)
		if err != nil || n < 0 || n > math.MaxInt64/u.factor {
			return 0, false
		}
		return siskin.Bytes(n * u.factor), true
	}
	return 0, false
}

func (s Setting) parseNumber(text string, v reflect.Value) *problem {
	n, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(n) || math.IsInf(n, 0) {
		return problemf("write a plain number without a unit", "value %s is not a number", quote(text))
	}
	if v.Kind() == reflect.Int {
		if n != math.Trunc(n) || math.Abs(n) > 1<<31 {
			return problemf("write a whole number without a unit", "value %s is not a whole number", quote(text))
		}
		v.SetInt(int64(n))
	} else {
		v.SetFloat(n)
	}
	low, _ := strconv.ParseFloat(s.Min, 64)
	high, err := strconv.ParseFloat(s.Max, 64)
	if n < low || err == nil && n > high {
		return s.outOfBounds(text)
	}
	return nil
}

func (s Setting) outOfBounds(text string) *problem {
	low := s.Min
	if low == "" {
		low = "0"
	}
	if s.Max == "" {
		return problemf("use at least "+low, "value %s is too small", quote(text))
	}
	return problemf(fmt.Sprintf("use a value from %s to %s", low, s.Max), "value %s is out of bounds", quote(text))
}

func (s Setting) checkText(text string) *problem {
	switch s.Unit {
	case "name":
		if !validName(text) {
			return problemf("use 1 to 63 lower-case letters, digits, slashes and hyphens, starting with a letter or digit", "value %s is not a name", quote(text))
		}
	case "address":
		return checkAddress(text)
	case "file", "text":
	default:
		choices := strings.Split(s.Unit, "|")
		for _, c := range choices {
			if c == text {
				return nil
			}
		}
		return problemf("use one of "+strings.Join(choices, ", "), "value %s is not allowed", quote(text))
	}
	return nil
}

func validName(s string) bool {
	for i, r := range s {
		alnum := r >= 'a' && r <= 'z' || r >= '0' && r <= '9'
		if !alnum && (i == 0 || r != '-' && r != '/') {
			return false
		}
	}
	return s != "" && len(s) <= 63
}

func checkAddress(text string) *problem {
	a, err := netip.ParseAddrPort(text)
	if err != nil || a.Port() == 0 {
		return problemf("write an IP number and a port, such as 10.1.0.5:6432; names are not looked up", "value %s is not an address", quote(text))
	}
	return nil
}

func parseAddresses(text string, v reflect.Value) *problem {
	var list []string
	for _, part := range strings.Split(text, ",") {
		part = strings.TrimSpace(part)
		if p := checkAddress(part); p != nil {
			return p
		}
		list = append(list, part)
	}
	v.Set(reflect.ValueOf(list))
	return nil
}
