package fairq_test

import (
	"context"
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"

	"siskintray.example/siskin/pkg/fairq"
)

func Example() {
	clock := clockwork.NewRealClock()
	q := fairq.New(clock, 16)
	grant, err := q.Acquire(context.Background(), "school-a", 1, clock.Now().Add(time.Second))
	if err != nil {
		fmt.Println(err)
		return
	}
	defer grant.Release()
	fmt.Println("running:", q.Stats().Running)
	// Output: running: 1
}
