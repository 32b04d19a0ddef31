// Package dottergenerator makes open-loop load.
//
// A Stream is a flow of requests of one kind whose arrivals are a Poisson
// process drawn from a fixed seed: they don't wait for earlier answers. A
// Generator runs several streams at a time, bounded in time, count and requests
// outstanding.
package dottergenerator
