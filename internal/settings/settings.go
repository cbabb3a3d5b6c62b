// Package settings reads the static settings of one daemon: what a process must
// know before it can join the cluster. Everything that may change while the
// service handles traffic belongs to the service document in package config.
package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
)

// Settings are the static settings of one VM.
type Settings struct {
	// VM is the name of this VM, unique in the service.
	VM string `json:"vm"`
	// Zone is the availability zone of this VM.
	Zone string `json:"zone"`
	// Region is the region of the zone.
	Region string `json:"region"`
	// Slot is the number of this VM's slot in its zone, counted from 0. Two VMs
	// of a zone must not have the same slot, because the rate floors are
	// divided by slot.
	Slot int `json:"slot"`
	// CallerAddress is the IP:port on which callers connect.
	CallerAddress string `json:"caller_address"`
	// TargetAddress is the IP:port on which targets announce themselves.
	TargetAddress string `json:"target_address"`
	// PeerAddress is the IP:port on which other VMs connect by TCP.
	PeerAddress string `json:"peer_address"`
	// GossipAddress is the UDP IP:port for membership gossip.
	GossipAddress string `json:"gossip_address"`
	// AdminAddress is the IP:port on which operators' tools connect.
	AdminAddress string `json:"admin_address"`
	// Join lists the gossip addresses of VMs through which this VM joins the
	// cluster.
	Join []string `json:"join,omitempty"`
	// DataFolder is the directory for durable state; empty on a VM without a
	// disk.
	DataFolder string `json:"data_folder,omitempty"`
	// InitialVoters maps the names of the initial voters of the control log to
	// their peer addresses. It must be the same in the settings of every VM.
	InitialVoters map[string]string `json:"voters"`
	// ClusterSecretFile is the file with the shared secret that authenticates
	// gossip.
	ClusterSecretFile string `json:"cluster_secret_file,omitempty"`
	// DocumentFile is the file with the initial service document of a new
	// service. The document is proposed once, if the control log is empty.
	DocumentFile string `json:"document_file,omitempty"`
	// CallerTLS is the server certificate for callers. Without it, callers use
	// plain HTTP.
	CallerTLS *TLS `json:"caller_tls,omitempty"`
	// MemoryMB is the memory that the process may take, in MiB. Without it, the limit is that
	// of the environment variable GOMEMLIMIT, or else the memory of the machine.
	MemoryMB int `json:"memory_mb,omitempty"`
	// PeerTLS is the certificate for traffic between VMs. Without it, only
	// loopback addresses are allowed.
	PeerTLS *TLS `json:"peer_tls,omitempty"`
}

// TLS names the PEM files of a certificate.
type TLS struct {
	// CertFile is the file with the certificate chain.
	CertFile string `json:"cert_file"`
	// KeyFile is the file with the private key.
	KeyFile string `json:"key_file"`
	// CAFile is the file with the certificate authority of the peers.
	CAFile string `json:"ca_file,omitempty"`
}

// Problem is one validation error of the settings.
type Problem struct {
	// File is the name of the settings file.
	File string
	// Path is the JSON path of the invalid value.
	Path string
	// Reason says what is wrong with the value.
	Reason string
}

// Error returns the problem on one line.
func (p Problem) Error() string {
	return fmt.Sprintf("%s: %s: %s", p.File, p.Path, p.Reason)
}

// Load reads and validates the settings in file. The error joins every problem
// found.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	s, err := Parse(file, data)
	if err != nil {
		return Settings{}, err
	}
	s.resolvePaths(filepath.Dir(file))
	return s, nil
}

// Parse decodes and validates settings. name is the file name in the problems.
func Parse(name string, data []byte) (Settings, error) {
	var s Settings
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		return s, errors.Join(decodeProblems(name, data, err)...)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return s, Problem{name, "$", "has more than one JSON value"}
	}
	return s, errors.Join(s.check(name)...)
}

// IsInitialVoter reports whether this VM is one of the initial voters.
func (s *Settings) IsInitialVoter() bool {
	_, ok := s.InitialVoters[s.VM]
	return ok
}

func decodeProblems(name string, data []byte, err error) []error {
	problems := unknownFields(name, data)
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		reason := fmt.Sprintf("is a %s, want a %s", typeErr.Value, typeErr.Type)
		problems = append(problems, Problem{name, "$." + typeErr.Field, reason})
	}
	if len(problems) == 0 {
		problems = append(problems, Problem{name, "$", err.Error()})
	}
	return problems
}

