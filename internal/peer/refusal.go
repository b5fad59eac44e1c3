package peer

import (
	"errors"

	"siskintray.example/siskin"
)

// Texts of the errors with which a server refuses a request that it has not run.
// Versions of the program that do not know them take them for errors of the method.
const (
	refusedQueue  = "too many requests run at this VM; retry at another VM"
	refusedMemory = "the request does not fit into the memory of the VM; retry at another VM"
)

// droppedResponse is the text of the error of a response that this VM has no memory
// for.
const droppedResponse = "the response does not fit into the memory of this VM"

// ErrResponseDropped is wrapped by the errors of Call when the method has run and its
// response was dropped for lack of memory.
var ErrResponseDropped = errors.New(droppedResponse)

// remoteError returns the error of a call that the server answered with an error.
func remoteError(vm siskin.VMID, method, text string) error {
	switch text {
	case refusedQueue, refusedMemory:
		return siskin.NewError(siskin.Overloaded, "%s at %s: %s", method, vm, text).WithCause(ErrNotSent)
	case droppedResponse:
		return siskin.NewError(siskin.Overloaded, "%s at %s", method, vm).WithCause(ErrResponseDropped)
	}
	return siskin.NewError(siskin.Internal, "%s at %s: %s", method, vm, text)
}
