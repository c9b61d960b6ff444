package main

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// testTimeout bounds every wait of these tests; none is expected to take a noticeable part of it.
const testTimeout = 20 * time.Second

// configJSON is a configuration with the least that a gateway needs.
func configJSON(listen, discovery string) string {
	return fmt.Sprintf(`{"name":"n1","listen":%q,"discovery":%q,"seed":"1","settings":{"peers-total":1,`+
		`"limits":{"max-attempts":1,"dial-timeout-us":1000},"classes":[{"name":"a","effect":"safe"}],`+
		`"tiers-of-service":[{"name":"b"}]}}`, listen, discovery)
}

// newConfigFile returns the path of a file with a configuration.
func newConfigFile(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}
