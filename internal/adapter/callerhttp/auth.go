package callerhttp

import (
	"net/http"
	"slices"
	"strings"

	"github.com/cuminwing/cuminwing/internal/apikeys"
	"github.com/cuminwing/cuminwing/internal/config"
	"github.com/cuminwing/cuminwing/internal/serving"
)

// identity is an authenticated caller. On routes with open access, the
// workspace is empty.
type identity struct {
	workspace string
	keyHash   apikeys.Hash
}

func (s *Server) authenticate(r *http.Request, snap *config.Snapshot) (identity, *serving.Refusal) {
	key := bearerToken(r.Header)
	if key == "" {
		return identity{}, newRefusal(http.StatusUnauthorized, "missing_key", "an Authorization header with a bearer key is required")
	}
	hash := apikeys.HashKey(key)
	owner, ok := snap.Owner(hash)
	if !ok || !s.Keys.Usable(hash, snap.Document.Workspaces[owner.Workspace]) {
		return identity{}, newRefusal(http.StatusUnauthorized, "invalid_key", "the key is not valid")
	}
	return identity{workspace: owner.Workspace, keyHash: hash}, nil
}

func bearerToken(header http.Header) string {
	scheme, key, _ := strings.Cut(header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

func workspaceAllowed(route config.Route, workspace string) bool {
	return len(route.Workspaces) == 0 || slices.Contains(route.Workspaces, workspace)
}
