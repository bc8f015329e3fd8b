package check

import (
	"fmt"
	"os"
	"sync"
	"testing"
	"time"
)

// record is the file record.txt of a case: what was sent, answered and run.
type record struct {
	mutex sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(t *testing.T) *record {
	path := os.Getenv("RECORD")
	if path == "" {
		path = os.DevNull
	}
	file, err := os.Create(path)
	if err != nil {
		giveUp(t, err)
	}
	t.Cleanup(func() { _ = file.Close() })
	return &record{file: file, start: time.Now()}
}

// add writes a line with the time since the start of the case.
func (record *record) add(format string, arguments ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	// A lost line shows in the file itself.
	_, _ = fmt.Fprintf(record.file, "%9.3f  %s\n", time.Since(record.start).Seconds(), fmt.Sprintf(format, arguments...))
}

// note writes a line to the record and to the log of the test.
func (record *record) note(t *testing.T, format string, arguments ...any) {
	t.Helper()
	record.add(format, arguments...)
	t.Logf(format, arguments...)
}
