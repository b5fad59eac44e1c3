// Package trail reads the logs of many VMs and finds what led to the result of
// one request, and the causes of refusals and late answers.
package trail
