package workers

// Yard holds all machines.
type Yard struct {
	byName map[string]*Machine
	all    []*Machine
	gone   map[string]bool // deleted ones; their late reports mean nothing
}

// NewYard makes an empty yard.
func NewYard() *Yard { return &Yard{byName: map[string]*Machine{}, gone: map[string]bool{}} }

// Find returns a machine by name.
func (y *Yard) Find(name string) *Machine { return y.byName[name] }

// Gone says whether a machine is known to be deleted.
func (y *Yard) Gone(name string) bool { return y.gone[name] }

// Add enters a machine.
func (y *Yard) Add(m *Machine) *Machine {
	m.Index = int32(len(y.all))
	m.Free, m.first = m.Cap, m.Token
	m.Tasks = map[Ref]*Placement{}
	m.Grants = map[uint64]bool{}
	y.all = append(y.all, m)
	y.byName[m.Name] = m
	return m
}

// Remove takes a deleted machine out.
func (y *Yard) Remove(name string) {
	y.gone[name] = true
	if m := y.byName[name]; m != nil {
		delete(y.byName, name)
		last := y.all[len(y.all)-1]
		y.all[m.Index] = last
		last.Index = m.Index
		y.all = y.all[:len(y.all)-1]
	}
}

// All returns the machines.
func (y *Yard) All() []*Machine { return y.all }