// unknownFields reports every unknown top-level field; the JSON decoder stops
// at the first.
func unknownFields(name string, data []byte) []error {
	var fields map[string]json.RawMessage
	if json.Unmarshal(data, &fields) != nil {
		return nil
	}
	var problems []error
	for field, value := range fields {
		var probe Settings
		single, _ := json.Marshal(map[string]json.RawMessage{field: value})
		dec := json.NewDecoder(bytes.NewReader(single))
		dec.DisallowUnknownFields()
		err := dec.Decode(&probe)
		if err != nil && strings.Contains(err.Error(), "unknown field") {
			problems = append(problems, Problem{name, "$." + field, "contains an unknown field: " + err.Error()})
		}
	}
	return problems
}

func (s *Settings) check(file string) []error {
	c := &checker{file: file}
	c.requireNonEmpty("$.vm", s.VM)
	c.requireNonEmpty("$.zone", s.Zone)
	c.requireNonEmpty("$.region", s.Region)
	if s.Slot < 0 {
		c.addProblem("$.slot", "must not be negative")
	}
	if s.MemoryMB < 0 {
		c.addProblem("$.memory_mb", "must not be negative")
	}
	c.requireAddress("$.caller_address", s.CallerAddress)
	c.requireAddress("$.target_address", s.TargetAddress)
	c.requireAddress("$.peer_address", s.PeerAddress)
	c.requireAddress("$.gossip_address", s.GossipAddress)
	c.requireAddress("$.admin_address", s.AdminAddress)
	for i, a := range s.Join {
		c.requireAddress(fmt.Sprintf("$.join[%d]", i), a)
	}
	s.checkVoters(c)
	s.checkTLS(c)
	return c.problems
}

func (s *Settings) checkVoters(c *checker) {
	if n := len(s.InitialVoters); n != 1 && n != 3 && n != 5 && n != 7 {
		c.addProblem("$.voters", fmt.Sprintf("has %d VMs, want 1, 3, 5 or 7", n))
	}
	for vm, addr := range s.InitialVoters {
		c.requireAddress("$.voters."+vm, addr)
	}
	if s.IsInitialVoter() && s.DataFolder == "" {
		c.addProblem("$.data_folder", "is required because this VM is a voter")
	}
	if addr, ok := s.InitialVoters[s.VM]; ok && addr != s.PeerAddress {
		c.addProblem("$.voters."+s.VM, fmt.Sprintf("is %s but peer_address is %s", addr, s.PeerAddress))
	}
}

func (s *Settings) checkTLS(c *checker) {
	if s.CallerTLS != nil {
		c.requireNonEmpty("$.caller_tls.cert_file", s.CallerTLS.CertFile)
		c.requireNonEmpty("$.caller_tls.key_file", s.CallerTLS.KeyFile)
	}
	if s.PeerTLS == nil {
		if !isLoopback(s.PeerAddress) {
			c.addProblem("$.peer_tls", "is required because peer_address is not a loopback address")
		}
		if !isLoopback(s.GossipAddress) && s.ClusterSecretFile == "" {
			c.addProblem("$.cluster_secret_file", "is required because gossip_address is not a loopback address")
		}
		return
	}
	c.requireNonEmpty("$.peer_tls.cert_file", s.PeerTLS.CertFile)
	c.requireNonEmpty("$.peer_tls.key_file", s.PeerTLS.KeyFile)
	c.requireNonEmpty("$.peer_tls.ca_file", s.PeerTLS.CAFile)
	c.requireNonEmpty("$.cluster_secret_file", s.ClusterSecretFile)
}

// isLoopback reports whether an address is a loopback address. It returns true
// for a malformed address, which requireAddress reports.
func isLoopback(address string) bool {
	addr, err := netip.ParseAddrPort(address)
	return err != nil || addr.Addr().IsLoopback()
}

// resolvePaths resolves relative file names against the directory of the
// settings file.
func (s *Settings) resolvePaths(folder string) {
	paths := []*string{&s.DataFolder, &s.ClusterSecretFile, &s.DocumentFile}
	for _, t := range []*TLS{s.CallerTLS, s.PeerTLS} {
		if t != nil {
			paths = append(paths, &t.CertFile, &t.KeyFile, &t.CAFile)
		}
	}
	for _, p := range paths {
		if *p != "" && !filepath.IsAbs(*p) {
			*p = filepath.Join(folder, *p)
		}
	}
}

type checker struct {
	file     string
	problems []error
}

func (c *checker) addProblem(path, reason string) {
	c.problems = append(c.problems, Problem{c.file, path, reason})
}

func (c *checker) requireNonEmpty(path, value string) {
	if value == "" {
		c.addProblem(path, "is required")
	}
}

func (c *checker) requireAddress(path, value string) {
	if value == "" {
		c.addProblem(path, "is required")
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.addProblem(path, fmt.Sprintf("%q is not an IP address and port", value))
	}
}
