package stand

import (
	"net/http"
	"sync"
	"time"

	"snipehub.example/ledger"
)

// maxVersions bounds the versions of the list that are kept.
const maxVersions = 1000

// vmList is the platform's list of VMs. Readers see it as it was before a configurable
// lag.
type vmList struct {
	mu       sync.Mutex
	versions []vmVersion
}

type vmVersion struct {
	at  time.Time
	vms []ledger.VM
}

// put makes vms the newest version of the list.
func (v *vmList) put(now time.Time, vms []ledger.VM) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.versions = append(v.versions, vmVersion{now, vms})
	if len(v.versions) > maxVersions {
		v.versions = v.versions[len(v.versions)-maxVersions:]
	}
}

// laggedBy returns the newest version that is at least lag old. Older ones are kept,
// because the lag can grow again.
func (v *vmList) laggedBy(now time.Time, lag time.Duration) []ledger.VM {
	v.mu.Lock()
	defer v.mu.Unlock()
	for i := len(v.versions) - 1; i >= 0; i-- {
		if now.Sub(v.versions[i].at) >= lag {
			return v.versions[i].vms
		}
	}
	return nil
}

func (l *Log) getVMs(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	lag := time.Duration(l.faults.VMsLagMS) * time.Millisecond
	l.mu.Unlock()
	writeJSON(w, struct {
		VMs []ledger.VM `json:"vms"`
	}{l.vms.laggedBy(time.Now(), lag)})
}

func (l *Log) putVMs(w http.ResponseWriter, r *http.Request) {
	var in struct {
		VMs []ledger.VM `json:"vms"`
	}
	if decodeJSON(w, r, &in) {
		l.vms.put(time.Now(), in.VMs)
	}
}
