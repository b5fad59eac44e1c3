package siskin

import (
	"context"
	"encoding/json"
)

// ObjectKind is the name of a kind of objects in a Store.
type ObjectKind string

// StoreObject is one object of a Store.
type StoreObject struct {
	Name    string
	Version Version
	Value   json.RawMessage
}

// Listing is a list of objects of one kind.
type Listing struct {
	Objects []StoreObject
	// Version is the version of the store at which the objects were read.
	Version Version
}

// Store is the platform's metadata store with objects by kind and name. One
// version counter covers all objects, so the version of a conditional write is
// larger than that of every earlier write, also if the store has returned from an
// older copy since.
type Store interface {
	// Get returns one object. An error of kind Conflict means that it does not
	// exist.
	Get(ctx context.Context, kind ObjectKind, name string) (StoreObject, error)
	// List returns all objects of a kind.
	List(ctx context.Context, kind ObjectKind) (Listing, error)
	// Changes returns the objects of a kind that changed after a version. An error
	// of kind Conflict means that the store no longer has the changes since that
	// version, has returned from an older copy, or that an object was removed; the
	// caller must call List again.
	Changes(ctx context.Context, kind ObjectKind, after Version) (Listing, error)
	// Create adds an object. An error of kind Conflict means that it exists.
	Create(ctx context.Context, kind ObjectKind, name string, value any) (Version, error)
	// Update replaces an object of the given version. An error of kind Conflict
	// means that it has another version. It may have been replaced nevertheless if
	// the store has returned from an older copy since that version.
	Update(ctx context.Context, kind ObjectKind, name string, value any, ifVersion Version) (Version, error)
}
