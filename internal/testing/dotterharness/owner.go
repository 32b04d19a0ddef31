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

// ownsConnection reports whether process pid holds the socket whose local
// address is remote, by the kernel's tables.
func ownsConnection(pid int, remote net.Addr) bool {
	inode, ok := socketInode(remote)
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

// socketInode returns the inode of the socket with the given local address.
func socketInode(local net.Addr) (string, bool) {
	address, ok := local.(*net.TCPAddr)
	if !ok {
		return "", false
	}
	table, err := os.Open("/proc/net/tcp")
	if err != nil {
		return "", false
	}
	defer table.Close()
	wanted := kernelAddress(address)
	lines := bufio.NewScanner(table)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) > 9 && fields[1] == wanted {
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
