package reconcile

// Machine holds the leader's record of a machine together with the header of one of its reports.
type Machine struct {
	// The leader's term.
	Epoch uint64

	// Stored state.
	Deleted          bool   // it was deleted
	Known            bool   // it is in the inventory
	TypeKnown        bool   // its type is known
	Deleting         bool   // its deletion is decided
	Session          uint64 // session of the newest report that was applied
	Seq              uint64 // number of that report within the session
	Token            uint64 // the machine's current fencing token
	HighestTokenSeen uint64 // highest token in any report that was applied
	SuspectBelow     uint64 // the machine is suspect until it reports a token above this one; 0: not suspect

	// Reported state.
	ReportSession uint64
	ReportSeq     uint64
	ReportToken   uint64
	ReportEpoch   uint64 // epoch of ReportToken
}

// Report returns the difference between the stored state of a machine and its report.
func Report(m Machine) Diff {
	outdated := m.ReportSession < m.Session || (m.ReportSession == m.Session && m.ReportSeq <= m.Seq)
	switch {
	case m.ReportEpoch > m.Epoch:
		return MachineNewerTerm
	case m.Deleted:
		return MachineDeleted
	case !m.Known && !m.TypeKnown:
		return MachineUnknownType
	case !m.Known:
		return MachineUnregistered
	case outdated && m.SuspectBelow > 0 && m.ReportToken > m.SuspectBelow:
		return MachineRestarted
	case outdated || m.ReportToken < m.HighestTokenSeen:
		return MachineOutdatedReport
	case m.Session != 0 && m.ReportSession > m.Session:
		return MachineNewSession
	case m.Deleting:
		return MachineDeleting
	case m.ReportToken != m.Token:
		return MachineStaleToken
	}
	return MachineAsStored
}
