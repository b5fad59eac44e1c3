package logs

// maxText is the size of the longest text of others in a log line, in bytes. A
// request id or a signature may be as long as a message.
const maxText = 64

// Clip returns the beginning of a text of others, for a log line.
func Clip(s string) string {
	if len(s) > maxText {
		return s[:maxText]
	}
	return s
}
