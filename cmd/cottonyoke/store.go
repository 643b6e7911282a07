package main

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"

	"mossproxy.example/mossproxy/internal/store"
)

// storeCmd holds the subcommands for a store's directory.
type storeCmd struct {
	Check struct {
		Dir string `arg:"" help:"The store's folder."`
	} `cmd:"" help:"Read all of a store; name each fault by file and offset."`
	Dump struct {
		Dir string `arg:"" help:"The store's folder."`
	} `cmd:"" help:"Write a store as lines of JSON."`
	Stats struct {
		Dir string `arg:"" help:"The store's folder."`
	} `cmd:"" help:"Write a store's figures as JSON."`
	Compact struct {
		Dir     string `arg:"" help:"The store's folder."`
		Salvage bool   `help:"Open a damaged store with what can be read, and keep that alone. Take a copy of the folder first."`
	} `cmd:"" help:"Give back the space that a store does not need. No program may have it open."`
	Backup struct {
		Dir  string `arg:"" help:"The store's folder."`
		File string `arg:"" help:"The backup: a dump, whole and synced or not there at all."`
	} `cmd:"" help:"Back a store up, while it is written or not."`
	Restore struct {
		Dir  string `arg:"" help:"The new store's folder."`
		File string `arg:"" help:"A backup or dump; - is the standard input."`
	} `cmd:"" help:"Make a new store from a backup or dump."`
}

// Help returns the text of store --help.
func (storeCmd) Help() string {
	return `check, dump, stats and backup change nothing and may run while a router has the store open; compact and restore need it
alone. Status 1: a fault, which is printed. docs/operate/store.md says what each error means.

    cottonyoke store check state
    cottonyoke store backup state backup.jsonl && cottonyoke store restore new-state backup.jsonl`
}

// run executes the named subcommand.
func (c *storeCmd) run(name string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	switch name {
	case "check":
		err := store.CheckTo(os.Stdout, c.Check.Dir)
		if errors.Is(err, store.ErrFaults) {
			os.Exit(1) // CheckTo has already printed the faults
		}
		return err
	case "dump":
		return store.DumpTo(os.Stdout, c.Dump.Dir)
	case "stats":
		return store.StatsTo(os.Stdout, c.Stats.Dir)
	case "compact":
		return store.CompactDir(ctx, os.Stdout, c.Compact.Dir, c.Compact.Salvage)
	case "backup":
		return store.BackupTo(c.Backup.Dir, c.Backup.File)
	}
	return store.RestoreFrom(os.Stdout, os.Stdin, c.Restore.Dir, c.Restore.File)
}
