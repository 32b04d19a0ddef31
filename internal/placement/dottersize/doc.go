// Package dottersize learns the sizes and run times of tasks by template.
//
// Declared sizes and run times are often far off. For each template, a Sizes
// keeps the peak use and the run time of recent attempts in bounded histograms
// and estimates with quantiles: a high one for sizes, the median for run times.
// There are two generations of histograms. When the newer one is full, the
// older one is dropped, so that old behaviour is forgotten.
//
// The room to hold is the larger of the declared and the learned size. This
// corrects templates that declare too little; those that declare too much keep
// what they asked for.
package dottersize
