// Package dottersubmission describes what a caller asks for when it submits
// tasks, and the answer.
package dottersubmission
