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

// findProgram returns the path of the gateway's program. This is the program at flagPath if that is not empty, else the
// one in the directory of this program, else one that it builds from the module in the working directory. cleanUp removes
// a program that was built. It returns an error if there is no program at flagPath, or if the build fails.
func findProgram(flagPath string) (path string, cleanUp func(), err error) {
	noCleanUp := func() {}
	if flagPath != "" {
		if _, err := os.Stat(flagPath); err != nil {
			return "", noCleanUp, fmt.Errorf("--program: %w", err)
		}
		path, err = filepath.Abs(flagPath)
		return path, noCleanUp, err
	}
	if self, err := os.Executable(); err == nil {
		beside := filepath.Join(filepath.Dir(self), gatewayProgram)
		if _, err := os.Stat(beside); err == nil {
			return beside, noCleanUp, nil
		}
	}
	return buildProgram()
}

// buildProgram builds the gateway's program in a temporary directory.
func buildProgram() (path string, cleanUp func(), err error) {
	dir, err := os.MkdirTemp("", "faultsim-program-")
	if err != nil {
		return "", func() {}, err
	}
	cleanUp = func() { _ = os.RemoveAll(dir) } // on failure the files stay in the system's temporary directory
	path = filepath.Join(dir, gatewayProgram)
	output, err := exec.Command("go", "build", "-o", path, gatewayPackage).CombinedOutput()
	if err != nil {
		cleanUp()
		return "", func() {}, fmt.Errorf("--program is not set, %s is not beside this program, and its build failed: %w: %s",
			gatewayProgram, err, output)
	}
	return path, cleanUp, nil
}
