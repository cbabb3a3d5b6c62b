// Package canary decides how a rollout of a software version proceeds: it
// compares the responses of the new version with those of the old version and
// chooses the share of the requests that the new version receives. It does no
// I/O; the caller passes the elapsed time, the counts of the fronts and what it
// knows of the fleet.
package canary
