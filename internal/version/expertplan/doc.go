// Package expertplan plans which experts each rank of a group holds. The
// popularity of an expert is its share of the tokens of its layer. Planner
// changes a map only if the step time saved while the popularity is expected to
// last exceeds the cost of the change; Rebalance moves load off the most loaded
// ranks within given limits.
package expertplan
