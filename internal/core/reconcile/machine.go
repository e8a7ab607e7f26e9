package reconcile

// Machine is what the leader has of a machine, and what a report says of it.
type Machine struct {
	// The leader's term.
	Epoch uint64

	// What is stored.
	Deleted          bool   // it is deleted
	Known            bool   // it is entered
	TypeKnown        bool   // its type is known
	Deleting         bool   // its deletion is decided
	Session          uint64 // of the newest report that was applied
	Seq              uint64 // of that report within the session
	Token            uint64 // the machine's current fencing token
	HighestTokenSeen uint64 // highest token in a report that was applied
	SuspectBelow     uint64 // it is suspect until it reports a token above this one; 0: it is not

	// What is reported.
	ReportSession uint64
	ReportSeq     uint64
	ReportToken   uint64
	ReportEpoch   uint64 // epoch of that token
}

// Report names the difference between what is stored of a machine and its report.
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
