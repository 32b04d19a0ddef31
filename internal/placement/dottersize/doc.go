// Package dottersize learns how large tasks of a template are and how long
// they run.
//
// Declared sizes and run times are often far off. For each template a Sizes
// keeps the peak use and the run time of the attempts that ended lately, in
// bounded histograms, and answers with quantiles: a high one for room, the
// median for run times. Two generations of histograms are kept and the older
// one is dropped when the newer is full, so that old behaviour is forgotten.
//
// Room to hold is the larger of declared and learned: a template that declares
// too little is corrected, one that declares too much keeps what it asked for.
package dottersize
