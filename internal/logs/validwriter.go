package logs

import (
	"fmt"
	"io"
	"unicode/utf8"
)

// validWriter makes lines valid JSON. The library writes some control characters
// and bytes that are not UTF-8 into strings unchanged.
type validWriter struct{ w io.Writer }

// Write implements io.Writer for one line.
func (w *validWriter) Write(p []byte) (int, error) {
	if isValid(p) {
		return w.w.Write(p)
	}
	if _, err := w.w.Write(escape(p)); err != nil {
		return 0, err
	}
	return len(p), nil
}

// isValid reports whether a line has no control characters but the line feed at
// its end, and is UTF-8.
func isValid(p []byte) bool {
	for i, b := range p {
		if b < ' ' && (b != '\n' || i != len(p)-1) {
			return false
		}
	}
	return utf8.Valid(p)
}

// escape returns the line with escaped control characters, and with the
// replacement character for bytes that are not UTF-8.
func escape(p []byte) []byte {
	line := make([]byte, 0, 2*len(p))
	for i := 0; i < len(p); {
		r, n := utf8.DecodeRune(p[i:])
		switch {
		case r < ' ' && (r != '\n' || i != len(p)-1):
			line = fmt.Appendf(line, `\u%04x`, r)
		case r == utf8.RuneError && n == 1:
			line = utf8.AppendRune(line, utf8.RuneError)
		default:
			line = append(line, p[i:i+n]...)
		}
		i += n
	}
	return line
}
