// Package soak runs the real programs as separate processes on loopback under
// random faults and checks what callers and endpoints see. All of it is tests.
package soak
