// Package build tells which build of a program runs.
package build

import (
	"bytes"
	"debug/elf"
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
	"sync"
)

// Unversioned is the version of a build without a version of its module.
const Unversioned = "devel"

// Info identifies a build of the running program.
type Info struct {
	// Version is that of the module, or Unversioned.
	Version string
	// ID is the hash of the program's contents that the linker wrote, the last
	// part of what "go tool buildid" shows. It tells apart builds that have no
	// version, and is empty on systems other than Linux and BSD.
	ID string
	// Go is the version of the toolchain.
	Go string
}

// String returns the version, the ID if it is known, and the version of Go.
func (i Info) String() string {
	if i.ID == "" {
		return fmt.Sprintf("%s (%s)", i.Version, i.Go)
	}
	return fmt.Sprintf("%s (build %s, %s)", i.Version, i.ID, i.Go)
}

// Read returns the build of the running program. The first call reads the header
// of the program's file.
var Read = sync.OnceValue(func() Info {
	i := Info{Version: Unversioned, Go: runtime.Version()}
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" && info.Main.Version != "(devel)" {
		i.Version = info.Main.Version
	}
	if path, err := os.Executable(); err == nil {
		i.ID = contentID(path)
	}
	return i
})

const (
	// noteSection holds the build ID in ELF files.
	noteSection = ".note.go.buildid"
	// noteHeader is the size of a note's three lengths and its name, "Go".
	noteHeader = 16
	// maxNote is above the size of each build ID.
	maxNote = 1 << 10
)

// contentID returns the last part of the build ID of the program at path, or ""
// if it has none.
func contentID(path string) string {
	f, err := elf.Open(path)
	if err != nil {
		return ""
	}
	defer f.Close()
	s := f.Section(noteSection)
	if s == nil || s.Size > maxNote {
		return ""
	}
	note, err := s.Data()
	if err != nil || len(note) < noteHeader {
		return ""
	}
	id := note[noteHeader:]
	if n := f.ByteOrder.Uint32(note[4:]); int(n) < len(id) {
		id = id[:n]
	}
	return string(id[bytes.LastIndexByte(id, '/')+1:])
}
