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

// The engine is internal/policy with all below it, and internal/subset. The tests of this file hold
// it to what the deploy file promises: the same files decide in the simulator and in the gateway, and they
// decide from events alone.

const (
	projectRoot   = "../.."
	maxLineLength = 110
)

var engineFolders = []string{"internal/policy", "internal/subset"}

// engineFiles returns the engine's files that are not tests, by their paths from the project's root.
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
		t.Fatal("the engine has no files")
	}
	return files
}

// listedFiles returns what the deploy file lists as the files that decide.
func listedFiles(t *testing.T) (files []string) {
	t.Helper()
	deploy, err := os.ReadFile(projectRoot + "/deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	list := regexp.MustCompile(`(?m)^policy = \[(.*)\]$`).FindSubmatch(deploy)
	if list == nil {
		t.Fatal("the deploy file lists no policy")
	}
	for _, entry := range strings.Split(string(list[1]), ",") {
		files = append(files, strings.Trim(entry, ` "`))
	}
	return files
}

// TestDeployFileListsTheEngine: every file of the engine is listed as one that decides, and nothing else is.
func TestDeployFileListsTheEngine(t *testing.T) {
	files, listed := engineFiles(t), listedFiles(t)
	for _, file := range files {
		if !slices.Contains(listed, file) {
			t.Errorf("%s is not listed as policy", file)
		}
	}
	for i, file := range listed {
		if !slices.Contains(files, file) {
			t.Errorf("%s is listed as policy and is no file of the engine", file)
		}
		if slices.Contains(listed[:i], file) {
			t.Errorf("%s is listed twice", file)
		}
	}
}

func TestEngineLinesAreShort(t *testing.T) {
	for _, file := range engineFiles(t) {
		text, err := os.ReadFile(filepath.Join(projectRoot, file))
		if err != nil {
			t.Fatal(err)
		}
		for _, line := range bytes.Split(text, []byte("\n")) {
			if n := len([]rune(string(line))); n > maxLineLength {
				t.Errorf("%s: %d characters: %s", file, n, line)
			}
		}
	}
}

// forbiddenImports do input or output, read the clock or wait for other goroutines; so do the packages below
// them.
var forbiddenImports = []string{"os", "net", "net/http", "io", "log", "sync", "syscall", "context", "runtime", "unsafe",
	"math/rand", "crypto/rand"}

// forbiddenNames are the parts of allowed packages that read the clock or wait.
var forbiddenNames = map[string][]string{
	"time": {"Now", "Since", "Until", "Sleep", "After", "AfterFunc", "Tick", "NewTimer", "NewTicker"},
	"fmt":  {"Print", "Printf", "Println", "Scan", "Scanf", "Scanln"},
}

// allowedNames are the parts of a package that may be used where most may not: the functions of math/rand/v2
// draw from a source that all share and nobody can seed.
var allowedNames = map[string][]string{
	"math/rand/v2": {"New", "NewPCG", "Rand", "Source"},
}

// TestEngineDecidesFromEventsAlone: the engine does no input or output, starts no goroutine, reads no clock
// and draws random numbers from seeded sources only.
func TestEngineDecidesFromEventsAlone(t *testing.T) {
	for _, file := range engineFiles(t) {
		for _, fault := range purityFaults(t, file, nil) {
			t.Error(fault)
		}
	}
}

// TestEngineChecksFindFaults holds the check itself to what it must find.
func TestEngineChecksFindFaults(t *testing.T) {
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
		if faults := purityFaults(t, "example.go", []byte("package example; "+source)); len(faults) != 1 {
			t.Errorf("%s: found %q, want one fault", name, faults)
		}
	}
	fine := `package example; import ("math/rand/v2"; "time"); var x, y = rand.New(rand.NewPCG(1, 2)).IntN(3), time.Second`
	if faults := purityFaults(t, "example.go", []byte(fine)); len(faults) != 0 {
		t.Errorf("found %q where nothing is wrong", faults)
	}
}

// purityFaults lists what a file has that the engine must not have. With no source, it reads the file.
func purityFaults(t *testing.T, file string, source []byte) (faults []string) {
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
	f := purityCheck{fset: fset, imported: map[string]string{}}
	for _, spec := range parsed.Imports {
		f.checkImport(spec)
	}
	ast.Inspect(parsed, f.checkNode)
	return f.faults
}

// purityCheck looks through one file.
type purityCheck struct {
	fset     *token.FileSet
	imported map[string]string // path of the package by its name in the file
	faults   []string
}

func (c *purityCheck) report(at token.Pos, what string) {
	c.faults = append(c.faults, c.fset.Position(at).String()+": "+what)
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

// checkNode looks at one node of the file, and always goes on to those below it.
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

// packageName is the name of an imported package, by its path; a last part like "v2" is its version.
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
