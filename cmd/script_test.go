package cmd_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"wasabihoist/cmd"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"wasabihoist": func() { os.Exit(cmd.Main()) },
	})
}

// Guards against commands whose output, exit code or error place changes for
// the people and scripts that rely on them.
func TestScripts(t *testing.T) {
	examples, err := filepath.Abs("../examples")
	if err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata/script",
		RequireExplicitExec: true,
		Setup: func(env *testscript.Env) error {
			env.Setenv("EXAMPLES", examples)
			return nil
		},
	})
}
