package configuration

import (
	"errors"
	"fmt"
	"reflect"
	"sort"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Problem is one fault of a text.
type Problem struct {
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Path    string `json:"path"`
	Message string `json:"message"`
}

// Error implements error.
func (problem Problem) Error() string {
	if problem.Line == 0 {
		return problem.Message
	}
	return fmt.Sprintf("line %d, column %d: %s: %s", problem.Line, problem.Column, problem.Path, problem.Message)
}

// Problems is every fault that was found in a text, in order of position.
type Problems []Problem

// Error implements error.
func (problems Problems) Error() string {
	lines := make([]string, len(problems))
	for index, problem := range problems {
		lines[index] = problem.Error()
	}
	return strings.Join(lines, "\n")
}

// maxText bounds a configuration text, in bytes.
const maxText = 8 << 20

// Parse reads and checks a text. The error is Problems if the text is at
// fault.
func Parse(data []byte) (*Text, error) {
	if len(data) > maxText {
		return nil, Problems{{Message: fmt.Sprintf("text has %d bytes, the limit is %d", len(data), maxText)}}
	}
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		return nil, Problems{syntaxProblem(err)}
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		return nil, Problems{{Message: fmt.Sprintf("text holds %d documents, expected 1", len(file.Docs))}}
	}
	checker := &checker{file: file}
	checker.fields(file.Docs[0].Body, reflect.TypeFor[Text](), "$")
	text := &Text{}
	if err := decode(file.Docs[0].Body, text); err != nil {
		checker.problems = append(checker.problems, syntaxProblem(err))
		return nil, checker.sorted()
	}
	checker.check(text)
	if len(checker.problems) > 0 {
		return nil, checker.sorted()
	}
	text.setDefaults()
	return text, nil
}

// decode fills the model from the text. The YAML library panics on some
// malformed texts; that is one more fault of the text.
func decode(node ast.Node, text *Text) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("text cannot be read: %v", cause)
		}
	}()
	return yaml.NodeToValue(node, text)
}

// syntaxProblem keeps the position of an error of the YAML library.
func syntaxProblem(err error) Problem {
	var positioned yaml.Error
	if !errors.As(err, &positioned) {
		return Problem{Message: err.Error()}
	}
	problem := Problem{Path: "$", Message: positioned.GetMessage()}
	if token := positioned.GetToken(); token != nil && token.Position != nil {
		problem.Line, problem.Column = token.Position.Line, token.Position.Column
	}
	return problem
}

// checker collects the problems of one text.
type checker struct {
	file     *ast.File
	problems Problems
}

func (checker *checker) sorted() Problems {
	sort.SliceStable(checker.problems, func(a, b int) bool {
		first, second := checker.problems[a], checker.problems[b]
		if first.Line != second.Line {
			return first.Line < second.Line
		}
		return first.Column < second.Column
	})
	return checker.problems
}

// fields reports the keys that the type does not have.
func (checker *checker) fields(node ast.Node, kind reflect.Type, path string) {
	switch node := node.(type) {
	case *ast.SequenceNode:
		if kind.Kind() != reflect.Slice {
			return
		}
		for index, value := range node.Values {
			checker.fields(value, kind.Elem(), fmt.Sprintf("%s[%d]", path, index))
		}
	case *ast.MappingNode:
		if kind.Kind() != reflect.Struct {
			return
		}
		for _, value := range node.Values {
			checker.field(value, kind, path)
		}
	case *ast.MappingValueNode:
		if kind.Kind() == reflect.Struct {
			checker.field(node, kind, path)
		}
	}
}

func (checker *checker) field(node *ast.MappingValueNode, kind reflect.Type, path string) {
	name := node.Key.String()
	for index := range kind.NumField() {
		if field := kind.Field(index); field.Tag.Get("yaml") == name {
			checker.fields(node.Value, field.Type, path+"."+name)
			return
		}
	}
	position := node.Key.GetToken().Position
	checker.problems = append(checker.problems, Problem{
		Line: position.Line, Column: position.Column, Path: path + "." + name,
		Message: fmt.Sprintf("field %q does not exist here", name),
	})
}

// report adds a problem at the node that the path names, or at its nearest
// parent that exists.
func (checker *checker) report(path, format string, args ...any) {
	problem := Problem{Path: path, Message: fmt.Sprintf(format, args...)}
	for at := path; at != "$"; at = parentPath(at) {
		pointer, err := yaml.PathString(at)
		if err != nil {
			continue
		}
		node, err := pointer.FilterFile(checker.file)
		if err != nil || node == nil {
			continue
		}
		if position := node.GetToken().Position; position != nil {
			problem.Line, problem.Column = position.Line, position.Column
			break
		}
	}
	checker.problems = append(checker.problems, problem)
}

func parentPath(path string) string {
	cut := strings.LastIndexAny(path, ".[")
	if cut <= 0 {
		return "$"
	}
	return path[:cut]
}
