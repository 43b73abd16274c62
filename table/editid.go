package table

import "github.com/google/uuid"

// NewEditID returns a unique edit id.
func NewEditID() string { return uuid.NewString() }
