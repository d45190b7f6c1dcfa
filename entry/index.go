package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"cactustide/config"
)

// keyOwner is the owner of an API key.
type keyOwner struct {
	partner string
	team    config.Team
}

// configIndex is a configuration document indexed for requests. It is replaced as
// a whole, never changed.
type configIndex struct {
	document *config.Document
	classes  map[string]config.Class
	services map[string]config.Service
	keys     map[string]keyOwner
	// at is when the document came into force, source how it reached the entry.
	at     time.Time
	source source
}

func newConfigIndex(d *config.Document) *configIndex {
	effective := d.Effective()
	idx := &configIndex{
		document: d,
		classes:  map[string]config.Class{},
		services: map[string]config.Service{},
		keys:     map[string]keyOwner{},
	}
	for _, c := range effective.Classes {
		idx.classes[c.Name] = c
	}
	for _, s := range effective.Services {
		idx.services[s.Name] = s
	}
	for _, p := range effective.Partners {
		for _, t := range p.Teams {
			for _, key := range t.Keys {
				idx.keys[key] = keyOwner{partner: p.Name, team: t}
			}
		}
	}
	return idx
}

// identify finds the owner of the request's API key.
func (idx *configIndex) identify(ctx *fasthttp.RequestCtx) (keyOwner, *APIError) {
	header := string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization))
	key, ok := strings.CutPrefix(header, "Bearer ")
	if !ok {
		return keyOwner{}, unauthorized("an API key is needed: Authorization: Bearer KEY")
	}
	sum := sha256.Sum256([]byte(key))
	owner, ok := idx.keys[hex.EncodeToString(sum[:])]
	if !ok {
		return keyOwner{}, unauthorized("the API key is not known").asAbsent()
	}
	return owner, nil
}

func unauthorized(message string) *APIError {
	return &APIError{Status: fasthttp.StatusUnauthorized, Code: "unauthorized", Message: message, Param: "Authorization", Execution: ExecutionNone}
}

// classify returns the class that a request names, or its team's default class.
func (idx *configIndex) classify(owner keyOwner, param, name string) (config.Class, *APIError) {
	if name == "" || name == "auto" || name == "default" {
		name = owner.team.Class
	}
	if name != owner.team.Class && !slices.Contains(owner.team.Classes, name) {
		allowed := append([]string{owner.team.Class}, owner.team.Classes...)
		return config.Class{}, invalidRequest(param, "class "+name+" is not allowed for this team; one of "+strings.Join(allowed, ", ")).asAbsent()
	}
	return idx.classes[name], nil
}
