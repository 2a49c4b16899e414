package main

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// allowedUnguardedDeletes lists the functions that may delete records without a guard,
// each with the reason.
var allowedUnguardedDeletes = map[string]string{
	"StepDown": "deletes the leader's own key, if its version is unchanged",
	"Clear":    "deletes an unreadable record at an operator's request, if its version is unchanged",
	"endWrite": "moves the record of a job that has ended, if its version is unchanged",
}

// fakeDirs are the directories that contain fakes, which need no guards.
var fakeDirs = []string{
	filepath.Join("internal", "standin"), filepath.Join("internal", "failovertest"), filepath.Join("cmd", "failovertest"),
}

// buildDir is the directory for what builds produce. It is no part of the sources.
const buildDir = "target"

// Guards against actions by a controller that has lost its duty: code outside package
// duty rents and returns machines only through duty.Actions, and every function that
// deletes records either uses a guard or is listed in allowedUnguardedDeletes.
func TestNoUnguardedAction(t *testing.T) {
	const minFunctions = 500 // fewer would mean that WalkDir did not find the sources
	root := filepath.Join("..", "..")
	checked := 0
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if entry != nil && entry.IsDir() && path == filepath.Join(root, buildDir) {
			return filepath.SkipDir
		}
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		name, _ := filepath.Rel(root, path)
		if slices.Contains(fakeDirs, filepath.Dir(name)) {
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		for _, decl := range file.Decls {
			if function, ok := decl.(*ast.FuncDecl); ok && function.Body != nil {
				checked++
				checkFunction(t, name, function)
			}
		}
		return nil
	})
	if err != nil || checked < minFunctions {
		t.Errorf("got %d functions checked, error %v; want at least %d, no error", checked, err, minFunctions)
	}
}

// checkFunction reports a test failure for each unguarded action in a function.
func checkFunction(t *testing.T, path string, function *ast.FuncDecl) {
	t.Helper()
	removes, guarded := false, false
	ast.Inspect(function.Body, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.CallExpr:
			guarded = guarded || addsGuard(n)
			if selector, ok := n.Fun.(*ast.SelectorExpr); ok && bypassesActions(path, selector) {
				t.Errorf("%s: %s: got a direct call of %s, want it through duty.Actions", path, function.Name.Name, selector.Sel.Name)
			}
		case *ast.KeyValueExpr:
			key, ok := n.Key.(*ast.Ident)
			removes = removes || ok && key.Name == "Delete"
		}
		return true
	})
	if removes && !guarded && allowedUnguardedDeletes[function.Name.Name] == "" {
		t.Errorf("%s: %s: got a deletion of records without a guard, want a guard", path, function.Name.Name)
	}
}

// addsGuard reports whether a call adds a guard's conditions to a write (guard.Bind), or
// a transaction's conditions to those of a guard (append(guard, ...)).
func addsGuard(call *ast.CallExpr) bool {
	if selector, ok := call.Fun.(*ast.SelectorExpr); ok {
		return selector.Sel.Name == "Bind" && isIdent(selector.X, "guard")
	}
	return isIdent(call.Fun, "append") && isIdent(call.Args[0], "guard")
}

// bypassesActions reports whether a call in the file at path rents or returns machines
// without going through duty.Actions.
func bypassesActions(path string, selector *ast.SelectorExpr) bool {
	callsProvider := slices.Contains([]string{"Rent", "Return", "RentFenced", "ReturnFenced"}, selector.Sel.Name)
	return callsProvider && filepath.Dir(path) != filepath.Join("internal", "duty") && !isActions(selector.X)
}

// isIdent reports whether an expression is the given identifier.
func isIdent(x ast.Expr, name string) bool {
	ident, ok := x.(*ast.Ident)
	return ok && ident.Name == name
}

// isActions reports whether an expression selects a field named Actions.
func isActions(x ast.Expr) bool {
	selector, ok := x.(*ast.SelectorExpr)
	return ok && selector.Sel.Name == "Actions"
}
