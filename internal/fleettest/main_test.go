package fleettest

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
)

// buildRootOnce creates a directory with the layout of the repository's root that contains the deploy file and the built
// program. It does so at the first call only.
var buildRootOnce = sync.OnceValues(func() (string, error) {
	root, err := os.MkdirTemp("", "built-")
	if err != nil {
		return "", err
	}
	text, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		return root, err
	}
	if err := writeDeployFile(root, string(text)); err != nil {
		return root, err
	}
	build := exec.Command("go", "build", "-o", filepath.Join(root, "bin")+"/", "bellwood/cmd/bellwood")
	if out, err := build.CombinedOutput(); err != nil {
		return root, fmt.Errorf("%w: %s", err, out)
	}
	return root, nil
})

// writeDeployFile writes deploy/balancer.toml under a root directory.
func writeDeployFile(root, text string) error {
	if err := os.Mkdir(filepath.Join(root, "deploy"), 0o700); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(root, "deploy", "balancer.toml"), []byte(text), 0o600)
}

// buildRoot returns a directory from which gateways can be started; see buildRootOnce.
func buildRoot(t *testing.T) string {
	t.Helper()
	root, err := buildRootOnce()
	if err != nil {
		t.Fatal(err)
	}
	return root
}

func TestMain(m *testing.M) {
	code := m.Run()
	if root, _ := buildRootOnce(); root != "" {
		os.RemoveAll(root)
	}
	os.Exit(code)
}
