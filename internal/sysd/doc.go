// Package sysd runs one VM for the session protocol on the users' platform.
package sysd
