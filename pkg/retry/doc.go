// Package retry decides whether a failed request may be retried, and limits the
// load that retries add. It does no input or output.
package retry
