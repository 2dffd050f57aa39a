// Package folder reads and writes a configuration folder on disk.
package folder

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/zeebo/errs"

	"burdockseam/core/config"
)

// Error is the class of this package's errors.
var Error = errs.Class("folder")

// Read returns the INI files in the folder. It ignores hidden files, files with other
// extensions and subfolders.
func Read(dir string) ([]config.File, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	var files []config.File
	for _, e := range entries {
		if e.IsDir() || strings.HasPrefix(e.Name(), ".") || filepath.Ext(e.Name()) != ".ini" {
			continue
		}
		data, err := os.ReadFile(filepath.Join(dir, e.Name()))
		if err != nil {
			return nil, Error.Wrap(err)
		}
		files = append(files, config.File{Name: e.Name(), Data: data})
	}
	return files, nil
}

// Write writes the files to the folder, which it creates if necessary. Existing files that
// are not in the list are kept.
func Write(dir string, files []config.File) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return Error.Wrap(err)
	}
	for _, f := range files {
		if err := os.WriteFile(filepath.Join(dir, f.Name), f.Data, 0o600); err != nil {
			return Error.Wrap(err)
		}
	}
	return nil
}
