// Package retry decides whether a failed request may be sent again, and bounds
// the load that repetitions add. The decisions have no input or output of
// their own.
package retry
