package main

import (
	"encoding/json"
	"fmt"
	"io"

	"burdockseam/core/config"
	"burdockseam/io/folder"
)

// runCheck validates a configuration folder and prints the merged configuration. Its error
// lists all faults of the folder, not only the first.
func runCheck(c *checkCommand, out io.Writer) error {
	files, err := folder.Read(c.Dir)
	if err != nil {
		return err
	}
	cfg, faults := config.Parse(files)
	if len(faults) > 0 {
		return config.FaultsError{Faults: faults}
	}
	if c.JSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(cfg.Settings())
	}
	for _, s := range cfg.Settings() {
		origin := "default"
		if s.Origin.File != "" {
			origin = fmt.Sprintf("%s:%d", s.Origin.File, s.Origin.Line)
		}
		if _, err := fmt.Fprintf(out, "[%s] %s = %s  (%s)\n", s.Section, s.Key, s.Value, origin); err != nil {
			return err
		}
	}
	return nil
}
