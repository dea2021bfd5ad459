// Package badinput tests how a real peardriftd handles invalid settings and
// malformed or hostile requests: it returns a typed error and keeps serving or, for
// settings, exits before it has announced itself.
package badinput
