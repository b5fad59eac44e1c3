// Package group runs the failover of one group: it watches the targets, detects
// a failed primary, claims and promotes, and confirms commits and read floors.
//
// The decisions are in a state machine without input or output (machine) and in
// the record of confirmations (tracker). Group runs both: it calls the targets
// and feeds the answers back. Safety rests on terms and claims only; clocks and
// ranks decide when to act, never whether an action is safe.
package group
