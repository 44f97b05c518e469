package tabletest

import (
	"encoding/base64"

	"topazpulley/internal/table"
)

// entryOverhead is the size of the encoded form of a row, condition or removal beyond its
// texts and value.
const entryOverhead = 64

// exceedsLimits reports whether a transaction exceeds a limit of the store.
func exceedsLimits(transaction table.Transaction) bool {
	rows, size := 0, 0
	isKeyTooLong := len(transaction.Partition) > table.MaxKeyBytes
	isValueTooLong := false
	add := func(name, key string) {
		rows++
		size += entryOverhead + len(name) + len(transaction.Partition) + len(key)
		isKeyTooLong = isKeyTooLong || len(key) > table.MaxKeyBytes || len(name) > table.MaxKeyBytes
	}
	for _, condition := range transaction.Conditions {
		add(condition.Table, condition.Key)
	}
	for _, write := range transaction.Writes {
		add(write.Table, write.Key)
		size += base64.StdEncoding.EncodedLen(len(write.Value))
		isValueTooLong = isValueTooLong || len(write.Value) > table.MaxRowBytes
	}
	for _, removal := range transaction.Removals {
		add(removal.Table, removal.Key)
	}
	return isKeyTooLong || isValueTooLong || rows > table.MaxTransactionRows || size > table.MaxTransactionBytes
}

// Rejected returns how many commits exceeded a limit.
func (m *Memory) Rejected() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.rejected
}

// objectBytes returns the size of all objects. mutex must be held.
func (m *Memory) objectBytes() int {
	size := 0
	for _, content := range m.objects {
		size += len(content)
	}
	return size
}
