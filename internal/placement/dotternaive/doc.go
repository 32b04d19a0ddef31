// Package dotternaive provides simple placement policies for comparison.
//
// They check room as the real one does, by declared sizes, and take tasks by
// rank and age. They learn nothing.
package dotternaive
