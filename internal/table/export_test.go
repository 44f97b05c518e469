package table

import "context"

// ReadSectionOnce reads the section that the follower's plan selects, as its first read does.
func ReadSectionOnce(ctx context.Context, follower *Follower) []Row {
	made, err := follower.readSection(ctx)
	if err != nil {
		return nil
	}
	if follower.Part != nil {
		follower.setSection(made.kept)
	}
	return made.rows
}
