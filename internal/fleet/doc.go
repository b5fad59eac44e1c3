// Package fleet runs a whole deployment in one process on loopback: the
// platform's stand-in, groups of targets and VMs, with the sizes and delays of
// a profile. Package trial and the experiments use it.
package fleet
