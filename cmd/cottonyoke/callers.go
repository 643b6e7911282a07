package main

import (
	"os"
	"os/user"
	"time"

	"mossproxy.example/mossproxy/internal/check"
	"mossproxy.example/mossproxy/internal/identity"
	"mossproxy.example/mossproxy/internal/keybook"
	"mossproxy.example/mossproxy/internal/pure/caller"
)

// bookFlags holds the flags shared by all commands on the credentials store.
type bookFlags struct {
	State     string `placeholder:"DIR" help:"Folder of the store that has the book; made where there is none."`
	Export    string `placeholder:"FILE" help:"The book file that routers follow, written whole after a change."`
	IfVersion uint64 `placeholder:"N" help:"Change nothing unless the book is of this version."`
	Who       string `placeholder:"NAME" help:"Who changes it, for the audit; the user by default."`
	JSON      bool   `help:"Write JSON."`
}

// keybookTool returns the tool that the flags describe. Who defaults to the name of the current user.
func (f bookFlags) keybookTool() keybook.Tool {
	who := f.Who
	if who == "" {
		who = "unknown"
		if u, err := user.Current(); err == nil {
			who = u.Username
		}
	}
	return keybook.Tool{State: f.State, Export: f.Export, Who: who, IfVersion: f.IfVersion, JSON: f.JSON, Out: os.Stdout}
}

// whenFlag holds the flags for the time at which a key's state change takes effect.
type whenFlag struct {
	At    time.Time     `placeholder:"TIME" help:"When, as 2026-12-01T12:00:00Z; now by default."`
	After time.Duration `placeholder:"24h" help:"So long after that."`
}

// effectiveTime returns At, or the current time if At is unset, plus After.
func (w whenFlag) effectiveTime() time.Time {
	at := w.At
	if at.IsZero() {
		at = time.Now()
	}
	return at.Add(w.After)
}

type stepCmd struct {
	ID string `arg:"" help:"The key."`
	whenFlag
}

// keyCmd holds the subcommands for keys.
type keyCmd struct {
	bookFlags
	Create struct {
		ID     string `arg:"" help:"The key's id: never one that was used before."`
		Caller string `required:"" help:"The caller whose secret it is."`
		Pepper string `required:"" placeholder:"FILE" help:"The pepper that the routers have."`
		whenFlag
	} `cmd:"" help:"Make a secret for a caller and print it, once. It counts from --at on."`
	Import struct {
		File   string `arg:"" help:"A JWKS with public keys alone."`
		Issuer string `required:"" help:"Whose tokens they check."`
		Active bool   `help:"They sign already; else they are announced."`
	} `cmd:"" help:"Add the public keys of an issuer, all or none."`
	List     struct{} `cmd:"" help:"Show the keys, their states and what comes next."`
	Announce stepCmd  `cmd:"" help:"Make a key that does not sign yet known, without a time."`
	Activate stepCmd  `cmd:"" help:"Have a key count from a time on."`
	Retire   struct {
		ID      string        `arg:"" help:"The key."`
		Overlap time.Duration `default:"1h" help:"For which what it signed before still counts."`
		whenFlag
	} `cmd:"" help:"Have a key sign nothing new from a time on, and count no more after the overlap."`
	Revoke  stepCmd  `cmd:"" help:"Have a key count no more: somebody else may have it. There is no way back."`
	Publish struct{} `cmd:"" help:"Write the book file anew: what it says is still in force."`
	Pepper  struct {
		File string `arg:"" help:"The new file; none that is there is changed."`
	} `cmd:"" help:"Draw a pepper for a tier of routers."`
}

// Help returns the text of key --help.
func (keyCmd) Help() string {
	return `Each change is one batch in the store, with a record of who made it; --export then replaces the file that routers follow.

    cottonyoke key --state book --export callers.toml import login.jwks --issuer https://login.example
    cottonyoke key --state book --export callers.toml activate login-2 --after 10m
    cottonyoke key --state book --export callers.toml retire login-1 --overlap 2h
    cottonyoke key --state book --export callers.toml revoke login-1

docs/operate/callers.md goes through a rotation, and through a stolen key at 3 am.`
}

// run executes the named subcommand.
func (c *keyCmd) run(name string) error {
	t := c.keybookTool()
	switch name {
	case "create":
		t.Pepper = c.Create.Pepper
		return t.CreateSecret(c.Create.ID, c.Create.Caller, caller.Lifecycle{Active: float64(c.Create.effectiveTime().UnixMilli())})
	case "import":
		life := caller.Lifecycle{}
		if c.Import.Active {
			life.Active = float64(time.Now().UnixMilli())
		}
		return t.ImportKeys(c.Import.File, c.Import.Issuer, life)
	case "list":
		return t.ListKeys()
	case "announce":
		return t.SetState(c.Announce.ID, "announced", c.Announce.effectiveTime())
	case "activate":
		return t.SetState(c.Activate.ID, "active", c.Activate.effectiveTime())
	case "retire":
		return t.Retire(c.Retire.ID, c.Retire.effectiveTime(), c.Retire.Overlap)
	case "revoke":
		return t.SetState(c.Revoke.ID, "revoked", c.Revoke.effectiveTime())
	case "pepper":
		return identity.NewPepper(c.Pepper.File)
	}
	return t.ExportBook()
}

