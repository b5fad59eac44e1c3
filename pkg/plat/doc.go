// Package plat is the client of the platform: siskin.Platform over HTTP with
// JSON.
//
// Every call, a waiting watch included, takes a token of the process's budget
// and of its purpose's budget. Failed calls are repeated with full jitter, and
// after several failures in a row only one call at a time tests whether the
// platform is back, so an outage of any length costs a bounded call rate. All
// other calls then fail at once with kind Unavailable and a time to retry.
//
// A conditional update whose answer was lost is repeated with the same
// operation id and version. It cannot take effect twice, and the platform's
// answer names the recent operation ids of the object. Hence Put returns
//
//   - the new version, when the update took effect, even if a later writer
//     replaced it since;
//   - Conflict, when the update did not and cannot take effect anymore;
//   - OutcomeUnknown, when the deadline passed without an answer, or when so
//     many later updates followed that the operation id is no longer listed;
//   - Unavailable, Overloaded, TooLarge or BadInput: it did not take effect.
package plat
