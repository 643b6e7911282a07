// Package admin implements the administration API: HTTP and JSON on a listener of its own, for managing
// tenants without editing files on each router. Every change is one batch in the store, conditional on the
// version that the administrator has read, and is answered when it is in force on all engines of this
// router.
package admin

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"

	"mossproxy.example/mossproxy/internal/keybook"
	"mossproxy.example/mossproxy/internal/pure/tenant"
	"mossproxy.example/mossproxy/internal/store"
)

// Options configures an API.
type Options struct {
	Keeper *keybook.Store
	Tokens *Tokens
	// Publish distributes the stored credentials to the routers and waits until the version is in force here
	// or ctx ends.
	Publish func(ctx context.Context, version uint64) error
	// Usage returns the requests of a tenant at this router in the last hour, by minute.
	Usage func(name string, generation uint32) []tenant.Minute
	// InFlight returns how many accepted requests of a tenant are unanswered at this router. The generation
	// distinguishes tenants that reuse a name.
	InFlight func(name string, generation uint32) int
	// Names returns the names in the configuration in force.
	Names func() keybook.Names
	Log   *slog.Logger
}

// Limits and timeouts of the API; sizes in bytes.
const (
	maxPageSize    = 1000
	maxBodyBytes   = 64 << 10
	publishTimeout = 3 * time.Second // for a change to be in force
	headerTimeout  = 5 * time.Second
	idleTimeout    = time.Minute
)

// API is the administration API.
type API struct {
	opts Options
	mux  *http.ServeMux
	huma huma.API
}

// New returns an API with all operations registered.
func New(o Options) *API {
	a := &API{opts: o, mux: http.NewServeMux()}
	cfg := huma.DefaultConfig("cottonyoke administration", "1.0.0")
	cfg.DocsPath, cfg.SchemasPath, cfg.CreateHooks = "", "", nil
	cfg.Components.SecuritySchemes = map[string]*huma.SecurityScheme{"token": {Type: "http", Scheme: "bearer"}}
	cfg.Security = []map[string][]string{{"token": {}}}
	a.huma = humago.New(a.mux, cfg)
	a.huma.UseMiddleware(a.authorize)
	a.registerOperations()
	return a
}

// OpenAPI returns the OpenAPI 3.1 description in YAML. It is generated from the handlers, so it always
// matches them.
func (a *API) OpenAPI() ([]byte, error) { return a.huma.OpenAPI().YAML() }

// Serve serves the API on ln until ctx ends, then waits for the calls in progress.
func (a *API) Serve(ctx context.Context, ln net.Listener) error {
	callCtx, cancelCalls := context.WithCancel(context.WithoutCancel(ctx)) // parent of all calls: ends watches; changes continue
	defer cancelCalls()
	srv := &http.Server{Handler: http.MaxBytesHandler(a.mux, maxBodyBytes), BaseContext: func(net.Listener) context.Context { return callCtx }, ReadHeaderTimeout: headerTimeout, ReadTimeout: 2 * headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: 16 << 10,
		ErrorLog: slog.NewLogLogger(a.opts.Log.Handler(), slog.LevelWarn)}
	serveErr := make(chan error, 1)
	go func() { serveErr <- srv.Serve(ln) }()
	select {
	case err := <-serveErr:
		return fmt.Errorf("administration: %w", err)
	case <-ctx.Done():
	}
	cancelCalls()
	shutdownCtx, cancel := context.WithTimeout(context.Background(), 2*publishTimeout)
	defer cancel()
	err := srv.Shutdown(shutdownCtx)
	if err != nil {
		srv.Close() //nolint:errcheck // best-effort close of the remaining connections
	}
	<-serveErr
	return err
}

