// Package badinput holds tests of what a real peardriftd does with settings it
// can't use and with requests that nobody should send: a typed error, and the
// process serves on or ends before it has announced anything.
package badinput
