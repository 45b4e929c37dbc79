package extended

const (
	// maxSessionBytes limits the memory of the statements, portals and rows that one session keeps.
	maxSessionBytes = 1 << 20
	// maxObjectsPerKind limits the number of prepared statements of one session, and the number of its portals.
	maxObjectsPerKind = 1000
	// overheadBytes is the memory that is counted for each statement or portal in addition to its content.
	overheadBytes = 200
)

// reserve counts memory that the session is about to keep. It counts nothing and returns false when that would exceed the
// limit of the session or of the frontend.
func (s *session) reserve(bytes int) bool {
	if bytes <= 0 {
		return true
	}
	if s.reservedBytes+bytes > maxSessionBytes || s.frontend.reservedBytes+bytes > s.frontend.MaxReservedBytes {
		return false
	}
	s.reservedBytes += bytes
	s.frontend.reservedBytes += bytes
	return true
}

// release subtracts memory that was reserved and is no longer kept.
func (s *session) release(bytes int) {
	s.reservedBytes -= bytes
	s.frontend.reservedBytes -= bytes
}

// reserveQuery reserves memory for the text of a simple query until it is answered. It returns false if there is not enough.
func (s *session) reserveQuery(text string) bool {
	if !s.frontend.QueryMemory.Reserve(len(text)) {
		return false
	}
	s.queryBytes = len(text)
	return true
}

// releaseQuery releases the memory of the simple query in hand, if there is one.
func (s *session) releaseQuery() {
	s.frontend.QueryMemory.Release(s.queryBytes)
	s.queryBytes = 0
}
