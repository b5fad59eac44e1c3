// Package quota enforces the rate and burst of each customer across all VMs.
//
// The record in the store divides each customer's rate and burst into equal
// slots, and says which VM holds each. A VM keeps a fraction of its share for
// itself and lends the rest to the VM that owns the customer's pool. When that
// fraction is too small to hold whole tokens, it lends the whole share to one of
// several owners. A request takes a token from the VM's own bucket, or else from
// a pool.
// The sum of all shares never exceeds the limit:
//
//   - A loan refers to a stamp that the owner issued, and the owner counts it
//     for LoanDuration from that stamp, on its own clock. The lender received
//     the stamp later and waits LoanDuration from then before it uses or lends
//     the share again. A delayed message, a cut link or a suspended VM therefore
//     never makes a share count twice.
//   - Buckets start empty, so a restart doesn't admit again what was already
//     spent. Loans of an earlier run count at their owner for up to LoanDuration
//     after the restart.
//   - Tokens taken from a pool expire after grantTTL.
//   - A VM spends its slots only while it has known for less than RightsDuration
//     that the record names it, by a read of the store or because it is in
//     contact with all VMs and none knows a later record. One that restarts
//     waits for a read that began after its start, since an earlier run may have
//     given the slots away.
//   - A VM that gets a slot waits until the former holder is known to know that
//     and its loans have ended, or for TakeoverDelay.
//
// While a customer is short of tokens, requests of more urgent priority classes
// get them first: a less urgent request leaves the tokens that the more urgent
// ones need for a quarter of a second by their measured demand. The number of
// tokens that pass a class over is bounded. A request that a token will reach in
// time waits and asks again; requests that came later do not overtake it.
package quota
