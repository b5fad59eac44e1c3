package logs

import (
	"sync/atomic"

	"github.com/phuslu/log"
)

// levelFilter drops lines below a level that can change while the logger is in use.
// Logger.SetLevel cannot do this: on amd64 the library reads the level without
// synchronization, which is a data race.
type levelFilter struct {
	level atomic.Uint32
	next  log.Writer
}

// WriteEntry implements log.Writer.
func (w *levelFilter) WriteEntry(e *log.Entry) (int, error) {
	if uint32(e.Level) < w.level.Load() {
		return 0, nil
	}
	return w.next.WriteEntry(e)
}
