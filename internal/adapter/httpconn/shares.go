package httpconn

import (
	"math"
	"syscall"
)

// Shares of the memory and descriptors of a process. Besides its memory budget, a process
// needs memory for connections, and for what it holds without any client (some 20 MB).
const (
	// BudgetFraction is the fraction of the memory for heads and bodies together.
	BudgetFraction = 1.0 / 3
	// BodyMemoryFraction is the fraction of the memory that buffered bodies may take together.
	// It is below BudgetFraction, so that requests can be read while bodies take all of it.
	BodyMemoryFraction = 0.25
	// HeadMemoryFraction is the fraction of the memory that heads may take while they are
	// read. The rest of the budget is for admitted requests.
	HeadMemoryFraction = 1.0 / 6
	// ConnectionMemoryFraction is the fraction of the memory for the buffers and stacks of
	// connections, each of which takes ConnectionBytes.
	ConnectionMemoryFraction = 0.25
	ConnectionBytes          = 16 << 10
	// connectionDescriptorFraction is the fraction of the descriptors for connections of
	// clients. The rest is for connections to targets and other VMs, and for files.
	connectionDescriptorFraction = 0.75
	// socketDescriptorFraction is the fraction of the descriptors for the connections of
	// clients and those to targets together, of which otherDescriptors are subtracted: those of
	// listeners, files and connections to other VMs.
	socketDescriptorFraction = 0.875
	otherDescriptors         = 32
)

// Share returns a fraction of the memory of a process.
func Share(memory int64, fraction float64) int64 { return int64(fraction * float64(memory)) }

// DescriptorConnections returns the number of connections that the descriptors of the process
// allow; 0 if they are not limited.
func DescriptorConnections() int { return int(connectionDescriptorFraction * float64(descriptors())) }

// DescriptorSockets returns the number of connections of clients and to targets together that
// the descriptors of the process allow; 0 if they are not limited.
func DescriptorSockets() int {
	n := descriptors()
	if n == 0 {
		return 0
	}
	return max(1, int(socketDescriptorFraction*float64(n))-otherDescriptors)
}

// descriptors returns the limit on open descriptors of the process; 0 if there is none.
func descriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return 0
	}
	return int(limit.Cur)
}
