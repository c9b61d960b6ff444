package policy

import (
	"bytes"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// The engine consists of internal/policy with all packages below it, and internal/subset. These tests
// enforce the guarantees of the deploy file: the same files make the decisions in the simulator and in the
// gateway, and they decide from events alone.

const (
	projectRoot   = "../.."
	maxLineLength = 110
)

var engineFolders = []string{"internal/policy", "internal/subset"}

// engineFiles returns the engine's non-test files, as paths relative to the project's root.
func engineFiles(t *testing.T) (files []string) {
	t.Helper()
	for _, folder := range engineFolders {
		err := filepath.WalkDir(filepath.Join(projectRoot, folder), func(file string, _ fs.DirEntry, err error) error {
			if err != nil {
				return err
			}
			if strings.HasSuffix(file, ".go") && !strings.HasSuffix(file, "_test.go") {
				fromRoot, err := filepath.Rel(projectRoot, file)
				if err != nil {
					return err
				}
				files = append(files, filepath.ToSlash(fromRoot))
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	if len(files) == 0 {
		t.Fatal("found no files of the engine")
	}
	return files
}

// listedFiles returns the files that the deploy file lists as policy.
func listedFiles(t *testing.T) (files []string) {
	t.Helper()
	deploy, err := os.ReadFile(projectRoot + "/deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	list := regexp.MustCompile(`(?m)^policy = \[(.*)\]$`).FindSubmatch(deploy)
	if list == nil {
		t.Fatal("the deploy file has no policy list")
	}
	for _, entry := range strings.Split(string(list[1]), ",") {
		files = append(files, strings.Trim(entry, ` "`))
	}
	return files
}

// Every file of the engine is listed as policy in the deploy file, and no other file is.
func TestDeployFileListsExactlyTheEngineFiles(t *testing.T) {
	files, listed := engineFiles(t), listedFiles(t)
	for _, file := range files {
		if !slices.Contains(listed, file) {
			t.Errorf("%s is not listed as policy", file)
		}
	}
	for i, file := range listed {
		if !slices.Contains(files, file) {
			t.Errorf("%s is listed as policy but is not a file of the engine", file)
		}
		if slices.Contains(listed[:i], file) {
			t.Errorf("%s is listed twice", file)
		}
	}
}

func TestEngineLinesAreWithinMaximumLength(t *testing.T) {
	for _, file := range engineFiles(t) {
		text, err := os.ReadFile(filepath.Join(projectRoot, file))
		if err != nil {
			t.Fatal(err)
		}
		for _, line := range bytes.Split(text, []byte("\n")) {
			if n := len([]rune(string(line))); n > maxLineLength {
				t.Errorf("%s: line of %d characters, at most %d allowed: %s", file, n, maxLineLength, line)
			}
		}
	}
}

// forbiddenImports lists packages that do input or output, read the clock or wait for other goroutines.
// The packages below them are forbidden too.
var forbiddenImports = []string{"os", "net", "net/http", "io", "log", "sync", "syscall", "context", "runtime", "unsafe",
	"math/rand", "crypto/rand"}

// forbiddenNames lists the identifiers of otherwise allowed packages that read the clock or wait.
var forbiddenNames = map[string][]string{
	"time": {"Now", "Since", "Until", "Sleep", "After", "AfterFunc", "Tick", "NewTimer", "NewTicker"},
	"fmt":  {"Print", "Printf", "Println", "Scan", "Scanf", "Scanln"},
}

// allowedNames lists, for packages where most identifiers are forbidden, those that may be used. The
// top-level functions of math/rand/v2 draw from a shared source that can't be seeded.
var allowedNames = map[string][]string{
	"math/rand/v2": {"New", "NewPCG", "Rand", "Source"},
}

// The engine does no input or output, starts no goroutine, reads no clock and draws random numbers only
// from seeded sources.
func TestEngineDecidesFromEventsAlone(t *testing.T) {
	for _, file := range engineFiles(t) {
		for _, violation := range purityViolations(t, file, nil) {
			t.Error(violation)
		}
	}
}

// The purity check itself must find each kind of violation.
func TestPurityCheckFindsViolations(t *testing.T) {
	for name, source := range map[string]string{
		"import of os":          `import "os"; var x = os.Args`,
		"import of net/http":    `import "net/http"; var x http.Header`,
		"import below log":      `import "log/slog"; var x slog.Attr`,
		"import below sync":     `import "sync/atomic"; var x atomic.Int32`,
		"import without a name": `import . "time"; var x = Now()`,
		"go statement":          `func f() { go f() }`,
		"clock":                 `import "time"; var x = time.Now()`,
		"renamed clock":         `import clock "time"; var x = clock.Since`,
		"wait":                  `import "time"; func f() { time.Sleep(1) }`,
		"timer":                 `import "time"; var x = time.After(1)`,
		"shared random source":  `import "math/rand/v2"; var x = rand.IntN(3)`,
	} {
		if violations := purityViolations(t, "example.go", []byte("package example; "+source)); len(violations) != 1 {
			t.Errorf("%s: found %q, want one violation", name, violations)
		}
	}
	fine := `package example; import ("math/rand/v2"; "time"); var x, y = rand.New(rand.NewPCG(1, 2)).IntN(3), time.Second`
	if violations := purityViolations(t, "example.go", []byte(fine)); len(violations) != 0 {
		t.Errorf("found %q in a valid file", violations)
	}
}

// purityViolations returns what a file contains that the engine must not contain. If source is nil, it
// reads the file.
func purityViolations(t *testing.T, file string, source []byte) (violations []string) {
	t.Helper()
	if source == nil {
		text, err := os.ReadFile(filepath.Join(projectRoot, file))
		if err != nil {
			t.Fatal(err)
		}
		source = text
	}
	fset := token.NewFileSet()
	parsed, err := parser.ParseFile(fset, file, source, parser.SkipObjectResolution)
	if err != nil {
		t.Fatal(err)
	}
	check := purityCheck{fset: fset, imported: map[string]string{}}
	for _, spec := range parsed.Imports {
		check.checkImport(spec)
	}
	ast.Inspect(parsed, check.checkNode)
	return check.violations
}

// purityCheck collects the violations of one file.
type purityCheck struct {
	fset       *token.FileSet
	imported   map[string]string // package path by the package's name in the file
	violations []string
}

func (c *purityCheck) report(at token.Pos, what string) {
	c.violations = append(c.violations, c.fset.Position(at).String()+": "+what)
}

func (c *purityCheck) checkImport(spec *ast.ImportSpec) {
	from := strings.Trim(spec.Path.Value, `"`)
	if isForbiddenImport(from) {
		c.report(spec.Pos(), "import of "+from)
		return
	}
	name := packageName(from)
	if spec.Name != nil {
		name = spec.Name.Name
	}
	if name == "." {
		c.report(spec.Pos(), "import of "+from+" without a name")
	}
	c.imported[name] = from
}

// checkNode checks one node of the file. It always returns true, so that the nodes below it are visited.
func (c *purityCheck) checkNode(node ast.Node) bool {
	switch node := node.(type) {
	case *ast.GoStmt:
		c.report(node.Pos(), "go statement")
	case *ast.SelectorExpr:
		if pkg, ok := node.X.(*ast.Ident); ok && isForbiddenName(c.imported[pkg.Name], node.Sel.Name) {
			c.report(node.Pos(), c.imported[pkg.Name]+"."+node.Sel.Name)
		}
	}
	return true
}

// packageName returns the default name of the package with the given path. It skips a version suffix
// such as "v2".
func packageName(from string) string {
	if base := path.Base(from); !regexp.MustCompile(`^v[0-9]+$`).MatchString(base) {
		return base
	}
	return path.Base(path.Dir(from))
}

func isForbiddenImport(from string) bool {
	return from != "math/rand/v2" && slices.ContainsFunc(forbiddenImports, func(forbidden string) bool {
		return from == forbidden || strings.HasPrefix(from, forbidden+"/")
	})
}

func isForbiddenName(from, name string) bool {
	if allowed, ok := allowedNames[from]; ok {
		return !slices.Contains(allowed, name)
	}
	return slices.Contains(forbiddenNames[from], name)
}
