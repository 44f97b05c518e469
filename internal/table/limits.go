package table

// Limits of a store. A call that exceeds one returns ErrorInvalid.
const (
	// MaxRowBytes limits the value of a row. Its base64 form has 64 KiB.
	MaxRowBytes = 48 << 10
	// MaxKeyBytes limits the key of a row, and the name of a table or a partition.
	MaxKeyBytes = 200
	// MaxTransactionRows limits the conditions, writes and removals of a transaction
	// together.
	MaxTransactionRows = 100
	// MaxTransactionBytes limits the encoded form of a transaction.
	MaxTransactionBytes = 1_000_000
	// MaxObjectBytes limits the content of an object.
	MaxObjectBytes = 8 << 20
	// MaxObjectsBytes limits the content of all objects together.
	MaxObjectsBytes = 400_000_000
)
