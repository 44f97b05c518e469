package exchange

// RelayFrom makes the exchange use relays in fleets of more than so many
// daemons. It must be called before Run.
func (e *Exchange) RelayFrom(directLimit int) { e.directLimit = directLimit }
