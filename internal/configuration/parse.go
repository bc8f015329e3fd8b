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

// Problem is one error in a configuration text.
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

// Problems lists all errors that were found in a text, in order of position.
type Problems []Problem

// Error implements error.
func (problems Problems) Error() string {
	lines := make([]string, len(problems))
	for index, problem := range problems {
		lines[index] = problem.Error()
	}
	return strings.Join(lines, "\n")
}

const maxTextBytes = 8 << 20

// Parse decodes and validates a YAML text and sets the defaults. The error is of
// type Problems if the text is invalid.
func Parse(data []byte) (*Text, error) {
	if len(data) > maxTextBytes {
		return nil, Problems{{Message: fmt.Sprintf("text has %d bytes, the limit is %d", len(data), maxTextBytes)}}
	}
	root, err := parseDocument(data)
	if err != nil {
		return nil, Problems{yamlProblem(err.Error())}
	}
	checker := &checker{root: root}
	text := &Text{}
	if err := decodeText(root, text); err != nil {
		var typeError *yaml.TypeError
		if !errors.As(err, &typeError) {
			return nil, Problems{yamlProblem(err.Error())}
		}
		for _, message := range typeError.Errors {
			checker.problems = append(checker.problems, yamlProblem(message))
		}
	}
	checker.checkFields(root, reflect.TypeFor[Text](), "$")
	if len(checker.problems) == 0 || !checker.hasTypeErrors() {
		checker.check(text)
	}
	if len(checker.problems) > 0 {
		return nil, checker.sortedProblems()
	}
	text.setDefaults()
	return text, nil
}

// parseDocument returns the root node of a text, which must consist of exactly one
// YAML document.
func parseDocument(data []byte) (*yaml.Node, error) {
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

// decodeText decodes the nodes into a Text. The YAML library can panic on malformed
// input, which is returned as an error.
func decodeText(root *yaml.Node, text *Text) (err error) {
	defer func() {
		if recovered := recover(); recovered != nil {
			err = fmt.Errorf("text cannot be read: %v", recovered)
		}
	}()
	return root.Decode(text)
}

var linePattern = regexp.MustCompile(`^(?:yaml: )?line (\d+): `)

// yamlProblem converts an error message of the YAML library, which may start with a
// line number.
func yamlProblem(message string) Problem {
	match := linePattern.FindStringSubmatch(message)
	if match == nil {
		return Problem{Message: strings.TrimPrefix(message, "yaml: ")}
	}
	// The error is ignored because the pattern matches only digits.
	line, _ := strconv.Atoi(match[1])
	return Problem{Line: line, Column: 1, Path: "$", Message: message[len(match[0]):]}
}

// checker collects the problems of one text.
type checker struct {
	root     *yaml.Node
	problems Problems
}

// hasTypeErrors reports whether the YAML library could not decode a value, so that
// the Text is incomplete.
func (checker *checker) hasTypeErrors() bool {
	for _, problem := range checker.problems {
		if problem.Path == "$" {
			return true
		}
	}
	return false
}

// sortedProblems sorts the problems by position and returns them.
func (checker *checker) sortedProblems() Problems {
	sort.SliceStable(checker.problems, func(a, b int) bool {
		first, second := checker.problems[a], checker.problems[b]
		if first.Line != second.Line {
			return first.Line < second.Line
		}
		return first.Column < second.Column
	})
	return checker.problems
}

// checkFields reports mapping keys for which the Go type of the value has no field.
func (checker *checker) checkFields(node *yaml.Node, valueType reflect.Type, path string) {
	switch {
	case node.Kind == yaml.AliasNode:
		checker.checkFields(node.Alias, valueType, path)
	case node.Kind == yaml.SequenceNode && valueType.Kind() == reflect.Slice:
		for index, value := range node.Content {
			checker.checkFields(value, valueType.Elem(), fmt.Sprintf("%s[%d]", path, index))
		}
	case node.Kind == yaml.MappingNode && valueType.Kind() == reflect.Struct:
		for index := 0; index+1 < len(node.Content); index += 2 {
			checker.checkField(node.Content[index], node.Content[index+1], valueType, path)
		}
	}
}

func (checker *checker) checkField(key, value *yaml.Node, valueType reflect.Type, path string) {
	for index := range valueType.NumField() {
		if field := valueType.Field(index); field.Tag.Get("yaml") == key.Value {
			checker.checkFields(value, field.Type, path+"."+key.Value)
			return
		}
	}
	checker.problems = append(checker.problems, Problem{
		Line: key.Line, Column: key.Column, Path: path + "." + key.Value,
		Message: fmt.Sprintf("field %q does not exist here", key.Value),
	})
}

// report adds a problem at the position of the node with the given path, or of its
// nearest existing parent.
func (checker *checker) report(path, format string, args ...any) {
	problem := Problem{Path: path, Message: fmt.Sprintf(format, args...)}
	if node := locate(checker.root, path); node != nil {
		problem.Line, problem.Column = node.Line, node.Column
	}
	checker.problems = append(checker.problems, problem)
}

var stepPattern = regexp.MustCompile(`\.([^.\[]+)|\[(\d+)\]`)

// locate returns the node with a path such as "$.workspaces[3].rate", or its nearest
// existing parent.
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

// child returns the value with the given name in a mapping, or with the given index
// in a sequence if the name is empty. It returns nil if there is none.
func child(node *yaml.Node, name, index string) *yaml.Node {
	if node.Kind == yaml.AliasNode {
		node = node.Alias
	}
	if name == "" {
		// The error is ignored because the pattern matches only digits.
		if position, _ := strconv.Atoi(index); node.Kind == yaml.SequenceNode && position < len(node.Content) {
			return node.Content[position]
		}
		return nil
	}
	if node.Kind != yaml.MappingNode {
		return nil
	}
	for position := 0; position+1 < len(node.Content); position += 2 {
		if node.Content[position].Value == name {
			return node.Content[position+1]
		}
	}
	return nil
}
