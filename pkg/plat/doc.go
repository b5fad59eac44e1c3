// Package plat is the client of the platform: siskin.Platform over HTTP with
// JSON.
//
// Every request, each long poll of a watch included, takes a token from the
// budget of the process and one from the budget of its LimitedClient. Failed
// calls are retried with exponential backoff and full jitter. After several
// consecutive failures a circuit breaker opens: only one call at a time probes
// the platform, so the call rate stays bounded in an outage of any length. All
// other calls then fail at once with kind Unavailable and a time to retry.
//
// A conditional update whose response was lost is retried with the same
// operation id and version. It cannot take effect twice, because the platform's
// response lists the recent operation ids of the object. Hence Put returns
//
//   - the new version, when the update took effect, even if a later writer
//     replaced it since;
//   - Conflict, when the update did not take effect and no longer can;
//   - OutcomeUnknown, when the deadline passed without a response, or when so
//     many later updates followed that the operation id is no longer listed;
//   - Unavailable, Overloaded, TooLarge or BadInput: it did not take effect.
package plat
