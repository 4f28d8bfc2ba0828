package chuteoperator_test

import (
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutecatalog"
	"monsoonchute.example/monsoonchute/chuteoperator"
)

// memory returns how many bytes are in use, and how many have been allocated so far.
func memory() (inUse, allocated uint64) {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc, stats.TotalAlloc
}

// changed returns the state after a change of the operators' table.
func changed(s chuteoperator.State, version int, values ...chuteaction.RowValue) chuteoperator.State {
	event := chuteaction.TableChanged{Table: chuteaction.TableOperator}
	for _, value := range values {
		event.Rows = append(event.Rows, chuteaction.Row{Version: chuteaction.RowVersion(version), Value: value})
	}
	return s.HandleTableChanged(chuteaction.NewTransition(time.Unix(1_800_000_000, 0), 0), event)
}

// TestAWaveThatIsWrittenAgainTakesNoFurtherMemory guards against hosts that run out of memory by one row that changes each second.
func TestAWaveThatIsWrittenAgainTakesNoFurtherMemory(t *testing.T) {
	const versions, size = 2000, 1 << 16
	s := chuteoperator.New(0)
	before, _ := memory()
	for v := range versions {
		s = changed(s, v+1, chuteaction.WaveRow{Wave: 1, Machines: []string{strings.Repeat("m", size)}, MaxDown: 1})
	}
	after, _ := memory()
	if after > before+versions*size/10 {
		t.Errorf("%d bytes in use after %d versions of %d bytes", after-before, versions, size)
	}
	runtime.KeepAlive(s)
}

// TestManyZonesAreTakenOutAtOnce guards against a host that stands still for many rows at once.
func TestManyZonesAreTakenOutAtOnce(t *testing.T) {
	const zones, bytesPerZone = 5000, 2000
	s := chuteoperator.New(0)
	var out, back []chuteaction.RowValue
	for i := range zones {
		zone := "odd " + strconv.Itoa(i)
		out = append(out, chuteaction.EvacuationRow{Zone: zone})
		back = append(back, chuteaction.EvacuationRow{Zone: zone, Ended: true})
	}
	_, before := memory()
	s = changed(changed(s, 1, out...), 2, back...)
	_, after := memory()
	if after > before+2*zones*bytesPerZone {
		t.Errorf("%d bytes allocated for %d zones", after-before, zones)
	}
	runtime.KeepAlive(s)
}

// TestNothingStartsBeforeAConfigurationIsKnown guards against starts above a quota by a host that has read the operators' table while the
// row of the configuration could not be decoded.
func TestNothingStartsBeforeAConfigurationIsKnown(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	answer := chuteaction.TableChanged{Table: chuteaction.TableOperator, Complete: true, SentAt: now, Rows: []chuteaction.Row{{Version: 1}}}
	s := chuteoperator.New(0).HandleTableChanged(chuteaction.NewTransition(now, 0), answer)
	if !s.OperatorsOld(now) {
		t.Error("tasks may start without a configuration")
	}
	answer.Rows[0].Value = chuteaction.CatalogRow{Catalog: chutecatalog.Catalog{Version: 1}}
	if s = s.HandleTableChanged(chuteaction.NewTransition(now, 0), answer); s.OperatorsOld(now) {
		t.Error("tasks may not start under a configuration that has just been read")
	}
}
