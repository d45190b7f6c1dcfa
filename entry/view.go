package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"

	"github.com/valyala/fasthttp"

	"cactustide/config"
)

// member is the owner of an API key.
type member struct {
	partner string
	team    config.Team
}

// view is a document prepared for requests. It is replaced as a whole.
type view struct {
	document *config.Document
	classes  map[string]config.Class
	services map[string]config.Service
	keys     map[string]member
}

func newView(d *config.Document) *view {
	effective := d.Effective()
	v := &view{
		document: d,
		classes:  map[string]config.Class{},
		services: map[string]config.Service{},
		keys:     map[string]member{},
	}
	for _, c := range effective.Classes {
		v.classes[c.Name] = c
	}
	for _, s := range effective.Services {
		v.services[s.Name] = s
	}
	for _, p := range effective.Partners {
		for _, t := range p.Teams {
			for _, key := range t.Keys {
				v.keys[key] = member{partner: p.Name, team: t}
			}
		}
	}
	return v
}

// identify finds the owner of the request's API key.
func (v *view) identify(ctx *fasthttp.RequestCtx) (member, *APIError) {
	header := string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization))
	key, ok := strings.CutPrefix(header, "Bearer ")
	if !ok {
		return member{}, unauthorized("an API key is needed: Authorization: Bearer KEY")
	}
	sum := sha256.Sum256([]byte(key))
	m, ok := v.keys[hex.EncodeToString(sum[:])]
	if !ok {
		return member{}, unauthorized("the API key is not known")
	}
	return m, nil
}

func unauthorized(message string) *APIError {
	return &APIError{Status: fasthttp.StatusUnauthorized, Code: "unauthorized", Message: message, Param: "Authorization", Execution: ExecutionNone}
}

// classify picks the class that a request names, or its team's own.
func (v *view) classify(m member, param, name string) (config.Class, *APIError) {
	if name == "" || name == "auto" || name == "default" {
		name = m.team.Class
	}
	if name != m.team.Class && !slices.Contains(m.team.Classes, name) {
		allowed := append([]string{m.team.Class}, m.team.Classes...)
		return config.Class{}, invalid(param, "class "+name+" is not allowed for this team; one of "+strings.Join(allowed, ", "))
	}
	return v.classes[name], nil
}
