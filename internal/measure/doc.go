// Package measure measures the costs from which docs/CAPACITY.md is worked
// out, and the policies compared in docs/MEASURES.md. It is never shipped.
package measure
