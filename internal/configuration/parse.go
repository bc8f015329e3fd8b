package configuration

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"reflect"
	"regexp"
	"sort"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
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
	root, err := document(data)
	if err != nil {
		return nil, Problems{positioned(err.Error())}
	}
	checker := &checker{root: root}
	text := &Text{}
	if err := decode(root, text); err != nil {
		var mistyped *yaml.TypeError
		if !errors.As(err, &mistyped) {
			return nil, Problems{positioned(err.Error())}
		}
		for _, line := range mistyped.Errors {
			checker.problems = append(checker.problems, positioned(line))
		}
	}
	checker.fields(root, reflect.TypeFor[Text](), "$")
	if len(checker.problems) == 0 || !checker.mistyped() {
		checker.check(text)
	}
	if len(checker.problems) > 0 {
		return nil, checker.sorted()
	}
	text.setDefaults()
	return text, nil
}

// document reads the one document of a text.
func document(data []byte) (*yaml.Node, error) {
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	var first, second yaml.Node
	if err := decoder.Decode(&first); errors.Is(err, io.EOF) {
		return nil, errors.New("text holds no document")
	} else if err != nil {
		return nil, err
	}
	if err := decoder.Decode(&second); !errors.Is(err, io.EOF) {
		return nil, errors.New("text holds more than one document")
	}
	if first.Kind != yaml.DocumentNode || len(first.Content) != 1 {
		return nil, errors.New("text holds no document")
	}
	return first.Content[0], nil
}

// decode fills the model from the text. A panic of the YAML library on a
// malformed text is one more fault of the text.
func decode(root *yaml.Node, text *Text) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("text cannot be read: %v", cause)
		}
	}()
	return root.Decode(text)
}

var linePattern = regexp.MustCompile(`^(?:yaml: )?line (\d+): `)

// positioned takes the line out of a message of the YAML library.
func positioned(message string) Problem {
	found := linePattern.FindStringSubmatch(message)
	if found == nil {
		return Problem{Message: strings.TrimPrefix(message, "yaml: ")}
	}
	// The pattern allows digits only.
	line, _ := strconv.Atoi(found[1])
	return Problem{Line: line, Column: 1, Path: "$", Message: message[len(found[0]):]}
}

// checker collects the problems of one text.
type checker struct {
	root     *yaml.Node
	problems Problems
}

// mistyped reports whether a value could not be read, so that the model holds
// only a part of the text.
func (checker *checker) mistyped() bool {
	for _, problem := range checker.problems {
		if problem.Path == "$" {
			return true
		}
	}
	return false
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
func (checker *checker) fields(node *yaml.Node, kind reflect.Type, path string) {
	switch {
	case node.Kind == yaml.AliasNode:
		checker.fields(node.Alias, kind, path)
	case node.Kind == yaml.SequenceNode && kind.Kind() == reflect.Slice:
		for index, value := range node.Content {
			checker.fields(value, kind.Elem(), fmt.Sprintf("%s[%d]", path, index))
		}
	case node.Kind == yaml.MappingNode && kind.Kind() == reflect.Struct:
		for index := 0; index+1 < len(node.Content); index += 2 {
			checker.field(node.Content[index], node.Content[index+1], kind, path)
		}
	}
}

func (checker *checker) field(key, value *yaml.Node, kind reflect.Type, path string) {
	for index := range kind.NumField() {
		if field := kind.Field(index); field.Tag.Get("yaml") == key.Value {
			checker.fields(value, field.Type, path+"."+key.Value)
			return
		}
	}
	checker.problems = append(checker.problems, Problem{
		Line: key.Line, Column: key.Column, Path: path + "." + key.Value,
		Message: fmt.Sprintf("field %q does not exist here", key.Value),
	})
}

// report adds a problem at the node that the path names, or at its nearest
// parent that exists.
func (checker *checker) report(path, format string, args ...any) {
	problem := Problem{Path: path, Message: fmt.Sprintf(format, args...)}
	if node := locate(checker.root, path); node != nil {
		problem.Line, problem.Column = node.Line, node.Column
	}
	checker.problems = append(checker.problems, problem)
}

var stepPattern = regexp.MustCompile(`\.([^.\[]+)|\[(\d+)\]`)

// locate follows a path such as "$.workspaces[3].rate" as far as it exists.
func locate(node *yaml.Node, path string) *yaml.Node {
	for _, step := range stepPattern.FindAllStringSubmatch(path, -1) {
		next := child(node, step[1], step[2])
		if next == nil {
			break
		}
		node = next
	}
	return node
}

// child returns the value of a name in a mapping, or of an index in a sequence.
func child(node *yaml.Node, name, index string) *yaml.Node {
	if node.Kind == yaml.AliasNode {
		node = node.Alias
	}
	if name == "" {
		// The pattern allows digits only.
		if place, _ := strconv.Atoi(index); node.Kind == yaml.SequenceNode && place < len(node.Content) {
			return node.Content[place]
		}
		return nil
	}
	if node.Kind != yaml.MappingNode {
		return nil
	}
	for place := 0; place+1 < len(node.Content); place += 2 {
		if node.Content[place].Value == name {
			return node.Content[place+1]
		}
	}
	return nil
}
