package claim_test

import (
	"runtime"
	"testing"
	"time"

	"snipehub.example/claim"
	"snipehub.example/ledger"
	"snipehub.example/ticket"
)

// BenchmarkApplyPage applies 100,000 claims in records of a full batch. "B/claim" is the
// memory that the table retains.
func BenchmarkApplyPage(b *testing.B) {
	const n = 100_000
	owner := ticket.Owner{DataCenter: "chicago", VM: "vm-0017", Process: "hub-3", Incarnation: 1796254983087159303}
	var records []ledger.Record
	for i := 0; i < n; i += claim.MaxBatch {
		var batch []claim.Claim
		for j := range claim.MaxBatch {
			k := key(start.Add(time.Duration(i+j)*time.Millisecond), byte(j))
			batch = append(batch, claim.Claim{CallerKey: claim.CallerKey{Caller: "lakeshore", Key: k}, ID: ticket.ID{Owner: owner, Number: 3}.Job(uint64(j))})
		}
		data, _ := claim.Encode(batch)
		records = append(records, ledger.Record{Offset: ledger.Offset(len(records)), At: start.Add(time.Duration(i) * time.Millisecond), Data: data})
	}
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		table := claim.NewTable(n, skew)
		table.ApplyPage(ledger.Page{Next: ledger.Offset(len(records)), Records: records})
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(table.Len()), "B/claim")
		runtime.KeepAlive(table)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/n, "ns/claim")
}
