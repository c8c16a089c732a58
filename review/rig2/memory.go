package rig2

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
)

// Memory is what a process takes of the memory of its machine, in bytes, as the users' page on machines
// counts it.
type Memory struct {
	Resident int
	Unread   int // received on its callers' connections and not read yet
	Conns    int // these connections
}

// Total returns the sum that is limited.
func (m Memory) Total() int { return m.Resident + m.Unread }

// Memory returns what the node's process takes now. It is zero if the process has ended.
func (n *Node) Memory() Memory {
	m := Memory{Resident: resident(n.Pid())}
	if m.Resident == 0 {
		return m
	}
	m.Unread, m.Conns = unread(n.Callers())
	return m
}

func resident(pid int) int {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid)) // empty if the process has ended
	for line := range strings.Lines(string(data)) {
		if text, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(text)[0]) // the kernel writes a number
			return kb << 10
		}
	}
	return 0
}

// Columns of /proc/net/tcp, and the inode of a connection that no process has.
const (
	columnLocal  = 1
	columnState  = 3
	columnQueues = 4
	columnInode  = 9
	listening    = "0A"
	noInode      = "0"
)

// unread returns the bytes that wait to be read on the accepted connections of a listener.
func unread(address string) (bytes, conns int) {
	host, port, _ := net.SplitHostPort(address) // it is one of ours
	ip, n := net.ParseIP(host).To4(), 0
	n, _ = strconv.Atoi(port)
	local := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], n)
	data, _ := os.ReadFile("/proc/net/tcp") // always there on Linux
	for line := range strings.Lines(string(data)) {
		f := strings.Fields(line)
		if len(f) <= columnInode || f[columnLocal] != local || f[columnState] == listening || f[columnInode] == noInode {
			continue
		}
		_, queue, _ := strings.Cut(f[columnQueues], ":")
		v, _ := strconv.ParseInt(queue, 16, 64) // the kernel writes a number
		bytes += int(v)
		conns++
	}
	return bytes, conns
}
