// Package daemon runs one VM with its settings. It starts and stops the platform
// client, membership, configuration, keys, rate limits, the request path and the
// HTTP server for operators.
package daemon
