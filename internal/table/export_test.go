package table

import "context"

// ReadSectionOnce reads what a follower's plan wants, as its first read does.
func ReadSectionOnce(ctx context.Context, follower *Follower) []Row {
	made, err := follower.readSection(ctx)
	if err != nil {
		return nil
	}
	if follower.Part != nil {
		follower.setSection(made.held)
	}
	return made.rows
}