// Limits are the limits of a tenant over the whole service.
type Limits struct {
	Floor  float64 `json:"floor_per_s,omitempty" minimum:"0" doc:"Requests a second that it always gets while it asks."`
	Weight float64 `json:"weight,omitempty" minimum:"0" doc:"Its part of what others leave; 0 counts as 1."`
	Burst  float64 `json:"burst_s,omitempty" minimum:"0" maximum:"60" doc:"Seconds of floor and hard rates that may be saved up; 0 counts as 1."`
	Most   float64 `json:"most_per_s,omitempty" minimum:"0" doc:"Requests a second, not below the floor; 0 = no such limit."`
	Open   int     `json:"open,omitempty" minimum:"0" doc:"Requests at once; 0 = no such limit."`
	Bytes  int64   `json:"bytes,omitempty" minimum:"0" doc:"Bytes of requests in hand and of answers not taken yet; 0 = no such limit."`
	Conns  int     `json:"connections,omitempty" minimum:"0" doc:"Connections of its clients; 0 = no such limit."`

	Classes []ClassLimits `json:"classes,omitempty" maxItems:"64" doc:"Limits on requests of one class, beside those on all."`
}

// ClassLimits are the limits on a tenant's requests of one class.
type ClassLimits struct {
	Class string  `json:"class" doc:"One of the configuration's."`
	Most  float64 `json:"most_per_s,omitempty" minimum:"0" doc:"Requests a second; 0 = no such limit."`
	Open  int     `json:"open,omitempty" minimum:"0" doc:"Requests at once; 0 = no such limit."`
}

// Spec is the part of a tenant that an administrator sets.
type Spec struct {
	Suspended bool     `json:"suspended,omitempty" doc:"Nothing of it is taken."`
	Pools     []string `json:"pools,omitempty" maxItems:"64" doc:"The pools that it may use; missing = all."`
	Limits    Limits   `json:"limits,omitempty"`
}

// toTerms converts the spec to the form in the credentials store.
func (s *Spec) toTerms() keybook.Terms {
	l := s.Limits
	t := keybook.Terms{Limits: tenant.Limits{Floor: l.Floor, Weight: l.Weight, Burst: l.Burst, Most: l.Most, Open: l.Open, Bytes: l.Bytes, Conns: l.Conns}, Pools: s.Pools}
	for _, c := range l.Classes {
		t.ByClass = append(t.ByClass, keybook.ClassTerms{Class: c.Class, ClassLimits: tenant.ClassLimits{Most: c.Most, Open: c.Open}})
	}
	return t
}

// Tenant is the API's representation of a tenant.
type Tenant struct {
	Name       string `json:"name"`
	Generation uint32 `json:"generation" doc:"Tells it from earlier tenants of its name."`
	Spec
	Version     uint64   `json:"version" doc:"Of its last change; the ETag."`
	Quarantined []string `json:"quarantined,omitempty" doc:"Parts of it that name what this router's configuration does not have; they are set aside."`
}

func (a *API) toTenant(t keybook.Tenant) Tenant {
	l := Limits{Floor: t.Floor, Weight: t.Weight, Burst: t.Burst, Most: t.Most, Open: t.Open, Bytes: t.Bytes, Conns: t.Conns}
	for _, c := range t.ByClass {
		l.Classes = append(l.Classes, ClassLimits{c.Class, c.Most, c.Open})
	}
	var quarantined []string
	for _, item := range a.opts.Names().Unknown(t.Name, &t.Terms) {
		quarantined = append(quarantined, item.Field+": "+item.Why)
	}
	return Tenant{t.Name, t.Generation, Spec{t.Suspended, t.Pools, l}, t.Version, quarantined}
}

type tenantAnswer struct {
	ETag string `header:"ETag"`
	Body Tenant
}

func (a *API) tenantResponse(t keybook.Tenant) *tenantAnswer {
	return &tenantAnswer{etag(t.Version), a.toTenant(t)}
}

func etag(version uint64) string { return `"` + strconv.FormatUint(version, 10) + `"` }

// Named is the input of a call for one tenant.
type Named struct {
	Name string `path:"name" maxLength:"32" doc:"The tenant."`
}

// Conditioned is the input of a change, with its precondition.
type Conditioned struct {
	Named
	IfMatch     string `header:"If-Match" doc:"The ETag that the change is made on."`
	IfNoneMatch string `header:"If-None-Match" doc:"* = the tenant must not be there."`
}

