package home

import (
	"bytes"
	"encoding/json"
	"unicode/utf8"

	"siskintray.example/siskin"
)

// VMs of versions without the binary encoding exchange requests and replies as
// JSON, in which bytes that are not UTF-8 are replaced by U+FFFD. Such a request
// is not run, and such an answer is not passed on.

// errReplaced is returned for a request that JSON would change.
var errReplaced = siskin.NewError(siskin.BadInput, "a VM of an older version cannot receive bytes that are not UTF-8").WithRemedy("update all VMs")

// hasReplacedBytes reports whether bytes of a text were replaced when b was
// encoded. encoding/json escapes U+FFFD only where it replaces a byte.
func hasReplacedBytes(b []byte) bool {
	if !utf8.Valid(b) {
		return true
	}
	for {
		i := bytes.IndexByte(b, '\\')
		if i < 0 || i+1 >= len(b) {
			return false
		}
		if bytes.HasPrefix(b[i+1:], []byte("ufffd")) {
			return true
		}
		b = b[i+2:]
	}
}

// MarshalJSON implements json.Marshaler. It returns an error if a text of the
// request would change.
func (r *Request) MarshalJSON() ([]byte, error) {
	type plain Request
	b, err := json.Marshal((*plain)(r))
	if err == nil && hasReplacedBytes(b) {
		return nil, errReplaced
	}
	return b, err
}

// UnmarshalJSON implements json.Unmarshaler.
func (r *Request) UnmarshalJSON(b []byte) error {
	type plain Request
	if err := json.Unmarshal(b, (*plain)(r)); err != nil {
		return err
	}
	r.replaced = hasReplacedBytes(b)
	return nil
}

// Replaced reports whether bytes of the caller's texts were replaced by the VM
// of an older version that sent the request, so that it must not run.
func (r *Request) Replaced() bool { return r.replaced }

// MarshalJSON implements json.Marshaler. An answer of which a text would change
// is encoded without its texts.
func (r *Reply) MarshalJSON() ([]byte, error) {
	type plain Reply
	b, err := json.Marshal((*plain)(r))
	if err == nil && hasReplacedBytes(b) {
		withoutTexts := *r
		withoutTexts.dropTexts()
		return json.Marshal((*plain)(&withoutTexts))
	}
	return b, err
}

// UnmarshalJSON implements json.Unmarshaler. An answer of which a text has
// changed is decoded without its texts.
func (r *Reply) UnmarshalJSON(b []byte) error {
	type plain Reply
	if err := json.Unmarshal(b, (*plain)(r)); err != nil {
		return err
	}
	if hasReplacedBytes(b) {
		r.dropTexts()
	}
	return nil
}

// dropTexts removes the texts of the target. A success is useless without them;
// its statement has run, so its answer counts as lost.
func (r *Reply) dropTexts() {
	if r.Outcome == Answered && r.Answer.Code == siskin.Succeeded {
		r.Outcome, r.Cause, r.Answer = AnswerLost, Unknown, siskin.Answer{}
		return
	}
	r.Answer.Rows, r.Answer.Signature, r.Answer.Message = nil, "", ""
}
