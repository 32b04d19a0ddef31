package dotterdocs

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const root = "../../.."

var (
	namedTest    = regexp.MustCompile(`\b(?:Test|Fuzz|Benchmark)[A-Z][A-Za-z0-9]+`)
	declaredTest = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz|Benchmark)[A-Za-z0-9]+)\(`)
)

func TestDocumentedTestsExist(t *testing.T) {
	declared := declaredTests(t)
	pages, err := filepath.Glob(root + "/docs/*.md")
	require.NoError(t, err)
	require.NotEmpty(t, pages)
	for _, p := range pages {
		page, err := os.ReadFile(p)
		require.NoError(t, err)
		for _, name := range namedTest.FindAllString(string(page), -1) {
			assert.True(t, declared[name], "%s names %s, which does not exist", filepath.Base(p), name)
		}
	}
}

func declaredTests(t *testing.T) map[string]bool {
	declared := make(map[string]bool)
	require.NoError(t, filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		for _, m := range declaredTest.FindAllStringSubmatch(string(text), -1) {
			declared[m[1]] = true
		}
		return err
	}))
	return declared
}
