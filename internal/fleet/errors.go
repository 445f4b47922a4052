package fleet

import "fmt"

// NameTwiceError is a second living process under this one's name.
type NameTwiceError struct {
	Name  string
	Times int
}

func (e *NameTwiceError) Error() string {
	return fmt.Sprintf("fleet: another process goes by the name %s: it wrote over this one's entry %d times", e.Name, e.Times)
}

// Advice says what an operator can do.
func (e *NameTwiceError) Advice() string {
	return "Find the other process that was started with the same --member, and end one of the two; start it again under a name of its own."
}

// FullError is a process for which there is no room in the book.
type FullError struct{ Name string }

func (e *FullError) Error() string {
	return fmt.Sprintf("fleet: no room for %s beside %d processes", e.Name, MaxMembers)
}

// Advice says what an operator can do.
func (e *FullError) Advice() string {
	return "Look which names come and go: a fleet of over 4,000 processes is to be split into clusters of their own."
}
