package gossip

import (
	"errors"
	"reflect"
	"testing"

	"github.com/cuminwing/cuminwing/internal/membership"
	"github.com/cuminwing/cuminwing/internal/target"
)

func sampleMessage() membership.Message {
	m := membership.Message{Kind: membership.KindGossip, From: "vm-1", Incarnation: 7, Zone: "muc-a"}
	m.Updates = []membership.Update{{Member: membership.Member{VM: "vm-2", Zone: "muc-b", Slot: 1, Incarnation: 9, Version: 3, Voter: true}}}
	a := target.Announcement{ID: "e", Incarnation: 5, Adapters: []string{"x"}, Loading: true, Capabilities: target.Capabilities{KV: true}}
	m.Targets = []membership.TargetUpdate{{Announcement: a}}
	return m
}

// Guards against fields that are lost when a message is encoded and decoded.
func TestEncodeDecodeRoundTrip(t *testing.T) {
	want := sampleMessage()
	packet, err := Encode([]byte("secret"), &want)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode([]byte("secret"), packet)
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Fatalf("decoded the wrong message %+v, error %v", got, err)
	}
}

// fillFields sets every field of a supported kind to a non-zero value. Numbers
// and strings get distinct values.
func fillFields(v reflect.Value, n *int) {
	*n++
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			fillFields(v.Field(i), n)
		}
	case reflect.String:
		v.SetString(string(rune('a' + *n)))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int64:
		v.SetInt(int64(*n))
	case reflect.Uint8, reflect.Uint64:
		v.SetUint(uint64(*n))
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fillFields(v.Index(0), n)
	}
}

// Guards against fields of an announcement or a member that are missing from the
// encoding and therefore do not reach other VMs.
func TestEveryFieldIsEncoded(t *testing.T) {
	var m membership.Message
	n := 0
	var announcement membership.TargetUpdate
	fillFields(reflect.ValueOf(&announcement.Announcement).Elem(), &n)
	m.Targets = []membership.TargetUpdate{announcement}
	var member membership.Update
	fillFields(reflect.ValueOf(&member.Member).Elem(), &n)
	m.Updates = []membership.Update{member}
	packet, err := Encode(nil, &m)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(nil, packet)
	if err != nil || !reflect.DeepEqual(got, m) {
		t.Fatalf("decoded %+v\nwant    %+v, error %v", got, m, err)
	}
}

// Guards against packets that were sent without the shared secret, or modified
// in transit, and still reach the membership core.
func TestModifiedPacketsAreRejected(t *testing.T) {
	m := sampleMessage()
	packet, err := Encode([]byte("secret"), &m)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Decode([]byte("other"), packet); !errors.Is(err, ErrAuthentication) {
		t.Fatalf("packet with another secret: got error %v, want ErrAuthentication", err)
	}
	for i := range packet {
		packet[i] ^= 1
		if _, err := Decode([]byte("secret"), packet); err == nil {
			t.Fatalf("packet with a flipped bit in byte %d was accepted", i)
		}
		packet[i] ^= 1
	}
}
