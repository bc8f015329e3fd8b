package bench

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"
)

// printTable prints rows in aligned columns under a header.
func (console *console) printTable(header []string, rows [][]string) {
	writer := tabwriter.NewWriter(console.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(writer, strings.Join(header, "\t"))
	for _, row := range rows {
		fmt.Fprintln(writer, strings.Join(row, "\t"))
	}
	// A failed write to standard output cannot be handled.
	_ = writer.Flush()
}

// writeJSON writes a value as indented JSON to a file in a directory.
func writeJSON(directory, name string, value any) error {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	return writeFile(directory, name, append(data, '\n'))
}

func writeFile(directory, name string, data []byte) error {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(directory, name), data, 0o644)
}
