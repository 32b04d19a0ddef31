package dotterjob

import (
	"crypto/sha256"
	"encoding/hex"
)

// maxNameBytes is the length up to which labels, racks and images are kept as they are.
const maxNameBytes = 72

// ShortName returns the name, or its digest if it is long. Names of labels, racks and images are
// compared only with each other, so that a digest serves as well and bounds the memory of a job.
func ShortName(name string) string {
	if len(name) <= maxNameBytes {
		return name
	}
	digest := sha256.Sum256([]byte(name))
	return "sha256:" + hex.EncodeToString(digest[:])
}
