// Package dottersubmission defines a caller's request for one task.
package dottersubmission
