package cmd_test

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"wasabihoist/cmd"
)

const (
	// eventuallyLimit is well above the promised start of urgent work, 9.1 s.
	eventuallyLimit = 30 * time.Second
	eventuallyPause = 100 * time.Millisecond
	requestDeadline = time.Minute
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
	goEnvironment := readGoEnvironment(t)
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata/script",
		RequireExplicitExec: true,
		Setup: func(env *testscript.Env) error {
			env.Setenv("EXAMPLES", examples)
			env.Setenv("DEADLINE", time.Now().Add(requestDeadline).UTC().Format(time.RFC3339))
			for _, name := range []string{"GOCACHE", "GOMODCACHE", "GOFLAGS", "GOPROXY", "GOTOOLCHAIN"} {
				env.Setenv(name, goEnvironment[name])
			}
			env.Setenv("MODULE", filepath.Dir(examples))
			return reserveAddresses(env)
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"expandenv":  expandEnv,
			"eventually": eventually,
			"capture":    capture,
		},
	})
}

// reserveAddresses sets one variable for each listener of the process scenarios to a
// free loopback address.
func reserveAddresses(env *testscript.Env) error {
	for _, name := range []string{"LOG", "WORKER1", "WORKER2", "MINION", "ANNOUNCE", "AGENT", "ENTRY", "CALLERS", "OPERATORS", "METRICS1", "METRICS2", "WORKER3", "WORKER4"} {
		address, err := freePorts.TakeAddress()
		if err != nil {
			return err
		}
		env.Setenv(name, address.String())
	}
	return nil
}

// readGoEnvironment returns the settings with which a scenario builds the
// program, so that it uses the caches of the machine.
func readGoEnvironment(t *testing.T) map[string]string {
	t.Helper()
	output, err := exec.Command("go", "env", "-json").Output()
	if err != nil {
		t.Fatalf("go env: %v", err)
	}
	values := map[string]string{}
	if err := json.Unmarshal(output, &values); err != nil {
		t.Fatalf("go env: %v", err)
	}
	return values
}

// capture sets a variable to what the group of a pattern matches in the last
// standard output.
func capture(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: capture NAME PATTERN")
	}
	pattern, err := regexp.Compile(args[1])
	ts.Check(err)
	match := pattern.FindStringSubmatch(ts.ReadFile("stdout"))
	if len(match) != 2 {
		ts.Fatalf("no match with one group for %q", args[1])
	}
	ts.Setenv(args[0], match[1])
}

// expandEnv replaces ${NAME} in files by the variables of the script.
func expandEnv(ts *testscript.TestScript, neg bool, args []string) {
	if neg {
		ts.Fatalf("expandenv cannot be negated")
	}
	for _, name := range args {
		path := ts.MkAbs(name)
		expanded := os.Expand(ts.ReadFile(name), ts.Getenv)
		ts.Check(os.WriteFile(path, []byte(expanded), 0o600))
	}
}

// eventually runs a wasabihoist command until its output matches a pattern.
func eventually(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: eventually PATTERN COMMAND [ARGUMENT...]")
	}
	pattern, err := regexp.Compile(args[0])
	ts.Check(err)
	binary, err := exec.LookPath("wasabihoist")
	ts.Check(err)
	var output []byte
	for end := time.Now().Add(eventuallyLimit); time.Now().Before(end); time.Sleep(eventuallyPause) {
		command := exec.Command(binary, args[1:]...)
		command.Dir = ts.MkAbs(".")
		for _, name := range []string{"WASABIHOIST_ENTRY", "WASABIHOIST_TOKEN", "WASABIHOIST_OPERATOR", "WASABIHOIST_OPERATOR_TOKEN"} {
			command.Env = append(command.Env, name+"="+ts.Getenv(name))
		}
		output, err = command.CombinedOutput()
		if err == nil && pattern.Match(output) {
			return
		}
	}
	ts.Fatalf("no match for %q after %s; last output:\n%s", args[0], eventuallyLimit, output)
}
