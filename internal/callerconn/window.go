package callerconn

import (
	"errors"
	"syscall"
)

const (
	// ReceiveWindow is the memory of the kernel for what a caller has sent and the process has not read, with what the kernel
	// needs to keep it. It counts as memory of the process. A fixed size keeps the kernel from raising it.
	ReceiveWindow = 2 * receiveBuffer
	// receiveBuffer is the size that is set; the kernel doubles it.
	receiveBuffer = 8 << 10
)

// ControlWindow is a function for net.ListenConfig.Control that limits what the kernel keeps of unread bytes of each
// connection, also of those that are not accepted yet.
func ControlWindow(_, _ string, raw syscall.RawConn) error {
	var result error
	err := raw.Control(func(fd uintptr) {
		result = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
	})
	return errors.Join(err, result)
}
