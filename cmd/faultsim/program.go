package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
)

// findProgram is the gateway's program: the one named, the one beside this program, or one built now from the sources
// below the working directory. clean removes what was built.
func findProgram(named string) (path string, clean func(), err error) {
	clean = func() {}
	if named != "" {
		if _, err := os.Stat(named); err != nil {
			return "", clean, fmt.Errorf("--program: %w", err)
		}
		path, err = filepath.Abs(named)
		return path, clean, err
	}
	if self, err := os.Executable(); err == nil {
		beside := filepath.Join(filepath.Dir(self), "merlinjunction")
		if _, err := os.Stat(beside); err == nil {
			return beside, clean, nil
		}
	}
	dir, err := os.MkdirTemp("", "faultsim-program-")
	if err != nil {
		return "", clean, err
	}
	clean = func() { _ = os.RemoveAll(dir) } // left in the system's folder for temporary files at worst
	path = filepath.Join(dir, "merlinjunction")
	if out, err := exec.Command("go", "build", "-o", path, "merlinjunction/cmd/merlinjunction").CombinedOutput(); err != nil {
		clean()
		return "", func() {}, fmt.Errorf("no program is named or found, and none can be built: %w: %s", err, out)
	}
	return path, clean, nil
}
