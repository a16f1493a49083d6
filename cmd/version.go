package cmd

import (
	"context"
	"runtime"
	"runtime/debug"
)

type versionCommand struct{}

func versionEntry() command {
	return command{
		name:     "version",
		short:    "Show the version of the program",
		long:     "Shows the version, the revision that it was built from and the Go version.",
		examples: []string{"wasabihoist version"},
		runner:   &versionCommand{},
	}
}

// Run implements runner.
func (*versionCommand) Run(_ context.Context, env environment) error {
	version, revision := "unknown", "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
		revision = buildSetting(info, "vcs.revision", revision)
	}
	writeLine(env.stdout, "%s %s revision %s %s %s/%s", program, version, revision, runtime.Version(), runtime.GOOS, runtime.GOARCH)
	return nil
}

func buildSetting(info *debug.BuildInfo, key, fallback string) string {
	for _, s := range info.Settings {
		if s.Key == key {
			return s.Value
		}
	}
	return fallback
}
