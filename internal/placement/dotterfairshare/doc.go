// Package dotterfairshare orders teams by how far they are below their share
// of the pool.
//
// It implements dominant-resource fairness on two levels. The key of a partner
// is the dominant share of the room held by all its teams, divided by the
// partner's percentage in the current split. The key of a team is its own
// dominant share divided by its weight. The partner with the lowest key goes
// first, and within it the team with the lowest key. With two levels, room that
// an idle team leaves unused goes first to other teams of the same partner, as
// a split between partners implies. One flat entitlement per team would not
// ensure that.
//
// A Shares is built for each plan from the configuration in force, so that a
// new split takes effect with the next plan and no state has to be converted.
package dotterfairshare
