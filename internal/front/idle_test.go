package front

import (
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// TestIdleInsideMessage guards against a session that ends or loses bytes when
// it continues in another goroutine between two parts of a message.
func TestIdleInsideMessage(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 1, nil)
	c := f.vms[0].connectRaw(t, "badges/write")
	for i, split := range []int{0, 3, 7} { // before, inside and after the head
		if a := c.query("select 'a'"); a.code() != "" {
			t.Fatalf("before the pause: got %+v, want success", a)
		}
		b, err := (&pgproto3.Query{String: "select 'b'"}).Encode(nil)
		if err != nil {
			t.Fatal(err)
		}
		for _, part := range [][]byte{b[:split], b[split:]} {
			time.Sleep(goroutineIdleLimit + 300*time.Millisecond)
			if _, err := c.conn.Write(part); err != nil {
				t.Fatal(err)
			}
		}
		if a := c.read(); a.code() != "" || a.status != 'I' {
			t.Errorf("%d, split after %d bytes: got %+v, want success", i, split, a)
		}
	}
}
