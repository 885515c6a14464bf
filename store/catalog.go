package store

import (
	"fmt"

	"cedardoor/wire"
)

// catalogBytes is the size of a CatalogRecord without machine types in the JSON form.
const catalogBytes = 32

// CatalogRecord holds the machine types that the leader last read from the cloud. If they are too large for
// one value, the record has none but the number of records that hold them; a release that knows no such
// records then asks the cloud itself.
type CatalogRecord struct {
	MachineTypes []wire.MachineType `msgpack:"builds"`
	Parts        int                `msgpack:"n,omitempty"`
}

// CatalogPartKey returns the key of the n-th record that holds machine types of a divided catalog.
func CatalogPartKey(n int) string { return fmt.Sprintf("%s.%03d", KeyCatalog, n) }

// CatalogOperations returns the operations that record a catalog in values of at most maxBytes.
func CatalogOperations(catalog wire.Catalog, maxBytes int) []wire.Operation {
	if ValueSize(catalog) <= maxBytes {
		return []wire.Operation{{Set: KeyCatalog, Value: CatalogRecord{MachineTypes: catalog.MachineTypes}}}
	}
	var parts [][]wire.MachineType
	size := maxBytes
	for _, machineType := range catalog.MachineTypes {
		bytes := ValueSize(machineType) + separatorBytes
		if size+bytes > maxBytes-catalogBytes {
			parts = append(parts, nil)
			size = 0
		}
		last := len(parts) - 1
		parts[last] = append(parts[last], machineType)
		size += bytes
	}
	operations := []wire.Operation{{Set: KeyCatalog, Value: CatalogRecord{MachineTypes: []wire.MachineType{}, Parts: len(parts)}}}
	for n, part := range parts {
		operations = append(operations, wire.Operation{Set: CatalogPartKey(n), Value: CatalogRecord{MachineTypes: part}})
	}
	return operations
}

// ReadCatalog reads the recorded machine types with the given function, which reads one key. It returns
// revision zero if none are recorded, and an error that is not the function's if they can't be decoded.
func ReadCatalog(get func(key string) (row wire.Row, found bool, err error)) (catalog wire.Catalog, revision uint64, err error) {
	row, found, err := get(KeyCatalog)
	if err != nil || !found {
		return catalog, 0, err
	}
	var record CatalogRecord
	if err := wire.Unmarshal(row.Value, &record); err != nil {
		return catalog, 0, fmt.Errorf("%w: decode record %s: %w", ErrBadRecord, row.Key, err)
	}
	catalog.MachineTypes = record.MachineTypes
	for n := range record.Parts {
		partRow, found, err := get(CatalogPartKey(n))
		if err != nil {
			return wire.Catalog{}, 0, err
		}
		var part CatalogRecord
		if !found || partRow.ModRevision != row.ModRevision || wire.Unmarshal(partRow.Value, &part) != nil {
			return wire.Catalog{}, 0, fmt.Errorf("%w: record %s is missing, newer or invalid", ErrBadRecord, CatalogPartKey(n))
		}
		catalog.MachineTypes = append(catalog.MachineTypes, part.MachineTypes...)
	}
	return catalog, row.ModRevision, nil
}
