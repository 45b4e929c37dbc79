package eventloop

import "golang.org/x/sys/unix"

// Instructions of a classic BPF program and their operands. The filter of a TCP socket gets each packet starting with its
// TCP header.
const (
	filterLoadByte     = unix.BPF_LD | unix.BPF_B | unix.BPF_ABS
	filterJumpIfSet    = unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K
	filterReturn       = unix.BPF_RET | unix.BPF_K
	tcpFlagsOffset     = 13
	tcpFlagSYN         = 0x02
	filterDropsPacket  = 0
	filterKeepsPacket  = 0xffffffff
	skipOneInstruction = 1
)

// attachSYNFilter makes the system drop the SYN packets that open connections to a listening socket. A client sends its SYN
// packet again after a second, and its connection is refused if the socket is closed by then. Handshakes that have begun
// are not affected. If the system doesn't allow the filter, no packets are dropped.
func attachSYNFilter(fd int) {
	program := []unix.SockFilter{
		{Code: filterLoadByte, K: tcpFlagsOffset},
		{Code: filterJumpIfSet, K: tcpFlagSYN, Jf: skipOneInstruction},
		{Code: filterReturn, K: filterDropsPacket},
		{Code: filterReturn, K: filterKeepsPacket},
	}
	filter := unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]}
	_ = unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &filter)
}
