// Package expertplan decides when to change the expert map of a group and to
// what: it changes little, and only if the step time saved over the expected
// life of the popularity exceeds the cost.
package expertplan
