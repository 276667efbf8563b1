// Package measure measures the costs that the estimates in docs/CAPACITY.md are
// based on, and compares policies for docs/MEASURES.md. No shipped program uses it.
package measure
