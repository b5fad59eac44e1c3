// Package fields encodes the bodies of messages between VMs whose texts must
// arrive byte for byte.
//
// A body is a sequence of fields without a length of its own. Each field is a
// key (unsigned varint) and a value: a signed varint if the lowest bit of the
// key is 0, or a length (unsigned varint) and that many bytes if it is 1. The
// other bits of the key are the number of the field. A field that is absent has
// its zero value. Receivers ignore fields that they do not know, so a newer
// version may add fields; the number of a removed field must not be used again.
package fields
