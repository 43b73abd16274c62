package table

import "github.com/google/uuid"

// NewEditID makes an id for an edit that no other edit has.
func NewEditID() string { return uuid.NewString() }
