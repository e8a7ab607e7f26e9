package workers

// Inventory holds all machines that the leader knows.
type Inventory struct {
	byName  map[string]*Machine
	all     []*Machine
	deleted map[string]bool // names of deleted machines: their late reports are ignored
}

// NewInventory makes an empty inventory.
func NewInventory() *Inventory {
	return &Inventory{byName: map[string]*Machine{}, deleted: map[string]bool{}}
}

// Find returns a machine by name; nil if there is none.
func (inv *Inventory) Find(name string) *Machine { return inv.byName[name] }

// WasDeleted says whether a machine is known to be deleted.
func (inv *Inventory) WasDeleted(name string) bool { return inv.deleted[name] }

// Add enters a machine, with all its capacity free and its token as the first of the term.
func (inv *Inventory) Add(m *Machine) *Machine {
	m.Index = int32(len(inv.all))
	m.Free, m.firstTokenOfTerm = m.Capacity, m.Token
	m.Tasks = map[TaskRef]*Placement{}
	m.Grants = map[uint64]bool{}
	inv.all = append(inv.all, m)
	inv.byName[m.Name] = m
	return m
}

// Remove takes a deleted machine out. The last machine of All moves to its place.
func (inv *Inventory) Remove(name string) {
	inv.deleted[name] = true
	if m := inv.byName[name]; m != nil {
		delete(inv.byName, name)
		last := inv.all[len(inv.all)-1]
		inv.all[m.Index] = last
		last.Index = m.Index
		inv.all = inv.all[:len(inv.all)-1]
	}
}

// All returns the machines. The list is the inventory's own: it must not be changed.
func (inv *Inventory) All() []*Machine { return inv.all }
