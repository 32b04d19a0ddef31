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

// ownsConnection reports whether process pid has the socket of the connection
// from local to remote open, according to /proc.
func ownsConnection(pid int, local, remote net.Addr) bool {
	inode, ok := socketInode(local, remote)
	if !ok {
		return false
	}
	socketLink := "socket:[" + inode + "]"
	descriptors, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	if err != nil {
		return false
	}
	for _, d := range descriptors {
		if target, err := os.Readlink(d); err == nil && target == socketLink {
			return true
		}
	}
	return false
}

// closedInode is the inode in /proc/net/tcp of a connection that no process has open.
const closedInode = "0"

// socketInode returns the inode of the socket that connects local to remote. The
// local address alone is ambiguous: connections to several remote addresses may
// share it.
func socketInode(local, remote net.Addr) (string, bool) {
	localTCP, ok := local.(*net.TCPAddr)
	remoteTCP, remoteOK := remote.(*net.TCPAddr)
	if !ok || !remoteOK {
		return "", false
	}
	table, err := os.Open("/proc/net/tcp")
	if err != nil {
		return "", false
	}
	defer table.Close()
	localHex, remoteHex := kernelAddress(localTCP), kernelAddress(remoteTCP)
	scanner := bufio.NewScanner(table)
	for scanner.Scan() {
		fields := strings.Fields(scanner.Text())
		if len(fields) > 9 && fields[1] == localHex && fields[2] == remoteHex && fields[9] != closedInode {
			return fields[9], true
		}
	}
	return "", false
}

// kernelAddress formats an IPv4 address as in /proc/net/tcp: hexadecimal, with
// the bytes of the IP address reversed.
func kernelAddress(a *net.TCPAddr) string {
	var reversed [4]byte
	binary.LittleEndian.PutUint32(reversed[:], binary.BigEndian.Uint32(a.IP.To4()))
	return strings.ToUpper(hex.EncodeToString(reversed[:])) + fmt.Sprintf(":%04X", a.Port)
}
