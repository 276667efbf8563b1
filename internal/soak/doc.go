// Package soak runs the real programs as separate processes on loopback under
// random faults and checks what callers and endpoints see. It consists of tests only.
package soak
