package gossip

import (
	"errors"
	"reflect"
	"testing"

	"github.com/cuminwing/cuminwing/internal/membership"
	"github.com/cuminwing/cuminwing/internal/target"
)

func sample() membership.Message {
	m := membership.Message{Kind: membership.KindGossip, From: "vm-1", Incarnation: 7, Zone: "muc-a"}
	m.Updates = []membership.Update{{Member: membership.Member{VM: "vm-2", Zone: "muc-b", Slot: 1, Incarnation: 9, Version: 3, Voter: true}}}
	a := target.Announcement{ID: "e", Incarnation: 5, Adapters: []string{"x"}, Loading: true, Capabilities: target.Capabilities{KV: true}}
	m.Targets = []membership.TargetUpdate{{Announcement: a}}
	return m
}

// Guards against a field that is lost between encoder and decoder.
func TestEncodedMessageComesBackTheSame(t *testing.T) {
	want := sample()
	packet, err := Encode([]byte("secret"), &want)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode([]byte("secret"), packet)
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Fatalf("got %+v, %v", got, err)
	}
}

// fill sets every field that has an encoding to a value of its own.
func fill(v reflect.Value, n *int) {
	*n++
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			fill(v.Field(i), n)
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
		fill(v.Index(0), n)
	}
}

// Guards against a field that is added to an announcement or a member and
// does not reach other VMs.
func TestEveryFieldIsCarried(t *testing.T) {
	var m membership.Message
	n := 0
	var announcement membership.TargetUpdate
	fill(reflect.ValueOf(&announcement.Announcement).Elem(), &n)
	m.Targets = []membership.TargetUpdate{announcement}
	var member membership.Update
	fill(reflect.ValueOf(&member.Member).Elem(), &n)
	m.Updates = []membership.Update{member}
	packet, err := Encode(nil, &m)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(nil, packet)
	if err != nil || !reflect.DeepEqual(got, m) {
		t.Fatalf("got  %+v\nwant %+v, %v", got, m, err)
	}
}

// Guards against packets from outside the service, or changed on the way,
// reaching the core.
func TestChangedPacketsAreRefused(t *testing.T) {
	m := sample()
	packet, err := Encode([]byte("secret"), &m)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Decode([]byte("other"), packet); !errors.Is(err, ErrUnauthentic) {
		t.Fatalf("other secret: %v", err)
	}
	for i := range packet {
		packet[i] ^= 1
		if _, err := Decode([]byte("secret"), packet); err == nil {
			t.Fatalf("packet with byte %d changed was accepted", i)
		}
		packet[i] ^= 1
	}
}
