package workers

// Inventory holds all machines.
type Inventory struct {
	byName  map[string]*Machine
	all     []*Machine
	deleted map[string]bool // deleted ones; their late reports mean nothing
}

// NewInventory makes an empty yard.
func NewInventory() *Inventory {
	return &Inventory{byName: map[string]*Machine{}, deleted: map[string]bool{}}
}

// Find returns a machine by name.
func (y *Inventory) Find(name string) *Machine { return y.byName[name] }

// WasDeleted says whether a machine is known to be deleted.
func (y *Inventory) WasDeleted(name string) bool { return y.deleted[name] }

// Add enters a machine.
func (y *Inventory) Add(m *Machine) *Machine {
	m.Index = int32(len(y.all))
	m.Free, m.firstTokenOfTerm = m.Cap, m.Token
	m.Tasks = map[Ref]*Placement{}
	m.Grants = map[uint64]bool{}
	y.all = append(y.all, m)
	y.byName[m.Name] = m
	return m
}

// Remove takes a deleted machine out.
func (y *Inventory) Remove(name string) {
	y.deleted[name] = true
	if m := y.byName[name]; m != nil {
		delete(y.byName, name)
		last := y.all[len(y.all)-1]
		y.all[m.Index] = last
		last.Index = m.Index
		y.all = y.all[:len(y.all)-1]
	}
}

// All returns the machines.
func (y *Inventory) All() []*Machine { return y.all }
