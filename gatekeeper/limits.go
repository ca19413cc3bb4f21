package gatekeeper

import "time"

const (
	// connectionBytes is the memory that the process needs for a connection without a request: 8 KB were measured with 1,200 silent
	// connections (goroutine, buffer of the HTTP server, structures).
	connectionBytes = 8 << 10
	// receiveShare is the share of the instance's memory that the kernel's receive buffers of all connections may take. The memory
	// limit of the Go runtime is 0.6 of it, so that a tenth remains for the rest of the process.
	receiveShare = 0.3
	// kernelFactor is how much more memory the kernel uses for a receive buffer than its size says.
	kernelFactor = 2
	// smallestReceiveBuffer and largestReceiveBuffer bound a receive buffer. A body of 256 KiB took 0.48 ms on the loopback interface
	// with 8 KiB, 0.33 ms with 16 KiB and 0.29 ms with 32 KiB (0.26 ms with the kernel's default).
	smallestReceiveBuffer = 4 << 10
	largestReceiveBuffer  = 64 << 10
	// memoryShare is the share of the instance's memory that callers may use. Together with what an idle process needs, it stays
	// below the memory limit of the Go runtime, 0.6 of the instance's memory.
	memoryShare = 0.3
	// connectionMemoryShare is the share of the callers' memory that connections without a request may use.
	connectionMemoryShare = 0.5
	// platformDescriptors and platformDescriptorShare give the descriptors for the store, backend servers and other instances: an
	// owner has at least one connection to each of 350 backend servers, and up to three from each of 40 instances for each shard.
	platformDescriptors     = 500
	platformDescriptorShare = 0.25
	// minimumCallerShare is the share of the descriptors that callers may use even if that leaves fewer to others.
	minimumCallerShare = 0.25
	// headerBytesSlack is what is read beyond the header at most: one buffer of the HTTP server.
	headerBytesSlack = 4 << 10
	// headerCopies is the number of copies of the header in memory: the line that is read and the parsed fields.
	headerCopies = 2
	// headerLineBytes is the memory of a header field beside its text: an entry of the map and a slice of values.
	headerLineBytes = 128
	// bodyCopies is the number of copies of the body in memory while its buffer grows: the earlier and the next buffer, which may be
	// twice as large.
	bodyCopies = 3
	// overheadFactor and overheadSlack bound what is sent beside the data of a body. A chunk of one byte needs five more bytes.
	overheadFactor = 8
	overheadSlack  = 32 << 10
	// administrativeConnections and administrativeBytes bound the listeners for readiness and metrics, which have a few clients with
	// a header of a few hundred bytes.
	administrativeConnections = 64
	administrativeBytes       = 2 << 20
	administrativeHeaderBytes = 16 << 10
	administrativeBuffer      = 16 << 10

	// FileDescriptors is the part of the descriptors that the platform reserves for files.
	FileDescriptors = 200
	// DefaultHeaderTime is the time to send a header, above the 3 s of the platform's configurations.
	DefaultHeaderTime = 5 * time.Second
	// DefaultBodySilence and DefaultBodyTime bound the time between two pieces of a body and that for the whole body. Callers wait
	// for 3 s in all.
	DefaultBodySilence = 10 * time.Second
	DefaultBodyTime    = time.Minute
)

// Limits bound what callers can take from the process.
type Limits struct {
	// MemoryBytes bounds headers, bodies, decoded jobs and connections together; zero is no bound.
	MemoryBytes int64
	// Connections bounds the open connections; zero is no bound.
	Connections int
	// ReceiveBuffer is the size of the kernel's receive buffer of a connection; zero is the kernel's default.
	ReceiveBuffer int
	// HeaderBytes returns the largest header of a request; zero is no bound.
	HeaderBytes func() int64
	// BodySilence bounds the time between two pieces of a body, and BodyTime the time for the whole body.
	BodySilence time.Duration
	BodyTime    time.Duration
}

// MemoryFor returns the memory that callers may use on an instance with memory bytes; zero is unknown.
func MemoryFor(memory int64) int64 {
	return int64(memoryShare * float64(memory))
}

// ConnectionsFor returns the number of connections that callers may have in a process with a number of descriptors, if they may use
// callerMemory bytes. Zero is unknown.
func ConnectionsFor(descriptors int, callerMemory int64) int {
	byMemory := int(connectionMemoryShare * float64(callerMemory) / connectionBytes)
	if descriptors == 0 {
		return byMemory
	}
	others := FileDescriptors + max(platformDescriptors, int(platformDescriptorShare*float64(descriptors)))
	byDescriptors := max(descriptors-others, int(minimumCallerShare*float64(descriptors)))
	if byMemory == 0 {
		return byDescriptors
	}
	return min(byMemory, byDescriptors)
}

// ReceiveBufferFor returns the size of the kernel's receive buffer of each connection on an instance with memory bytes. Zero is
// unknown.
func ReceiveBufferFor(memory int64, connections int) int {
	if memory == 0 || connections == 0 {
		return 0
	}
	each := int(receiveShare*float64(memory)) / connections / kernelFactor
	return min(max(each, smallestReceiveBuffer), largestReceiveBuffer)
}

// AdministrativeLimits returns the limits for the listeners that only the platform and operators use.
func AdministrativeLimits() Limits {
	return Limits{
		MemoryBytes: administrativeBytes, Connections: administrativeConnections,
		HeaderBytes: func() int64 { return administrativeHeaderBytes }, ReceiveBuffer: administrativeBuffer,
		BodySilence: DefaultBodySilence, BodyTime: DefaultBodyTime,
	}
}
