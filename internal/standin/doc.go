// Package standin holds small stand-ins for the systems around cicadareel, for
// tests and demos: stores, an instance list, model engines, plain services, groups
// of ranks, callers and networks with faults. It is not part of the product.
package standin
