package logs

import (
	"sync/atomic"

	"github.com/phuslu/log"
)

// levelFilter discards lines below a level that can be changed while the logger
// is in use. Logger.SetLevel is not safe for this: on amd64 the library reads the
// level without synchronization, which is a data race.
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
