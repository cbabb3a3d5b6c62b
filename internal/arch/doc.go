// Package arch holds the tests that check the structure of the module: which
// packages may import which, and how the programs are linked.
package arch
