// Package config defines the configuration documents of services and
// customers. Documents are JSON with Pascal-case names.
package config
