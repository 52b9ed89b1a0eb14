package catalog

import (
	"slices"
	"strings"

	"snipehub.example/registry"
)

// Evacuation is the operator's request that no more tasks be started on the workers of a
// data centre. Those that run there finish.
type Evacuation struct {
	DataCenter string `json:"dc" cbor:"1,keyasint,omitzero"`
	// Offset is the offset of the request in the operator's topic.
	Offset registry.Offset `json:"offset" cbor:"2,keyasint,omitzero"`
}

// Evacuations is the set of evacuations as of a position in the operator's topic.
//
// A removed evacuation leaves no trace in it. That a data centre is missing means that its
// evacuation was removed, or was never requested, before End.
type Evacuations struct {
	// End is the offset after the last record that is taken into account; 0 means that
	// nothing is known.
	End registry.Offset `json:"end" cbor:"1,keyasint,omitzero"`
	// Requested is sorted by data centre.
	Requested []Evacuation `json:"requested,omitempty" cbor:"2,keyasint,omitzero"`
}

// EvacuationChange is a record of the operator's topic about one data centre.
type EvacuationChange struct {
	Evacuation
	// Removed is set if the evacuation was taken back at Offset.
	Removed bool
}

// NewEvacuations returns the evacuations that stand after all records before end, given
// the latest record of each data centre.
func NewEvacuations(latest []EvacuationChange, end registry.Offset) Evacuations {
	return Evacuations{}.Apply(latest, end)
}

// Known reports whether anything is known.
func (e Evacuations) Known() bool { return e.End != 0 }

// Includes reports whether a data centre is evacuated.
func (e Evacuations) Includes(dataCenter string) bool {
	_, ok := e.find(dataCenter)
	return ok
}

func (e Evacuations) find(dataCenter string) (Evacuation, bool) {
	for _, v := range e.Requested {
		if v.DataCenter == dataCenter {
			return v, true
		}
	}
	return Evacuation{}, false
}

// Since returns the evacuations that have begun, or were requested anew, since an earlier
// set, and those that have ended.
func (e Evacuations) Since(earlier Evacuations) (begun, ended []Evacuation) {
	for _, v := range e.Requested {
		if known, ok := earlier.find(v.DataCenter); !ok || known != v {
			begun = append(begun, v)
		}
	}
	for _, v := range earlier.Requested {
		if !e.Includes(v.DataCenter) {
			ended = append(ended, v)
		}
	}
	return begun, ended
}

// Apply returns the evacuations after further records, up to end. Records that are already
// taken into account change nothing.
func (e Evacuations) Apply(changes []EvacuationChange, end registry.Offset) Evacuations {
	out := Evacuations{End: max(e.End, end), Requested: slices.Clone(e.Requested)}
	for _, c := range changes {
		known, ok := out.find(c.DataCenter)
		if c.Offset < e.End || ok && c.Offset < known.Offset {
			continue
		}
		out.remove(c.DataCenter)
		if !c.Removed {
			out.Requested = append(out.Requested, c.Evacuation)
		}
	}
	out.sort()
	return out
}

// Merge returns what two sets say together. For each data centre the one that is known up
// to a later offset wins, so the order of the two does not matter.
func (e Evacuations) Merge(o Evacuations) Evacuations {
	out := Evacuations{End: max(e.End, o.End)}
	for _, v := range e.Requested {
		if other, ok := o.find(v.DataCenter); ok {
			out.Requested = append(out.Requested, Evacuation{v.DataCenter, max(v.Offset, other.Offset)})
		} else if v.Offset >= o.End {
			out.Requested = append(out.Requested, v)
		}
	}
	for _, v := range o.Requested {
		if !e.Includes(v.DataCenter) && v.Offset >= e.End {
			out.Requested = append(out.Requested, v)
		}
	}
	out.sort()
	return out
}

func (e *Evacuations) remove(dataCenter string) {
	e.Requested = slices.DeleteFunc(e.Requested, func(v Evacuation) bool { return v.DataCenter == dataCenter })
}

func (e *Evacuations) sort() {
	slices.SortFunc(e.Requested, func(x, y Evacuation) int { return strings.Compare(x.DataCenter, y.DataCenter) })
}