// expectedVersion returns the version that the change requires; 0 = the tenant must not exist.
func (c Conditioned) expectedVersion() (uint64, error) {
	switch {
	case c.IfMatch != "" && c.IfNoneMatch != "":
		return 0, huma.Error400BadRequest("If-Match and If-None-Match don't go together")
	case c.IfNoneMatch == "*":
		return 0, nil
	case c.IfMatch == "":
		return 0, huma.NewError(http.StatusPreconditionRequired, "say what the change is made on: If-Match with the ETag, or If-None-Match: * for a new tenant")
	}
	n, err := strconv.ParseUint(strings.Trim(c.IfMatch, `"`), 10, 64)
	if err != nil || n == 0 || c.IfMatch != etag(n) {
		return 0, huma.Error400BadRequest("If-Match is no ETag of a tenant", &huma.ErrorDetail{Location: "header.If-Match", Value: c.IfMatch, Message: `as "17" is right`})
	}
	return n, nil
}

type page struct {
	After string `query:"after" maxLength:"32" doc:"Tenants whose names come behind this one."`
	Limit int    `query:"limit" default:"100" minimum:"1" maximum:"1000"`
}

type pageAnswer struct {
	Body struct {
		Version uint64   `json:"version" doc:"Of the book that this page is of."`
		Tenants []Tenant `json:"tenants"`
		Next    string   `json:"next,omitempty" doc:"What after is for the next page; missing on the last one."`
	}
}

type deleted struct {
	Body struct {
		Version    uint64 `json:"version" doc:"Of the book in force."`
		Generation uint32 `json:"generation" doc:"Of the tenant that was deleted: what its ending is asked by."`
		InHand     int    `json:"in_hand" doc:"Its requests that were taken and are not answered yet, at this router. Nothing new is taken."`
	}
}

type ending struct {
	Body struct {
		InHand int `json:"in_hand" doc:"Requests that are taken and not answered yet, at this router."`
	}
}

type records struct {
	ContentType string `header:"Content-Type"`
	Body        []byte
}

// registerOperations registers the handlers.
func (a *API) registerOperations() {
	huma.Get(a.huma, "/v1/tenants", a.list)
	huma.Get(a.huma, "/v1/tenants/{name}", a.get)
	huma.Put(a.huma, "/v1/tenants/{name}", a.put)
	huma.Delete(a.huma, "/v1/tenants/{name}", a.remove)
	huma.Get(a.huma, "/v1/tenants/{name}/usage", a.usage)
	huma.Get(a.huma, "/v1/tenants/{name}/ending", a.ending)
	huma.Get(a.huma, "/v1/audit", a.audit)
	huma.Get(a.huma, "/v1/watch", a.watch)
}

func (a *API) list(_ context.Context, p *page) (*pageAnswer, error) {
	tenants, version, err := a.opts.Keeper.Tenants(p.After, min(p.Limit, maxPageSize)+1)
	if err != nil {
		return nil, toProblem(err)
	}
	out := &pageAnswer{}
	out.Body.Version, out.Body.Tenants = version, []Tenant{}
	for i, t := range tenants {
		if i == p.Limit {
			out.Body.Next = tenants[i-1].Name
			break
		}
		out.Body.Tenants = append(out.Body.Tenants, a.toTenant(t))
	}
	return out, nil
}

func (a *API) get(_ context.Context, in *Named) (*tenantAnswer, error) {
	t, err := a.opts.Keeper.Tenant(in.Name)
	if err == nil && t.Version == 0 {
		return nil, huma.Error404NotFound("there is no tenant of that name")
	}
	if err != nil {
		return nil, toProblem(err)
	}
	return a.tenantResponse(t), nil
}

