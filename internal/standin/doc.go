// Package standin holds small stand-ins of the systems around cicadareel, for
// tests and the demo: the platform's table, objects and instance list, a
// model engine, a plain service, and a TCP relay. It is never shipped.
package standin
