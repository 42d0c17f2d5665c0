package fleet

import (
	"fmt"
	"slices"
)

// ErrDomain reports that a failure domain can't be evacuated or restored.
type ErrDomain struct {
	Name, Expected string
}

// Error implements error.
func (e *ErrDomain) Error() string {
	return fmt.Sprintf("bad domain: name=%q expected=%q", e.Name, e.Expected)
}

// evacuated reports whether a failure domain is evacuated: its runners get no new work.
func (d *Document) evacuated(domain string) bool { return slices.Contains(d.Evacuated, domain) }

// editDomains applies the evacuations and restorations of a change to d in place;
// d must be a fresh clone.
func (d *Document) editDomains(c *Change) error {
	for _, name := range c.Restore {
		if !d.evacuated(name) {
			return &ErrDomain{Name: name, Expected: "a domain that is evacuated"}
		}
		d.Evacuated = slices.DeleteFunc(d.Evacuated, func(n string) bool { return n == name })
	}
	for _, name := range c.Evacuate {
		if !validName(name) {
			return &ErrDomain{Name: name, Expected: "letters, digits and -_./:"}
		}
		if !d.evacuated(name) {
			d.Evacuated = append(d.Evacuated, name)
		}
	}
	slices.Sort(d.Evacuated)
	return nil
}

// showDomain describes the state of a failure domain for ErrConflict.
func showDomain(evacuated bool) string {
	if evacuated {
		return "evacuated"
	}
	return "in use"
}
