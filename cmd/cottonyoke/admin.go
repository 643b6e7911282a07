package main

import (
	"os"

	"mossproxy.example/mossproxy/internal/admin"
)

// adminCmd holds the subcommands for the administration API.
type adminCmd struct {
	State string `placeholder:"DIR" help:"Folder of the store, which no router may have open just then."`
	Token struct {
		ID    string `arg:"" help:"The token's name: it stands in the audit."`
		Right string `required:"" help:"read, tenant:NAME or all."`
	} `cmd:"" help:"Make a token and print it, once."`
	Revoke struct {
		ID string `arg:"" help:"The token."`
	} `cmd:"" help:"End a token."`
	Openapi struct{} `cmd:"" help:"Print the API's description (OpenAPI 3.1)."`
}

// Help returns the text of admin --help.
func (adminCmd) Help() string {
	return `    cottonyoke admin --state book token ops --right all
    curl -H "Authorization: Bearer $TOKEN" http://127.0.0.1:8443/v1/tenants

docs/operate/admin-api.md has the calls.`
}

// run executes the named subcommand.
func (c *adminCmd) run(name string) error {
	switch name {
	case "token":
		return admin.CreateToken(os.Stdout, c.State, c.Token.ID, c.Token.Right)
	case "revoke":
		return admin.RevokeToken(c.State, c.Revoke.ID)
	}
	text, err := admin.New(admin.Options{}).OpenAPI()
	if err != nil {
		return err
	}
	_, err = os.Stdout.Write(text)
	return err
}
