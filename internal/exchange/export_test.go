package exchange

// SetDirectLimit sets the size of the largest fleet without relays. It must be called
// before Run.
func (e *Exchange) SetDirectLimit(directLimit int) { e.directLimit = directLimit }
