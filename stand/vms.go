package stand

import (
	"net/http"
	"sync"
	"time"

	"snipehub.example/ledger"
)

// maxLists bounds the lists that are kept while the list lags.
const maxLists = 1000

// vmList is the platform's list of VMs, as it was a settable lag ago.
type vmList struct {
	mu    sync.Mutex
	lists []datedList
}

type datedList struct {
	at  time.Time
	vms []ledger.VM
}

// put makes the list the newest one.
func (v *vmList) put(now time.Time, vms []ledger.VM) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lists = append(v.lists, datedList{now, vms})
	if len(v.lists) > maxLists {
		v.lists = v.lists[len(v.lists)-maxLists:]
	}
}

// seen returns the newest list that is at least lag old. Older ones are kept,
// because the lag can grow again.
func (v *vmList) seen(now time.Time, lag time.Duration) []ledger.VM {
	v.mu.Lock()
	defer v.mu.Unlock()
	for i := len(v.lists) - 1; i >= 0; i-- {
		if now.Sub(v.lists[i].at) >= lag {
			return v.lists[i].vms
		}
	}
	return nil
}

func (l *Log) getVMs(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	lag := time.Duration(l.faults.VMsLagMS) * time.Millisecond
	l.mu.Unlock()
	reply(w, struct {
		VMs []ledger.VM `json:"vms"`
	}{l.vms.seen(time.Now(), lag)})
}

func (l *Log) putVMs(w http.ResponseWriter, r *http.Request) {
	var in struct {
		VMs []ledger.VM `json:"vms"`
	}
	if decode(w, r, &in) {
		l.vms.put(time.Now(), in.VMs)
	}
}
