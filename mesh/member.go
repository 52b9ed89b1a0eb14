// Package mesh connects a process with all others that become known, or with its peers, by one
// connection each that carries JSON-RPC notifications both ways.
//
// A connection is a session. While it lasts, messages arrive once and in order; when it
// ends, both sides get an event, and neither knows which of the last messages arrived. A
// process that needs to know asks again in the next session. Heartbeats are sent when
// there is nothing else to send, so that a suspended process, a machine without power and
// a connection that died without a reset are all detected after the same time: soon if
// one side watches the other, else after seconds.
//
// Limits: an idle session costs little, but without SetPeers each process has one with each
// other process, which is meant for up to a hundred processes. SetPeers restricts them.
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
	"snipehub.example/registry"
)

// ID identifies one incarnation of a process: its address in the mesh and a number that
// is new at each start.
type ID struct {
	Address netip.AddrPort
	Boot    uint64
}

// String formats the ID as address/boot; the zero ID is empty.
func (i ID) String() string {
	if i == (ID{}) {
		return ""
	}
	return fmt.Sprintf("%s/%x", i.Address, i.Boot)
}

// MarshalText implements encoding.TextMarshaler with the format of String.
func (i ID) MarshalText() ([]byte, error) { return []byte(i.String()), nil }

// UnmarshalText parses the format that MarshalText writes.
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

// MarshalBinary encodes the ID for messages between processes: the boot number, then the
// address. The zero ID is empty.
func (i ID) MarshalBinary() ([]byte, error) {
	if i == (ID{}) {
		return nil, nil
	}
	return i.Address.AppendBinary(binary.BigEndian.AppendUint64(nil, i.Boot))
}

// UnmarshalBinary parses the format that MarshalBinary writes.
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

// bootBytes is the length of the boot number in the binary format.
const bootBytes = 8

// Compare orders IDs by address and boot number.
func (i ID) Compare(o ID) int {
	return cmp.Or(i.Address.Compare(o.Address), cmp.Compare(i.Boot, o.Boot))
}

// Member is the state that a process advertises to the others.
type Member struct {
	ID         ID     `json:"id" cbor:"1,keyasint,omitzero"`
	VM         string `json:"vm" cbor:"2,keyasint,omitzero"`
	DataCenter string `json:"dc" cbor:"3,keyasint,omitzero"`
	// Cores is the size of the VM, in cores.
	Cores float64 `json:"share" cbor:"4,keyasint,omitzero"`
	// Number is unique among all incarnations of all processes and higher for those that
	// joined later; 0 until the store has assigned one.
	Number uint64 `json:"number" cbor:"5,keyasint,omitzero"`
	// Leaving is set if the process accepts no new assignments and is about to stop.
	Leaving bool `json:"leaving,omitempty" cbor:"6,keyasint,omitzero"`
	// StoreUnreachable is set if the process can't reach the platform's store.
	StoreUnreachable bool `json:"blind,omitempty" cbor:"7,keyasint,omitzero"`
	// PlannerTerms counts how often the process has become the planner of the cell. Each time it
	// starts with an empty state: it no longer has what was sent to it before.
	PlannerTerms uint64 `json:"plans,omitempty" cbor:"8,keyasint,omitzero"`
	// Catalog is the version of the routes and pools that are in force on the process.
	Catalog catalog.Version `json:"catalog" cbor:"9,keyasint,omitzero"`
	// Evacuations is the offset in the operator's topic up to which the process knows the
	// evacuations of data centres.
	Evacuations registry.Offset `json:"evacuations,omitempty" cbor:"10,keyasint,omitzero"`
	// Layout is how the process takes the deployment to be divided into cells: 0 if it is a
	// single cell.
	Layout uint8 `json:"layout,omitempty" cbor:"11,keyasint,omitzero"`
}
