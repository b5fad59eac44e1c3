package peer

import (
	"testing"
	"time"
)

// TestPausedVM guards against a connection that is closed as unresponsive
// without a ping because this VM was paused while a slow handler ran.
func TestPausedVM(t *testing.T) {
	now := time.Unix(1000, 0)
	k := newKeepalive(&Config{KeepaliveTimeout: time.Second, IdleTimeout: time.Minute}, func() time.Time { return now })
	k.sent()
	for _, step := range []struct {
		after time.Duration
		want  action
	}{{3 * time.Second, sendPing}, {400 * time.Millisecond, keepOpen}, {100 * time.Millisecond, closeUnresponsive}} {
		now = now.Add(step.after)
		if got, _ := k.check(); got != step.want {
			t.Errorf("%v later: got action %d, want %d", step.after, got, step.want)
		}
	}
}