func (a *API) put(ctx context.Context, in *struct {
	Conditioned
	Body Spec
}) (*tenantAnswer, error) {
	expected, err := in.expectedVersion()
	if err != nil {
		return nil, err
	}
	terms := in.Body.toTerms()
	if unknown := a.opts.Names().Unknown(in.Name, &terms); len(unknown) > 0 {
		return nil, toProblem(&keybook.NameError{Item: unknown[0]})
	}
	t, version, err := a.keeper(ctx).PutTenant(keybook.Tenant{Name: in.Name, Suspended: in.Body.Suspended, Terms: terms}, expected)
	if err != nil {
		return nil, toProblem(err)
	}
	if err := a.publish(ctx, version); err != nil {
		return nil, err
	}
	return a.tenantResponse(t), nil
}

func (a *API) remove(ctx context.Context, in *Conditioned) (*deleted, error) {
	expected, err := in.expectedVersion()
	if err == nil && expected == 0 {
		err = huma.Error400BadRequest("a tenant that is not there can't be deleted: say If-Match")
	}
	if err != nil {
		return nil, err
	}
	previous, err := a.opts.Keeper.Tenant(in.Name)
	if err != nil {
		return nil, toProblem(err)
	}
	version, err := a.keeper(ctx).RemoveTenant(in.Name, expected)
	if err != nil {
		return nil, toProblem(err)
	}
	if err := a.publish(ctx, version); err != nil {
		return nil, err
	}
	out := &deleted{}
	out.Body.Version, out.Body.Generation = version, previous.Generation // RemoveTenant succeeds only for the version read above
	out.Body.InHand = a.opts.InFlight(in.Name, previous.Generation)
	return out, nil
}

// drainPollInterval is the interval of checks for the end of a tenant's last request.
const drainPollInterval = 10 * time.Millisecond

// ending returns the number of requests in flight of one generation of a tenant and waits for it to reach
// zero.
func (a *API) ending(ctx context.Context, in *struct {
	Named
	Generation uint32 `query:"generation" required:"true" minimum:"1" doc:"Which of the tenants of that name."`
	Wait       int    `query:"wait_s" default:"0" minimum:"0" maximum:"30" doc:"For which the last one is waited for."`
}) (*ending, error) {
	ctx, stop := context.WithTimeout(ctx, time.Duration(min(in.Wait, maxWaitSeconds))*time.Second)
	defer stop()
	out := &ending{}
	t := time.NewTicker(drainPollInterval)
	defer t.Stop()
	for {
		if out.Body.InHand = a.opts.InFlight(in.Name, in.Generation); out.Body.InHand == 0 {
			return out, nil
		}
		select {
		case <-ctx.Done():
			return out, nil
		case <-t.C:
		}
	}
}

func (a *API) audit(_ context.Context, in *struct {
	Above uint64 `query:"above" doc:"Records above this version of the book."`
}) (*records, error) {
	var b strings.Builder
	if err := a.opts.Keeper.Audit(&b, in.Above); err != nil {
		return nil, toProblem(err)
	}
	return &records{"application/x-ndjson", []byte(b.String())}, nil
}

// Usage counts a tenant's requests at this router in one minute, by their state relative to its limits.
type Usage struct {
	Minute    time.Time `json:"minute"`
	Within    uint64    `json:"within"`
	Borrowed  uint64    `json:"borrowed"`
	Over      uint64    `json:"over"`
	Beyond    uint64    `json:"beyond"`
	Suspended uint64    `json:"suspended"`
}

type usageAnswer struct {
	Body struct {
		Minutes []Usage `json:"minutes" doc:"Those of the last hour with any request, oldest first."`
	}
}

func (a *API) usage(_ context.Context, in *Named) (*usageAnswer, error) {
	t, err := a.opts.Keeper.Tenant(in.Name)
	if err != nil {
		return nil, toProblem(err)
	}
	if t.Version == 0 {
		return nil, huma.Error404NotFound("there is no tenant of that name")
	}
	out := &usageAnswer{}
	out.Body.Minutes = []Usage{}
	for _, m := range a.opts.Usage(in.Name, t.Generation) {
		c := m.Counts
		out.Body.Minutes = append(out.Body.Minutes, Usage{time.Unix(60*m.At, 0).UTC(), c[tenant.Guaranteed], c[tenant.Leased], c[tenant.Exceeded], c[tenant.HardLimited], c[tenant.Suspended]})
	}
	return out, nil
}

