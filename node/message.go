package node

import (
	"net/netip"

	"snipehub.example/admission"
	"snipehub.example/catalog"
	"snipehub.example/cell"
	"snipehub.example/entry"
	"snipehub.example/lease"
	"snipehub.example/mesh"
)

// Message is a message between processes. Exactly one field is set.
type Message struct {
	Request            *cell.Request        `cbor:"1,keyasint,omitzero"`
	Grant              *cell.Grant          `cbor:"2,keyasint,omitzero"`
	Refusal            *cell.Refusal        `cbor:"3,keyasint,omitzero"`
	Withdraw           *cell.Withdrawal     `cbor:"4,keyasint,omitzero"`
	Assignment         *cell.Assignment     `cbor:"5,keyasint,omitzero"`
	Release            *cell.Release        `cbor:"6,keyasint,omitzero"`
	Report             *cell.Report         `cbor:"7,keyasint,omitzero"`
	Drain              *cell.Drain          `cbor:"8,keyasint,omitzero"`
	WorkerList         *cell.WorkerList     `cbor:"9,keyasint,omitzero"`
	EvacuationsRequest *EvacuationsRequest  `cbor:"10,keyasint,omitzero"`
	Start              *entry.Start         `cbor:"12,keyasint,omitzero"`
	Stop               *entry.Stop          `cbor:"13,keyasint,omitzero"`
	Claim              *entry.Claim         `cbor:"14,keyasint,omitzero"`
	Ended              *entry.Ended         `cbor:"15,keyasint,omitzero"`
	Held               *entry.Held          `cbor:"16,keyasint,omitzero"`
	Unheld             *entry.Unheld        `cbor:"17,keyasint,omitzero"`
	ReadList           *ReadList            `cbor:"18,keyasint,omitzero"`
	Evacuations        *catalog.Evacuations `cbor:"19,keyasint,omitzero"`
	CatalogRequest     *CatalogRequest      `cbor:"20,keyasint,omitzero"`
	CatalogPart        *CatalogPart         `cbor:"21,keyasint,omitzero"`
	Levels             *admission.Levels    `cbor:"22,keyasint,omitzero"`
	// Addresses are those of the processes of the recipient's cell.
	Addresses []netip.AddrPort `cbor:"23,keyasint,omitzero"`
	JobQuery  *JobQuery        `cbor:"24,keyasint,omitzero"`
	JobReply  *JobReply        `cbor:"25,keyasint,omitzero"`
	// Description is for the holder of the worker.
	Description *cell.Description `cbor:"26,keyasint,omitzero"`
	Cancelled   *CancelledJobs    `cbor:"27,keyasint,omitzero"`
}

// Disconnect ends a session with a member.
type Disconnect struct {
	Member  mesh.ID
	Session uint64
}

// Output is an action that Core asks its driver to perform. Exactly one of the pointers
// or Addresses is set.
type Output struct {
	// To is the recipient of Message.
	To      mesh.ID
	Message *Message
	Answer  *entry.CallerAnswer
	// Located is the result of a lookup.
	Located *Located
	// Pack is a catalog to encode for members, Unpack one to decode. Both take too long on a
	// small VM for the goroutine that decides.
	Pack   *catalog.Catalog
	Unpack *catalog.Packed
	// Advertise is the new state that this process advertises to the members.
	Advertise *mesh.Member
	Watch     *Watch
	// Peers is which processes to keep sessions with, Addresses some that have become known.
	Peers      *Peers
	Addresses  []netip.AddrPort
	Disconnect *Disconnect
	// Worker is the target of Hold, Start or Stop.
	Worker lease.Worker
	Hold   *lease.HoldCall
	Start  *lease.StartCall
	Stop   *lease.StopCall
}
