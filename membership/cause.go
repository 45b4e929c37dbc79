package membership

// CauseNoAnswer is the prefix of the causes of state changes that follow from this member's own failed probes.
const CauseNoAnswer = "no answer here"

// Causes of changes of a member's state.
const (
	causeJoined        = "joined"
	causeRejoined      = "joined again"                   // a newer incarnation of the same process
	causeRestarted     = "restarted"                      // another process of the same name joined
	causeIntroduced    = "introduced itself"              // with a record in a SyncRequest
	causeReported      = "reported by others"             // a record of it as Alive from another member
	causeRefuted       = "refuted"                        // the member itself sent a newer incarnation
	causeRefutedReport = "refuted, as others report"      // others gossip a newer incarnation
	causeReaccused     = "accused in a newer incarnation" // an accusation of a newer incarnation than the known one
	causeAccused       = "accused by others"              // an accusation that is not refuted yet
	causeUnconfirmed   = CauseNoAnswer + ", and nobody has confirmed it"
	causeAnswered      = "answers again"
	causeAnsweredLate  = "answers again, late"
	causeDeclaredDead  = "declared dead by others"
	causeLeft          = "announced that it leaves"
	causeForgotten     = "forgotten" // its retention time after death or leave has passed
	causeQuorumFormat  = "no answer to %s observers"
)

// Causes of changes of this member's status.
const (
	causeIsSeed          = "is a seed"
	causeNotAccepted     = "no member has accepted it"
	causeNameTakenFormat = "another process under this name lives at %s"
	causeNoMessages      = "no messages arrive"
	causeDisputed        = "others declare it dead despite its refutations"
	causeSlow            = "answers or processor time come late"
	causeHealthy         = "answers come in time"
	causeLeaveRequested  = "leave requested"
)