// maxWaitSeconds limits how long a call waits, because intermediaries may close a waiting connection
// at any time.
const maxWaitSeconds = 30

// watch returns the audit records above a version of the credentials store and waits for one if there is
// none.
func (a *API) watch(ctx context.Context, in *struct {
	From uint64 `query:"from" doc:"The version of the book that is known already."`
	Wait int    `query:"wait_s" default:"20" minimum:"0" maximum:"30" doc:"For which a change is waited for."`
}) (*records, error) {
	if err := a.await(ctx, in.From, time.Now().Add(time.Duration(min(in.Wait, maxWaitSeconds))*time.Second)); err != nil {
		return nil, err
	}
	var b strings.Builder
	if err := a.opts.Keeper.Audit(&b, in.From); err != nil {
		return nil, toProblem(err)
	}
	return &records{"application/x-ndjson", []byte(b.String())}, nil
}

// tokenCheckInterval is the interval at which a waiting call checks whether its token was revoked.
const tokenCheckInterval = time.Second

// await waits until the store's version is above the given one, the time until is reached, ctx ends or the
// caller's token is revoked.
func (a *API) await(ctx context.Context, above uint64, until time.Time) error {
	tokenID, _ := ctx.Value(callerKey{}).(string)
	for {
		waitCtx, cancel := context.WithTimeout(ctx, min(time.Until(until), tokenCheckInterval))
		err := a.opts.Keeper.WaitForVersion(waitCtx, above)
		cancel()
		if err != nil && !errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, context.Canceled) {
			return toProblem(err)
		}
		switch exists, existsErr := a.opts.Tokens.exists(tokenID); {
		case existsErr != nil:
			return toProblem(existsErr)
		case !exists:
			return huma.Error401Unauthorized("the token was revoked")
		case err == nil || ctx.Err() != nil || !time.Now().Before(until):
			return nil
		}
	}
}

// publish puts a change in force. Its error tells the client that the change is stored but not in force yet.
func (a *API) publish(ctx context.Context, version uint64) error {
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), publishTimeout) // a disconnecting client does not cancel a stored change
	defer stop()
	if err := a.opts.Publish(ctx, version); err != nil {
		a.opts.Log.Warn("administration: a change is not in force yet", "version", version, "why", err)
		return huma.Error503ServiceUnavailable(fmt.Sprintf("the change is made, as version %d, and not in force yet: don't make it again", version))
	}
	return nil
}

// toProblem converts an error to a problem response (RFC 9457).
func toProblem(err error) error {
	var stale *keybook.StaleError
	var statusErr huma.StatusError
	switch {
	case errors.As(err, &statusErr):
		return err
	case errors.As(err, &stale):
		return huma.NewError(http.StatusPreconditionFailed, "another change came first: "+stale.Error(), &huma.ErrorDetail{Location: "header.If-Match", Message: "current ETag", Value: etag(stale.Current)})
	case errors.Is(err, store.ErrFull), errors.Is(err, store.ErrReadOnly), errors.Is(err, store.ErrClosed):
		return huma.NewError(http.StatusInsufficientStorage, "nothing was changed: "+err.Error())
	case errors.Is(err, keybook.ErrConflict), errors.Is(err, keybook.ErrTooManyTenants):
		return huma.Error409Conflict(err.Error())
	}
	if field, message, ok := strings.Cut(err.Error(), ": "); ok && !strings.Contains(field, " ") {
		prefix := "limits."
		if strings.HasPrefix(field, "pools") {
			prefix = ""
		}
		return huma.Error422UnprocessableEntity("a field is wrong", &huma.ErrorDetail{Location: "body." + prefix + field, Message: message})
	}
	return huma.Error500InternalServerError("the store could not do it", err)
}