// callerCmd holds the subcommands for tenants and callers.
type callerCmd struct {
	bookFlags
	Set struct {
		Name        string   `arg:"" help:"The caller."`
		Tenant      string   `required:"" help:"The one tenant that it stands for."`
		Role        []string `help:"Roles of the rights file, in their order."`
		Subject     []string `placeholder:"'ISSUER SUBJECT'" help:"Whose tokens stand for it."`
		Certificate []string `placeholder:"uri:…" help:"Certificates that do: uri:…, dns:… or sha256:…"`
	} `cmd:"" help:"Make a caller, or change one whole."`
	Remove struct {
		Name string `arg:"" help:"The caller."`
	} `cmd:"" help:"End a caller, with its secrets."`
	List   struct{} `cmd:"" help:"Show tenants and callers."`
	Import struct {
		File string `arg:"" help:"A book file."`
	} `cmd:"" help:"Take a book file over into an empty store."`
	Audit struct {
		Above uint64 `help:"Records above this version alone."`
	} `cmd:"" help:"Show who changed what from what to what, a line of JSON each."`
	Tenant  tenantStep `cmd:"" help:"Make a tenant; one of a name that was there before is another one."`
	Suspend tenantStep `cmd:"" help:"Have a tenant's callers not taken."`
	Resume  tenantStep `cmd:"" help:"Have a suspended tenant's callers taken again."`
	Delete  tenantStep `cmd:"" help:"End a tenant, with its callers and their secrets."`
}

type tenantStep struct {
	Name string `arg:"" help:"The tenant."`
}

// run executes the named subcommand.
func (c *callerCmd) run(name string) error {
	t := c.keybookTool()
	change := func(do func(k *keybook.Store) (uint64, error)) error {
		return t.WithStore(func(k *keybook.Store) error {
			_, err := do(k)
			return err
		})
	}
	n := c.IfVersion
	switch name {
	case "set":
		return t.SetCaller(c.Set.Name, c.Set.Tenant, c.Set.Role, c.Set.Subject, c.Set.Certificate)
	case "remove":
		return change(func(k *keybook.Store) (uint64, error) { return k.DeleteCaller(n, c.Remove.Name) })
	case "import":
		return t.ImportBook(c.Import.File)
	case "audit":
		return t.ShowAudit(c.Audit.Above)
	case "tenant":
		return change(func(k *keybook.Store) (uint64, error) { return k.CreateTenant(n, c.Tenant.Name) })
	case "suspend":
		return change(func(k *keybook.Store) (uint64, error) { return k.SuspendTenant(n, c.Suspend.Name, true) })
	case "resume":
		return change(func(k *keybook.Store) (uint64, error) { return k.SuspendTenant(n, c.Resume.Name, false) })
	case "delete":
		return change(func(k *keybook.Store) (uint64, error) { return k.DeleteTenant(n, c.Delete.Name) })
	}
	return t.ListCallers()
}

// rightsCmd holds the subcommands for rights files.
type rightsCmd struct {
	Check struct {
		File   string `arg:"" help:"The rights file."`
		Config string `short:"c" placeholder:"FILE" help:"The configuration whose classes it may name, and whose book its roles are checked with."`
	} `cmd:"" help:"Check a rights file; each fault with line and column."`
	Explain struct {
		File  string    `arg:"" help:"The rights file."`
		Role  []string  `required:"" help:"The caller's roles, in their order."`
		Class string    `required:"" help:"The request's class."`
		Key   string    `required:"" help:"The caller's own key."`
		Write bool      `help:"The request writes."`
		At    time.Time `placeholder:"TIME" help:"When; now by default."`
	} `cmd:"" help:"Say which rule decides a request, and why."`
}

// run executes the named subcommand.
func (c *rightsCmd) run(name string) error {
	good, err := false, error(nil)
	if name == "check" {
		good, err = check.Rights(os.Stdout, c.Check.File, c.Check.Config)
	} else {
		explain := c.Explain
		good, err = check.Explain(os.Stdout, explain.File, check.AccessQuery{Roles: explain.Role, Class: explain.Class, Key: explain.Key, Write: explain.Write, At: explain.At})
	}
	if err == nil && !good {
		os.Exit(1) // check has already printed the faults
	}
	return err
}
