package main

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// testTimeout bounds every wait in these tests; each normally takes a small fraction of it.
const testTimeout = 20 * time.Second

// configJSON returns a minimal valid configuration.
func configJSON(listen, discovery string) string {
	return fmt.Sprintf(`{"name":"n1","listen":%q,"discovery":%q,"seed":"1","settings":{"peers-total":1,`+
		`"limits":{"max-attempts":1,"dial-timeout-us":1000},"classes":[{"name":"a","effect":"safe"}],`+
		`"tiers-of-service":[{"name":"b"}]}}`, listen, discovery)
}

// newConfigFile writes a configuration to a temporary file and returns its path.
func newConfigFile(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}
