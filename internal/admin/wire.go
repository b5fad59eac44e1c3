package admin

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
)

// maxBody is the largest body of a request. Changes are the largest.
const maxBody = int64(config.MaxChangeSize) + 4096

// wireError is the JSON form of an error.
type wireError struct {
	Kind       string
	Message    string
	Remedy     string          `json:",omitempty"`
	RetryAfter config.Duration `json:",omitempty"`
	Findings   config.Findings `json:",omitempty"`
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	_ = e.Encode(v) // the reader went away
}

func writeError(w http.ResponseWriter, err error) {
	var invalid *config.InvalidError
	if errors.As(err, &invalid) {
		kind := siskin.KindOf(err)
		writeJSON(w, httpStatus(kind), wireError{Kind: kind.String(), Message: "the change has findings", Remedy: "correct them and send the change again", Findings: invalid.Findings})
		return
	}
	we := wireError{Kind: siskin.KindOf(err).String(), Message: err.Error()}
	var e *siskin.Error
	if errors.As(err, &e) {
		we.Remedy, we.RetryAfter = e.Remedy, config.Duration(e.RetryAfter)
		bare := *e
		bare.Remedy = ""
		we.Message = bare.Error()
	}
	writeJSON(w, httpStatus(siskin.KindOf(err)), we)
}

func httpStatus(k siskin.ErrorKind) int {
	switch k {
	case siskin.BadInput, siskin.BadToken:
		return http.StatusBadRequest
	case siskin.UnknownRoute:
		return http.StatusNotFound
	case siskin.Conflict:
		return http.StatusConflict
	case siskin.TooLarge:
		return http.StatusRequestEntityTooLarge
	case siskin.Unsupported:
		return http.StatusNotImplemented
	case siskin.Overloaded, siskin.Unavailable, siskin.NotRun, siskin.RateExceeded:
		return http.StatusServiceUnavailable
	default:
		return http.StatusInternalServerError
	}
}

// toError rebuilds the error that a server sent.
func (we *wireError) toError() error {
	if len(we.Findings) > 0 {
		return we.Findings.Err()
	}
	return siskin.NewError(kindNamed(we.Kind), "%s", we.Message).WithRemedy(we.Remedy).WithRetryAfter(time.Duration(we.RetryAfter))
}

func kindNamed(name string) siskin.ErrorKind {
	for k := siskin.Internal; k <= siskin.TargetRefused; k++ {
		if k.String() == name {
			return k
		}
	}
	return siskin.Internal
}

// readBody returns the body of a request within its bound.
func readBody(r *http.Request) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxBody+1))
	if err != nil {
		return nil, siskin.NewError(siskin.BadInput, "body cannot be read").WithCause(err).WithRemedy("send it again")
	}
	if int64(len(data)) > maxBody {
		return nil, siskin.NewError(siskin.TooLarge, "body is larger than %d bytes", maxBody).WithRemedy("split the change")
	}
	return data, nil
}

// readJSON decodes the body of a request; unknown fields are refused.
func readJSON(r *http.Request, v any) error {
	d := json.NewDecoder(http.MaxBytesReader(nil, r.Body, 64<<10))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return siskin.NewError(siskin.BadInput, "body is not the expected JSON").WithCause(err).WithRemedy("use the names that docs/CLI.md lists")
	}
	return nil
}
