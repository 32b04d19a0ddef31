package dotterharness

import (
	"bufio"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
)

// ownsConnection reports whether process pid holds the socket of the connection
// from local to remote, by the kernel's tables.
func ownsConnection(pid int, local, remote net.Addr) bool {
	inode, ok := socketInode(local, remote)
	if !ok {
		return false
	}
	wanted := "socket:[" + inode + "]"
	descriptors, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	if err != nil {
		return false
	}
	for _, d := range descriptors {
		if target, err := os.Readlink(d); err == nil && target == wanted {
			return true
		}
	}
	return false
}

// closedInode stands in the kernel's table for a connection that no process holds any more.
const closedInode = "0"

// socketInode returns the inode of the socket that connects local to remote. The
// local address alone would not do: connections to several addresses may share it.
func socketInode(local, remote net.Addr) (string, bool) {
	near, ok := local.(*net.TCPAddr)
	far, alsoOK := remote.(*net.TCPAddr)
	if !ok || !alsoOK {
		return "", false
	}
	table, err := os.Open("/proc/net/tcp")
	if err != nil {
		return "", false
	}
	defer table.Close()
	from, to := kernelAddress(near), kernelAddress(far)
	lines := bufio.NewScanner(table)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) > 9 && fields[1] == from && fields[2] == to && fields[9] != closedInode {
			return fields[9], true
		}
	}
	return "", false
}

// kernelAddress returns an IPv4 address as /proc/net/tcp writes it.
func kernelAddress(a *net.TCPAddr) string {
	var swapped [4]byte
	binary.LittleEndian.PutUint32(swapped[:], binary.BigEndian.Uint32(a.IP.To4()))
	return strings.ToUpper(hex.EncodeToString(swapped[:])) + fmt.Sprintf(":%04X", a.Port)
}
