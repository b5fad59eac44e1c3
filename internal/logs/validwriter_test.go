package logs

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"unicode/utf8"
)

// TestOddBytes guards against texts of others that break a log line, or change
// another field of it.
func TestOddBytes(t *testing.T) {
	texts := map[string]string{
		"h\xe4m": "h\uFFFDm", "\"x\",\"RequestID\":\"2": "\"x\",\"RequestID\":\"2", "a\r\nb\t": "a\r\nb\t",
		"\xe2\x80": "\uFFFD\uFFFD", "\u2028\u00e4<'&>": "\u2028\u00e4<'&>",
	}
	for b := range 128 {
		texts["a"+string(rune(b))+"b"] = "a" + string(rune(b)) + "b"
	}
	for text, want := range texts {
		var b bytes.Buffer
		New("info", "json", &b).Info().Str("Database", text).Str("RequestID", "1").Msg("request finished")
		var line map[string]string
		if err := json.Unmarshal(b.Bytes(), &line); err != nil || !utf8.Valid(b.Bytes()) || line["Database"] != want || line["RequestID"] != "1" || len(line) != 5 {
			t.Errorf("%q: got %v of the line %q", text, err, b.String())
		}
		if n := strings.Count(b.String(), "\n"); n != 1 {
			t.Errorf("%q: got %d lines, want 1", text, n)
		}
		b.Reset()
		New("info", "text", &b).Info().Str("Database", text).Msg("request finished")
		if n := strings.Count(b.String(), "\n"); n != 1 || strings.ContainsAny(b.String(), "\r\x1b\x00") {
			t.Errorf("%q as text: got %q, want one line", text, b.String())
		}
	}
}

// TestClip guards against a long text of others that fills the log.
func TestClip(t *testing.T) {
	long := strings.Repeat("x", 1<<20)
	if got := Clip(long); got != long[:maxText] {
		t.Errorf("got %d bytes, want %d", len(got), maxText)
	}
	if got := Clip("short"); got != "short" {
		t.Errorf("got %q, want short", got)
	}
}
