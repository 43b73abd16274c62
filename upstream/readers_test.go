package upstream

import (
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// ownReaders are what reads an answer by other rules than those of this package.
var ownReaders = []string{"http.ReadResponse(", "http.Client{", "http.Transport{", "http.Get(", "http.Post(", "fasthttp.Client{", "fasthttp.HostClient{"}

// standIns are the folders of programs that test the product: their callers have readers of their own on purpose.
var standIns = []string{"platform/standin", "platform/soak", "standin", "review", "journal", ".git"}

// Guards against a client with a reader of its own, which a rule for answers in this package does not reach.
func TestAnswersHaveOneReader(t *testing.T) {
	const root, reader = "..", "upstream/conn.go"
	readers := 0
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		name, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		if entry.IsDir() && slices.Contains(standIns, filepath.ToSlash(name)) {
			return fs.SkipDir
		}
		if !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
			return nil
		}
		source, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, own := range ownReaders {
			if !strings.Contains(string(source), own) {
				continue
			}
			if readers++; filepath.ToSlash(name) != reader {
				t.Errorf("%s has %q: use a Transport of package upstream", name, own)
			}
		}
		return nil
	})
	if err != nil || readers != 1 {
		t.Errorf("%d readers, %v", readers, err)
	}
}
