// Package netem gives in-process experiments the delays and faults of links
// between data centres: a one-way delay, a partition that holds traffic until
// it heals, and connections that go silent for good.
//
// It wraps connections at the dialing side and listens on nothing itself.
package netem
