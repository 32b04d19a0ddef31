// Package dotterfairshare orders teams by how far they are below their share
// of the pool.
//
// Shares are two levels of dominant-resource fairness. A partner's key is the
// dominant share of all that its teams hold, over the partner's part of the
// current split; a team's key is its own dominant share over its weight. The
// partner with the lowest key goes first, and within it the team with the
// lowest key. Two levels were chosen over one flat entitlement per team
// because what an idle team leaves then goes to its own partner first, which
// is what a split between partners means.
//
// A Shares is built anew for each plan from the configuration in force, so
// that a new split takes effect at the next plan and nothing has to be
// recomputed when it changes.
package dotterfairshare
