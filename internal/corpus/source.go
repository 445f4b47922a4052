package corpus

import (
	"fmt"
	"go/ast"
	"go/constant"
	"go/parser"
	"go/token"
	"go/types"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
)

// Numbers are the spoken numbers and words of a package, by "group name".
type Numbers map[string]string

// Constants reads a package's constants out of its source: group tells the group of each by its name and type, "" for those
// that are not spoken. So a new one cannot be left out.
func Constants(dir string, group func(name, typ string) string) Numbers {
	fset, files := source(dir)
	conf := types.Config{Error: func(error) {}, IgnoreFuncBodies: true} // what is imported is not needed
	pkg, _ := conf.Check("p", fset, files, nil)
	ns := Numbers{}
	for _, name := range pkg.Scope().Names() {
		c, ok := pkg.Scope().Lookup(name).(*types.Const)
		if !ok || c.Val().Kind() == constant.Unknown {
			continue
		}
		if g := group(name, types.TypeString(c.Type(), func(*types.Package) string { return "" })); g != "" {
			ns[g+" "+name] = c.Val().ExactString()
		}
	}
	return ns
}

// Of returns the names and values of one group, in order of the names.
func (ns Numbers) Of(group string) (names, values []string) {
	for _, k := range slices.Sorted(maps.Keys(ns)) {
		if g, name, _ := strings.Cut(k, " "); g == group {
			names, values = append(names, name), append(values, ns[k])
		}
	}
	return names, values
}

func (ns Numbers) text() string {
	var b strings.Builder
	for _, k := range slices.Sorted(maps.Keys(ns)) {
		fmt.Fprintf(&b, "%s = %s\n", k, ns[k])
	}
	return b.String()
}

// against holds the numbers against a version's: each stands as it stood, and none of a group is given twice.
func (ns Numbers) against(file string) (ps []string) {
	text, err := os.ReadFile(file)
	if err != nil {
		return []string{err.Error()}
	}
	for line := range strings.Lines(string(text)) {
		if k, was, _ := strings.Cut(strings.TrimSpace(line), " = "); ns[k] != was {
			ps = append(ps, fmt.Sprintf("%s: %s was %s and is now %q", file, k, was, ns[k]))
		}
	}
	given := map[string]string{}
	for _, k := range slices.Sorted(maps.Keys(ns)) {
		g, _, _ := strings.Cut(k, " ")
		if other := given[g+" "+ns[k]]; other != "" {
			ps = append(ps, fmt.Sprintf("%s and %s are both %s", other, k, ns[k]))
		}
		given[g+" "+ns[k]] = k
	}
	return ps
}

// unfilled tells which fields and which spoken types of the package in dir no case writes.
func unfilled(dir string, cases []Case) (ps []string) {
	filled := map[string]bool{} // by type and field; of a type alone: it is in a case
	for _, c := range cases {
		fill(reflect.ValueOf(c.Value), filled)
	}
	for _, k := range slices.Sorted(maps.Keys(filled)) {
		if !filled[k] {
			ps = append(ps, k+" is spoken, and no case fills it")
		}
	}
	_, files := source(dir)
	for _, f := range files {
		ast.Inspect(f, func(n ast.Node) bool {
			spec, ok := n.(*ast.TypeSpec)
			if !ok {
				return true
			}
			if s, ok := spec.Type.(*ast.StructType); ok && !filled[spec.Name.Name] && slices.ContainsFunc(s.Fields.List, func(f *ast.Field) bool {
				return f.Tag != nil && strings.Contains(f.Tag.Value, "keyasint")
			}) {
				ps = append(ps, spec.Name.Name+" is spoken, and in no case")
			}
			return true
		})
	}
	return ps
}

func fill(v reflect.Value, filled map[string]bool) {
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		fill(v.Elem(), filled)
	case reflect.Slice:
		for i := 0; v.Type().Elem().Kind() != reflect.Uint8 && i < v.Len(); i++ {
			fill(v.Index(i), filled)
		}
	case reflect.Struct:
		filled[v.Type().Name()] = true
		for i := range v.NumField() {
			if f := v.Type().Field(i); f.IsExported() {
				k := v.Type().Name() + "." + f.Name
				filled[k] = filled[k] || !v.Field(i).IsZero()
				fill(v.Field(i), filled)
			}
		}
	}
}

// source parses a package's files, tests left out.
func source(dir string) (*token.FileSet, []*ast.File) {
	fset := token.NewFileSet()
	var files []*ast.File
	names, _ := filepath.Glob(filepath.Join(dir, "*.go")) // the pattern is a good one
	for _, name := range names {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		if f, err := parser.ParseFile(fset, name, nil, parser.SkipObjectResolution); err == nil {
			files = append(files, f)
		}
	}
	return fset, files
}
