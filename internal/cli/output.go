package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	adminv1 "github.com/cuminwing/cuminwing/proto/admin/v1"
)

// Output formats.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// table prints rows in aligned columns.
type table struct{ w *tabwriter.Writer }

const columnGap = 2

func newTable(out io.Writer, header ...string) *table {
	t := &table{tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)}
	t.row(header...)
	return t
}

func (t *table) row(cells ...string) {
	fmt.Fprintln(t.w, strings.Join(cells, "\t"))
}

func (t *table) flush() { _ = t.w.Flush() }

// printMessage prints a message as JSON with the field names of its protobuf
// definition.
func printMessage(out io.Writer, m proto.Message) error {
	data, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(m)
	if err != nil {
		return err
	}
	// protojson deliberately varies its white space. Reformatting makes the
	// output stable for scripts.
	return printJSON(out, json.RawMessage(data))
}

func printJSON(out io.Writer, v any) error {
	enc := json.NewEncoder(out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// printZones prints for each zone how many of its VMs have confirmed. The text
// confirmed describes the state of a zone where all have.
func printZones(out io.Writer, zones []*adminv1.ZoneReach, confirmed string) {
	t := newTable(out, "ZONE", "STATE", "VMS")
	for _, z := range zones {
		state := "not reached"
		switch {
		case z.GetComplete():
			state = confirmed
		case z.GetConfirmed() > 0:
			state = "partly " + confirmed
		}
		t.row(z.GetZone(), state, fmt.Sprintf("%d of %d", z.GetConfirmed(), z.GetKnown()))
	}
	t.flush()
}

func zonesExitCode(zones []*adminv1.ZoneReach) int {
	for _, z := range zones {
		if !z.GetComplete() {
			return ExitPartial
		}
	}
	return ExitOK
}
