package events

import "guavaspring.org/core/event"

// Events of writes, 1400 to 1499.
var (
	WriteTried    = event.New(1400, "write_tried", "An attempt of a write at a replica ended, or was prevented before it was sent; kind is its result.")
	WriteAnswered = event.New(1401, "write_answered", "A write was answered done, not_run or unknown; action says whether it ran now, had run before, or was settled by its ticket.")
)
