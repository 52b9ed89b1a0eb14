// Package mesh connects the processes of a cell: each with each, by one
// connection that carries JSON-RPC notifications both ways.
//
// A connection is a session. While it lasts, what one side sends arrives once
// and in order; when it ends, both sides are told, and neither knows which of
// the last messages arrived. Whoever needs to know asks again in the next
// session. Heartbeats fill the silence, so that a frozen process, a machine
// without power and a connection that went dead without a reset are all seen
// after the same time: soon where one side watches the other, after seconds where
// nothing hangs on it.
//
// Limits: an idle session costs little, but each process has one with each other
// one, so this is for some hundreds of processes.
package mesh

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"net/netip"
	"strconv"
	"strings"

	"github.com/go-faster/errors"

	"snipehub.example/catalog"
)

// ID names one life of one process: its address in the mesh and a number that
// is new at each start.
type ID struct {
	Address netip.AddrPort
	Boot    uint64
}

// String writes the id as address/boot; nobody's is empty.
func (i ID) String() string {
	if i == (ID{}) {
		return ""
	}
	return fmt.Sprintf("%s/%x", i.Address, i.Boot)
}

// MarshalText writes the id for messages.
func (i ID) MarshalText() ([]byte, error) { return []byte(i.String()), nil }

// UnmarshalText reads what MarshalText wrote.
func (i *ID) UnmarshalText(b []byte) error {
	if len(b) == 0 {
		*i = ID{}
		return nil
	}
	address, boot, ok := strings.Cut(string(b), "/")
	if !ok {
		return errors.Errorf("mesh: id %q has no boot number", b)
	}
	var err error
	if i.Address, err = netip.ParseAddrPort(address); err != nil {
		return errors.Wrap(err, "mesh: id")
	}
	if i.Boot, err = strconv.ParseUint(boot, 16, 64); err != nil {
		return errors.Wrap(err, "mesh: id")
	}
	return nil
}

// MarshalBinary writes the id for messages between processes: the boot number, then the
// address; nobody's is empty.
func (i ID) MarshalBinary() ([]byte, error) {
	if i == (ID{}) {
		return nil, nil
	}
	return i.Address.AppendBinary(binary.BigEndian.AppendUint64(nil, i.Boot))
}

// UnmarshalBinary reads what MarshalBinary wrote.
func (i *ID) UnmarshalBinary(b []byte) error {
	*i = ID{}
	if len(b) == 0 {
		return nil
	}
	if len(b) < bootBytes {
		return errors.Errorf("mesh: id of %d bytes", len(b))
	}
	i.Boot = binary.BigEndian.Uint64(b)
	if err := i.Address.UnmarshalBinary(b[bootBytes:]); err != nil {
		return errors.Wrap(err, "mesh: id")
	}
	return nil
}

// bootBytes is the length of a boot number in messages.
const bootBytes = 8

// Compare orders ids by address and boot number.
func (i ID) Compare(o ID) int {
	return cmp.Or(i.Address.Compare(o.Address), cmp.Compare(i.Boot, o.Boot))
}

// Member is what a process says of itself.
type Member struct {
	ID         ID     `json:"id" cbor:"1,keyasint,omitzero"`
	VM         string `json:"vm" cbor:"2,keyasint,omitzero"`
	DataCenter string `json:"dc" cbor:"3,keyasint,omitzero"`
	// Share is the size of the VM, in cores.
	Share float64 `json:"share" cbor:"4,keyasint,omitzero"`
	// Number is unique among all lives of all processes and higher for those
	// that joined later; 0 until the store has given one.
	Number uint64 `json:"number" cbor:"5,keyasint,omitzero"`
	// Leaving tells that it takes no new duties and is about to end.
	Leaving bool `json:"leaving,omitempty" cbor:"6,keyasint,omitzero"`
	// Blind tells that it does not reach the platform's store.
	Blind bool `json:"blind,omitempty" cbor:"7,keyasint,omitzero"`
	// Plans counts how often it has begun to plan for the cell. It was told nothing
	// of what was sent to it before it last began.
	Plans uint64 `json:"plans,omitempty" cbor:"8,keyasint,omitzero"`
	// Catalog is the version of the routes and pools in force there.
	Catalog catalog.Version `json:"catalog" cbor:"9,keyasint,omitzero"`
}
