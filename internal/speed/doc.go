// Package speed learns how long targets take for statements, and how many
// statements at a time a target takes well.
//
// Times are kept as logarithms, since the times of statements at one target
// differ by factors: two targets that differ by a factor of two then differ by
// the same amount whatever the statement takes, and one statement that takes
// seven times as long moves the estimate little.
package speed
