package trail

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"
	"time"

	"siskintray.example/siskin"
)

// Line is one line of a VM's log.
type Line struct {
	VM      siskin.VMID
	Time    time.Time
	Level   string
	Message string
	// Text is the JSON object of the line, unparsed, without the prefix.
	Text string

	RequestID string
	Kind      string
	Code      string
	Reason    string
	Database  string
	Service   siskin.ServiceName
	Customer  siskin.CustomerID
	Target    siskin.TargetID
	Primary   siskin.TargetID
	From, To  siskin.TargetID
	Home      siskin.VMID
	// Took is the total duration, Waited the time in the queue and Ran the time
	// at the target.
	Took, Waited, Ran time.Duration
	// Suppressed is the number of similar lines suppressed before this one.
	Suppressed int
}

// maxLine is the maximum length of a line in bytes.
const maxLine = 1 << 20

// Read reads the log of a VM. The JSON object of a line may be preceded by the
// name of a VM, or by a time and the name; this name overrides vm. Lines without
// a valid JSON object are skipped.
func Read(r io.Reader, vm siskin.VMID) ([]Line, error) {
	var lines []Line
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		if l, ok := parse(s.Text(), vm); ok {
			lines = append(lines, l)
		}
	}
	if err := s.Err(); err != nil {
		return nil, siskin.NewError(siskin.BadInput, "the log of %s cannot be read", vm).WithCause(err).WithRemedy("name a log of a VM")
	}
	return lines, nil
}

func parse(text string, vm siskin.VMID) (Line, bool) {
	prefix, object, ok := strings.Cut(text, "{")
	if !ok {
		return Line{}, false
	}
	var v struct {
		Time      time.Time `json:"time"`
		Level     string    `json:"level"`
		Message   string    `json:"message"`
		RequestID string
		Kind      string
		Code      string
		Reason    string
		Database  string
		Service   siskin.ServiceName
		Customer  siskin.CustomerID
		Target    siskin.TargetID
		Primary   json.RawMessage
		From, To  json.RawMessage
		Home      siskin.VMID
		// Milliseconds.
		Took, Waited, Ran float64
		Suppressed        int
	}
	if json.Unmarshal([]byte("{"+object), &v) != nil {
		return Line{}, false
	}
	if words := strings.Fields(prefix); len(words) > 0 {
		vm = siskin.VMID(words[len(words)-1])
	}
	return Line{
		VM: vm, Time: v.Time, Level: v.Level, Message: v.Message, Text: "{" + object,
		RequestID: v.RequestID, Kind: v.Kind, Code: v.Code, Reason: v.Reason, Database: v.Database, Service: v.Service, Customer: v.Customer,
		Target: v.Target, Primary: parseTargetID(v.Primary), From: parseTargetID(v.From), To: parseTargetID(v.To), Home: v.Home,
		Took: milliseconds(v.Took), Waited: milliseconds(v.Waited), Ran: milliseconds(v.Ran), Suppressed: v.Suppressed,
	}, true
}

// parseTargetID returns the target id in raw, or "" if raw is not a string. Some
// messages use the same field names for a boolean.
func parseTargetID(raw json.RawMessage) siskin.TargetID {
	var id siskin.TargetID
	_ = json.Unmarshal(raw, &id) // id stays empty if raw is not a string
	return id
}

func milliseconds(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }
