package gatewayconfig

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"
)

// Parts of prompts that engines cache under one scope can be used by all requests with
// that scope. The caches outlive documents and VMs, so a scope must never have been
// used by a workspace that is isolated now.

const (
	sharedScopeName     = "shared"
	isolatedScopePrefix = "isolated-"
	// scopeHashBytes is the length of the hash that distinguishes sets of isolated
	// workspaces.
	scopeHashBytes = 16
)

// CacheScope returns the scope within which the cached parts of a workspace are shared.
// It is nil for a request without a workspace.
func (t *Table) CacheScope(w *Workspace) string {
	if w != nil && w.Isolated {
		return isolatedScopePrefix + w.Name
	}
	return t.sharedScope
}

// sharedScopeOf returns the scope of all workspaces that are not isolated. It depends
// only on the set of isolated workspaces: while a scope is in use, none of these uses it,
// whatever documents came before.
func sharedScopeOf(workspaces []Workspace) string {
	var isolated []string
	for i := range workspaces {
		if workspaces[i].Isolated {
			isolated = append(isolated, workspaces[i].Name)
		}
	}
	if len(isolated) == 0 {
		return sharedScopeName
	}
	slices.Sort(isolated)
	var names []byte
	for _, name := range slices.Compact(isolated) {
		names = binary.AppendUvarint(names, uint64(len(name)))
		names = append(names, name...)
	}
	hash := sha256.Sum256(names)
	return sharedScopeName + "-" + hex.EncodeToString(hash[:scopeHashBytes])
}
