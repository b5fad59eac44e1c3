// Package trail reads the logs of many VMs. It finds the log lines that explain
// the result of one request, and counts failed and late requests by cause.
package trail
