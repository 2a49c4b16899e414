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

// functionsWithoutGuard are the functions that remove records under no guard, and why
// they may.
var functionsWithoutGuard = map[string]string{
	"StepDown": "removes the leader's own key, on the condition of its version",
	"Clear":    "removes an unreadable record, at an operator's request, on the condition of its version",
	"endWrite": "moves the record of a job that has ended, on the condition of its version",
}

// directoriesOfStandIns hold test doubles, which need no guards.
var directoriesOfStandIns = []string{
	filepath.Join("internal", "standin"), filepath.Join("internal", "failovertest"), filepath.Join("cmd", "failovertest"),
}

// Guards against actions of a controller that has lost its duty: no code outside
// package duty rents or returns machines except by duty.Actions, and whoever removes
// records does so under a guard or is listed in functionsWithoutGuard.
func TestNoUnguardedAction(t *testing.T) {
	const leastFunctions = 500 // fewer would mean that the walk has missed the sources
	root := filepath.Join("..", "..")
	checked := 0
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		name, _ := filepath.Rel(root, path)
		if slices.Contains(directoriesOfStandIns, filepath.Dir(name)) {
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
	if err != nil || checked < leastFunctions {
		t.Errorf("got %d functions checked and error %v, want at least %d and none", checked, err, leastFunctions)
	}
}

// checkFunction reports the unguarded actions of a function.
func checkFunction(t *testing.T, path string, function *ast.FuncDecl) {
	t.Helper()
	removes, guarded := false, false
	ast.Inspect(function.Body, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.CallExpr:
			guarded = guarded || addsGuard(n)
			if selector, ok := n.Fun.(*ast.SelectorExpr); ok && bypassesActions(path, selector) {
				t.Errorf("%s: %s: got a call of %s, want it to go through duty.Actions", path, function.Name.Name, selector.Sel.Name)
			}
		case *ast.KeyValueExpr:
			key, ok := n.Key.(*ast.Ident)
			removes = removes || ok && key.Name == "Delete"
		}
		return true
	})
	if removes && !guarded && functionsWithoutGuard[function.Name.Name] == "" {
		t.Errorf("%s: %s: got a removal of records without a guard, want one", path, function.Name.Name)
	}
}

// addsGuard reports whether a call binds a write to a guard, or adds a transaction's
// conditions to those of a guard.
func addsGuard(call *ast.CallExpr) bool {
	if selector, ok := call.Fun.(*ast.SelectorExpr); ok {
		return selector.Sel.Name == "Bind" && isIdent(selector.X, "guard")
	}
	return isIdent(call.Fun, "append") && isIdent(call.Args[0], "guard")
}

// bypassesActions reports whether a called function rents or returns machines past
// duty.Actions.
func bypassesActions(path string, called *ast.SelectorExpr) bool {
	provider := slices.Contains([]string{"Rent", "Return", "RentFenced", "ReturnFenced"}, called.Sel.Name)
	return provider && filepath.Dir(path) != filepath.Join("internal", "duty") && !isActions(called.X)
}

// isIdent reports whether an expression is an identifier of a name.
func isIdent(x ast.Expr, name string) bool {
	ident, ok := x.(*ast.Ident)
	return ok && ident.Name == name
}

// isActions reports whether an expression ends in the field Actions.
func isActions(x ast.Expr) bool {
	selector, ok := x.(*ast.SelectorExpr)
	return ok && selector.Sel.Name == "Actions"
}
