package bench

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"
)

// table prints rows under a header.
func (tool *tool) table(header []string, rows [][]string) {
	writer := tabwriter.NewWriter(tool.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(writer, strings.Join(header, "\t"))
	for _, row := range rows {
		fmt.Fprintln(writer, strings.Join(row, "\t"))
	}
	// Errors of the terminal have no remedy.
	_ = writer.Flush()
}

// writeJSON stores a result in a folder.
func writeJSON(folder, name string, value any) error {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	return writeFile(folder, name, append(data, '\n'))
}

func writeFile(folder, name string, data []byte) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(folder, name), data, 0o644)
}
