// Package connlimit bounds the connections that have not shown what they are for.
package connlimit
