// Package arch contains tests of the module's structure: the allowed imports,
// the place of platform-specific names and the linking of the programs.
package arch
