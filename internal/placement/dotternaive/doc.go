// Package dotternaive provides simple placement policies as baselines.
//
// Like package dotterplacer, they place a task only on a worker with room for
// it, but by its declared size. Tasks are placed by rank and age, and nothing is
// learned about templates.
package dotternaive
