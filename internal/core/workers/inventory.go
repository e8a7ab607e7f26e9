package workers

// Inventory holds all machines that are known to the leader.
type Inventory struct {
	byName  map[string]*Machine
	all     []*Machine
	deleted map[string]bool // names of deleted machines, whose late reports are ignored
}

// NewInventory returns an empty inventory.
func NewInventory() *Inventory {
	return &Inventory{byName: map[string]*Machine{}, deleted: map[string]bool{}}
}

// Find returns the machine with a name, or nil if there is none.
func (inv *Inventory) Find(name string) *Machine { return inv.byName[name] }

// WasDeleted reports whether a machine is known to be deleted.
func (inv *Inventory) WasDeleted(name string) bool { return inv.deleted[name] }

// Add adds a machine with all its capacity free, records its token as its lowest one of this term, and
// returns the machine.
func (inv *Inventory) Add(m *Machine) *Machine {
	m.Index = int32(len(inv.all))
	m.Free, m.firstTokenOfTerm = m.Capacity, m.Token
	m.Tasks = map[TaskRef]*Placement{}
	m.Grants = map[uint64]bool{}
	inv.all = append(inv.all, m)
	inv.byName[m.Name] = m
	return m
}

// Remove removes a deleted machine. The last machine of All takes its index.
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

// All returns the machines. The slice belongs to the inventory and must not be modified.
func (inv *Inventory) All() []*Machine { return inv.all }
