// Package sysd runs one VM with the session protocol on the users' platform.
package sysd
