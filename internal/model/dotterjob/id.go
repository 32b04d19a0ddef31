package dotterjob

import (
	"fmt"
	"strconv"
	"strings"
)

// IDLength is the length of an ID in hexadecimal digits.
const IDLength = 16

// ID identifies a job. The caller that submits the job chooses it.
type ID string

// Valid reports whether the ID is IDLength hexadecimal digits.
func (i ID) Valid() bool {
	if len(i) != IDLength {
		return false
	}
	for _, c := range i {
		if !strings.ContainsRune("0123456789abcdefABCDEF", c) {
			return false
		}
	}
	return true
}

// TaskID identifies one task of a job.
type TaskID struct {
	Job        ID
	Occurrence int // 0 if the job runs once
	Step       int
	Index      int
}

// ParseTaskID parses the format of TaskID.String.
func ParseTaskID(text string) (TaskID, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 {
		return TaskID{}, fmt.Errorf("task id %q does not have four parts", text)
	}
	t := TaskID{Job: ID(parts[0])}
	for i, field := range []*int{&t.Occurrence, &t.Step, &t.Index} {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil || n < 0 {
			return TaskID{}, fmt.Errorf("task id %q: %q is not a non-negative integer", text, parts[i+1])
		}
		*field = n
	}
	return t, nil
}

// String returns the job, occurrence, step and index, joined by dots.
func (t TaskID) String() string {
	return string(t.Job) + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}
