package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, one line each, and collects what broke a rule.
type record struct {
	mu     sync.Mutex
	file   *os.File
	out    *bufio.Writer
	began  time.Time
	broken []string
	counts map[string]int
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, out: bufio.NewWriter(file), began: time.Now(), counts: make(map[string]int)}, nil
}

func (r *record) write(line string) {
	fmt.Fprintf(r.out, "%9.3f %s\n", time.Since(r.began).Seconds(), line)
}

// note writes one line.
func (r *record) note(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(fmt.Sprintf(format, values...))
}

// count counts one outcome for the summary.
func (r *record) count(what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[what]++
}

// breaks writes a line that shows a broken rule.
func (r *record) breaks(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf(format, values...)
	r.broken = append(r.broken, line)
	r.write("BROKEN " + line)
}

// close writes the summary and returns the exit code of the script.
func (r *record) close() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for what, n := range r.counts {
		r.write(fmt.Sprintf("total %s: %d", what, n))
		fmt.Printf("%s: %d\n", what, n)
	}
	r.write(fmt.Sprintf("rules broken: %d times", len(r.broken)))
	fmt.Printf("rules broken: %d times\n", len(r.broken))
	for i, line := range r.broken {
		if i == 5 {
			break
		}
		fmt.Println("  " + line)
	}
	_ = r.out.Flush()
	_ = r.file.Close()
	if len(r.broken) > 0 {
		return 1
	}
	return 0
}
