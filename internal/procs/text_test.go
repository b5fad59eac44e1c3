package procs

import (
	"math/rand"
	"strings"
)

// messageEnd ends a message. All other bytes may stand in a text.
const messageEnd = "\r\n"

// oddPieces are what a program may take for the end of a message, for a message of
// its own, or for bytes to escape or to replace.
var oddPieces = []string{
	"\n", "\r", "\r\r", "\n\n", "\x00", " ", "  ", "\t", "\xff", "\xe4", "\xc3\xa4", "\xc2\xa0", "\xe2\x80\xa8", "\xed\xa0\x80",
	"\nDONE i-ledger-0.1.1", "\nDONE -\nREADY I -", "\nERROR BUSY x", "\nROW y", "\nQUERY 1 WRITE x y", "\nBYE", "\rREADY I -",
	"READ", "WRITE", "EXEC s1", "WAITLSN 1.1", "COMMIT", "-", "%s%d", "\"", "\\", "\\n", "\\u0000", "{}", "<&>", "'", ";", "=", ",", "/", "..",
}

// oddLengths are the lengths of long texts, around the sizes of usual buffers.
var oddLengths = []int{1000, 1024, 4090, 4096, 5000, 20000, 70000}

// oddText returns a text of any bytes except CR LF. It may be empty.
func oddText(rng *rand.Rand) string {
	var b strings.Builder
	for range rng.Intn(6) {
		switch rng.Intn(4) {
		case 0:
			b.WriteByte(byte(rng.Intn(256)))
		case 1:
			b.WriteString(oddPieces[rng.Intn(len(oddPieces))])
		case 2:
			b.WriteString(word(rng))
		default:
			b.WriteString(" " + word(rng))
		}
	}
	if rng.Intn(100) == 0 {
		raw := make([]byte, oddLengths[rng.Intn(len(oddLengths))]+rng.Intn(20))
		rng.Read(raw)
		b.Write(raw)
	}
	text := b.String()
	for strings.Contains(text, messageEnd) {
		text = strings.ReplaceAll(text, messageEnd, "\r")
	}
	return text
}

// word returns a few letters.
func word(rng *rand.Rand) string {
	b := make([]byte, 2+rng.Intn(6))
	for i := range b {
		b[i] = byte('a' + rng.Intn(26))
	}
	return string(b)
}
