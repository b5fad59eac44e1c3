package front

import (
	"crypto/rand"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"siskintray.example/siskin"
)

// VMHash returns the upper 16 bits of the process ids that a VM assigns to its
// sessions.
func VMHash(vm siskin.VMID) uint16 { return uint16(xxhash.Sum64String(string(vm))) }

// requestBase returns the first of a VM's request ids. A random part separates
// the ids of two runs.
func requestBase(vm siskin.VMID) uint64 {
	var b [4]byte
	_, _ = rand.Read(b[:]) // never fails
	return uint64(VMHash(vm))<<48 | uint64(binary.BigEndian.Uint32(b[:]))<<16
}

func newSecret() [4]byte {
	var b [4]byte
	_, _ = rand.Read(b[:]) // never fails
	return b
}
