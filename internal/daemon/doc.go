// Package daemon runs one VM from its settings: the client of the platform,
// membership, configuration, keys, limits, the request path and the operators'
// address.
package daemon
