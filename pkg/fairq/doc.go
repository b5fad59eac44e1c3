// Package fairq queues requests per customer in front of a bounded number of
// running requests, such as the connections of one slot of a target. A place
// is the right to run one request at a time.
//
// Queues are served by weighted deficit round robin. The cost of a request is
// its measured service time, so a customer with slow statements gets fewer of
// them. Queues are bounded in length and waiting time. A request that cannot
// start early enough for its deadline is refused at once with an error of kind
// siskin.Overloaded and a time to retry.
//
// The decisions are made by an unexported scheduler that reads no clock and
// does not block. Queue adds the lock and the waiting.
package fairq
