// Package admin serves operators over HTTP with JSON: status, configuration,
// keys, groups, VMs, metrics and the burn report. Client calls it.
//
// A POST needs the content type application/json and every request an IP number
// or "localhost" as its host, so that a web page in an operator's browser cannot
// reach a listener on loopback. Outside loopback the listener needs mutual TLS,
// which internal/cfgini enforces.
package admin
