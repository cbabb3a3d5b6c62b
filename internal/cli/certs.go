package cli

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/cuminwing/cuminwing/internal/adapter/peertls"
)

const (
	certFolderMode = 0o700
	certFileMode   = 0o600
)

func addCerts(r *registry) {
	c := r.app.Command("certs", "Makes certificates for traffic between VMs.")
	example(c, "Makes an authority and a certificate for each VM. The authority's key is not kept: to renew, make all certificates again.",
		"cuminwing certs --folder certs muc-a/vm-1 muc-a/vm-2 muc-b/vm-3")
	folder := c.Flag("folder", "Folder for the files; one folder per VM is made in it.").Required().String()
	days := c.Flag("days", "Validity in days.").Default("365").Int()
	vms := c.Arg("vm", "VMs as zone/vm.").Required().Strings()
	r.add(c, func(out, errOut io.Writer) int {
		if err := makeCerts(*folder, *vms, time.Now().AddDate(0, 0, *days), out); err != nil {
			fmt.Fprintln(errOut, "cuminwing:", err)
			return ExitFailed
		}
		return ExitOK
	})
}

func makeCerts(folder string, vms []string, end time.Time, out io.Writer) error {
	authority, err := peertls.NewAuthority(end)
	if err != nil {
		return err
	}
	for _, name := range vms {
		zone, vm, ok := strings.Cut(name, "/")
		if !ok || zone == "" || vm == "" || strings.ContainsAny(vm, `/\`) || vm == ".." || vm == "." {
			return fmt.Errorf("%q is not of the form zone/vm", name)
		}
		cert, key, err := authority.Issue(peertls.Identity{Zone: zone, VM: vm}, end)
		if err != nil {
			return err
		}
		if err := writeCerts(filepath.Join(folder, vm), cert, key, authority.CertPEM()); err != nil {
			return err
		}
		fmt.Fprintln(out, filepath.Join(folder, vm))
	}
	return nil
}

func writeCerts(folder string, cert, key, ca []byte) error {
	if err := os.MkdirAll(folder, certFolderMode); err != nil {
		return err
	}
	files := map[string][]byte{"cert.pem": cert, "key.pem": key, "ca.pem": ca}
	for name, data := range files {
		if err := os.WriteFile(filepath.Join(folder, name), data, certFileMode); err != nil {
			return err
		}
	}
	return nil
}
