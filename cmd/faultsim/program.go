package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
)

const (
	gatewayProgram = "merlinjunction"
	gatewayPackage = "merlinjunction/cmd/merlinjunction"
)

// findProgram returns the path of the gateway's program: the named one, the one beside this program, or one that is
// built now from the sources of the working directory's module. cleanUp removes what was built. An error says that the
// named program does not exist, or that none can be built.
func findProgram(named string) (path string, cleanUp func(), err error) {
	nothing := func() {}
	if named != "" {
		if _, err := os.Stat(named); err != nil {
			return "", nothing, fmt.Errorf("--program: %w", err)
		}
		path, err = filepath.Abs(named)
		return path, nothing, err
	}
	if self, err := os.Executable(); err == nil {
		beside := filepath.Join(filepath.Dir(self), gatewayProgram)
		if _, err := os.Stat(beside); err == nil {
			return beside, nothing, nil
		}
	}
	return buildProgram()
}

// buildProgram builds the gateway's program in a temporary folder.
func buildProgram() (path string, cleanUp func(), err error) {
	dir, err := os.MkdirTemp("", "faultsim-program-")
	if err != nil {
		return "", func() {}, err
	}
	cleanUp = func() { _ = os.RemoveAll(dir) } // left in the system's folder for temporary files at worst
	path = filepath.Join(dir, gatewayProgram)
	output, err := exec.Command("go", "build", "-o", path, gatewayPackage).CombinedOutput()
	if err != nil {
		cleanUp()
		return "", func() {}, fmt.Errorf("no program is named or found, and none can be built: %w: %s", err, output)
	}
	return path, cleanUp, nil
}
