package retry_test

import (
	"fmt"
	"time"

	"siskintray.example/siskin/pkg/config"
	"siskintray.example/siskin/pkg/retry"
)

func Example() {
	now := time.Unix(0, 0)
	a := retry.Attempt{Outcome: retry.Unsent, Mode: config.WriteRoute, Replayable: true, Now: now, Deadline: now.Add(time.Second)}
	fmt.Println(retry.Decide(a) == retry.Retry)
	a.Outcome = retry.Unknown
	fmt.Println(retry.Decide(a) == retry.RefuseUnknown)
	// Output:
	// true
	// true
}
