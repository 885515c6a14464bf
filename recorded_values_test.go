package cedardoor

import (
	"fmt"
	"testing"

	"cedardoor/internal/standin"
	"cedardoor/store"
	"cedardoor/wire"

	"github.com/google/go-cmp/cmp"
)

// manyMachineTypes returns machine types that take more than 2 KiB.
func manyMachineTypes(count int) (types []wire.MachineType) {
	for k := range count {
		machineType := largeMachineType
		machineType.SKU = fmt.Sprintf("type-%03d", k)
		types = append(types, machineType)
	}
	return append(types, largeMachineType)
}

// Guards against machine types that controllers never learn of, since their record is too large after the
// state service lowered its limits, or since the one write after they changed failed (incident 0035).
func TestCatalogIsRecordedAfterLimitsFall(t *testing.T) {
	for _, refused := range []bool{false, true} {
		t.Run(fmt.Sprintf("every transaction refused at first %t", refused), func(t *testing.T) {
			cluster, nodeA, nodeB := clusterWithTwoNodes(t, nil)
			leader, stop := cluster.elect(nodeA)
			read := func() {
				if err := leader.readCatalog(t.Context()); err != nil {
					t.Fatal(err)
				}
			}
			read()
			cluster.state.SetLimits(standin.StateLimits{Operations: 8, ValueBytes: 2 << 10})
			cluster.cloud.MachineTypes = manyMachineTypes(30)
			if refused {
				cluster.state.RefuseTransactions(func(*wire.Txn) bool { return true })
				read()
				cluster.state.RefuseTransactions(nil)
			}
			for range 6 {
				read()
			}
			refusals := len(cluster.state.OversizedTransactions())
			read()
			if again := len(cluster.state.OversizedTransactions()); again != refusals {
				t.Error("the machine types are refused again and again")
			}
			recorded, found := nodeB.catalog.readRecorded(t.Context())
			if diff := cmp.Diff(cluster.cloud.MachineTypes, recorded.MachineTypes); diff != "" || !found {
				t.Errorf("recorded machine types, found %t: %s", found, diff)
			}
			stop()
			next, _ := cluster.elect(nodeB)
			if damaged := mustRecoveryReport(t, next).Damaged; len(damaged) > 0 {
				t.Errorf("the next leader finds damaged records: %+v", damaged)
			}
			var record wire.Catalog // as a release reads it that knows no divided catalog
			if !cluster.state.Value(store.KeyCatalog, &record) || len(record.MachineTypes) != 0 {
				t.Errorf("such a release would take %d machine types for all", len(record.MachineTypes))
			}
		})
	}
}
