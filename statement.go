package siskin

// RequestID identifies one statement of a caller. It is passed to targets
// unchanged.
type RequestID string

// StatementKind is the kind of a statement of the session protocol.
type StatementKind int

// Kinds of statements. Only siskintray itself sends Discard and the kinds after
// it.
const (
	UnknownStatement StatementKind = iota
	Begin
	BeginRead
	Commit
	Rollback
	Read
	Write
	SetValue
	Prepare
	Execute
	Deallocate
	Discard
	Status
	Pause
	Unpause
	StepDown
)

var statementKinds = [...]string{
	"Unknown", "Begin", "BeginRead", "Commit", "Rollback", "Read", "Write", "SetValue", "Prepare",
	"Execute", "Deallocate", "Discard", "Status", "Pause", "Unpause", "StepDown",
}

// String returns the kind's name as it appears in logs.
func (k StatementKind) String() string {
	if k < 0 || int(k) >= len(statementKinds) {
		return "Unknown"
	}
	return statementKinds[k]
}

// Statement is one statement of the session protocol.
type Statement struct {
	// ID is empty for statements that siskintray itself issues.
	ID   RequestID `json:",omitempty"`
	Kind StatementKind
	// Name is the name of a value (SetValue) or of a prepared statement.
	Name string `json:",omitempty"`
	// Text is the rest of the statement as the caller wrote it: the item and
	// data of a read or write, the value of SetValue, the statement template
	// of Prepare.
	Text string `json:",omitempty"`
	// Writes is true if a prepared statement writes.
	Writes bool `json:",omitempty"`
	// Floor is the minimum position that the target must have applied before it
	// runs the statement; zero means that there is no minimum.
	Floor Position `json:",omitzero"`
	// Term is the term of Pause and StepDown.
	Term Term `json:",omitempty"`
}

// MayWrite reports whether running the statement may change data.
func (s *Statement) MayWrite() bool {
	return s.Kind == Write || s.Kind == Execute && s.Writes
}
