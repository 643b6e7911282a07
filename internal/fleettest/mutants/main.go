// Command mutants checks that the tests find faults of one class: answers that are given to the wrong attempt, and the gates around
// attempts. It copies the tree that it is started in once for each mutant, puts one wrong line in, and runs the tests in stages, the
// quick ones first, until one fails. It prints what found each mutant and after how long. It is started by hand, from the root:
//
//	go run ./internal/fleettest/mutants [NAME...]
package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// stage is one run of tests.
type stage struct {
	name string
	args []string // of go
}

var stages = []stage{
	{"unit tests", []string{"test", "-count=1", "./decide", "./internal/sock", "./internal/proto/...", "./internal/backend/...", "./internal/engine", "./internal/member", "./internal/pure/drain"}},
	{"tests of fronts and router", []string{"test", "-count=1", "./internal/front/...", "./internal/router"}},
	{"scripted processes", []string{"test", "-count=1", "./internal/fleettest/soak", "-skip", "Soak"}},
	{"soak", []string{"test", "-count=1", "./internal/fleettest/soak", "-run", "Soak", "-soak.seeds", "5"}},
}

func main() {
	missed := 0
	for _, m := range mutants {
		if len(os.Args) > 1 && !slices.Contains(os.Args[1:], m.Name) {
			continue
		}
		began := time.Now()
		by, err := play(context.Background(), m)
		if err != nil {
			fmt.Fprintf(os.Stderr, "%s: %v\n", m.Name, err)
			os.Exit(1)
		}
		if by == "" {
			missed++
			by = "NOT FOUND"
		}
		fmt.Printf("%-60s %-30s %v\n", m.Name, by, time.Since(began).Round(time.Second))
	}
	if missed > 0 {
		os.Exit(1)
	}
}

// play puts a mutant into a copy of the tree, and returns the stage that finds it, "" if none does.
func play(ctx context.Context, m Mutant) (by string, err error) {
	dir, err := os.MkdirTemp("", "mutant-")
	if err != nil {
		return "", fmt.Errorf("copying the tree: %w", err)
	}
	defer os.RemoveAll(dir)
	if err := copyTree(ctx, dir); err != nil {
		return "", err
	}
	for _, e := range m.Edits {
		if err := e.apply(dir); err != nil {
			return "", err
		}
	}
	build := exec.CommandContext(ctx, "go", "build", "./...")
	build.Dir = dir
	if out, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("the mutant does not build: %w: %s", err, out)
	}
	for _, s := range stages {
		tests := exec.CommandContext(ctx, "go", s.args...)
		tests.Dir = dir
		out, err := tests.CombinedOutput()
		if err != nil {
			return s.name + ": " + firstFailure(string(out)), nil
		}
	}
	return "", nil
}

// copyTree copies the files that git tracks, as they are in the working tree.
func copyTree(ctx context.Context, dir string) error {
	list, err := exec.CommandContext(ctx, "git", "ls-files", "-z", "--", ".", ":!journal").Output()
	if err != nil {
		return fmt.Errorf("listing the tree: %w", err)
	}
	for name := range strings.SplitSeq(strings.TrimSuffix(string(list), "\x00"), "\x00") {
		text, err := os.ReadFile(name)
		if err != nil {
			return fmt.Errorf("copying the tree: %w", err)
		}
		to := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(to), 0o755); err != nil {
			return fmt.Errorf("copying the tree: %w", err)
		}
		if err := os.WriteFile(to, text, 0o644); err != nil {
			return fmt.Errorf("copying the tree: %w", err)
		}
	}
	return nil
}

// firstFailure returns the name of the first test that failed.
func firstFailure(output string) string {
	for line := range strings.Lines(output) {
		if _, name, found := strings.Cut(line, "--- FAIL: "); found {
			name, _, _ = strings.Cut(name, " ")
			return name
		}
	}
	return "no test named"
}
