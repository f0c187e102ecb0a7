package soak

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// socketInode returns the inode of the TCP socket with the given local and remote IPv4 address, from the kernel's table.
func socketInode(local, remote net.Addr) (uint64, bool) {
	table, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0, false
	}
	defer table.Close()
	pair := tableAddress(local) + " " + tableAddress(remote)
	for lines := bufio.NewScanner(table); lines.Scan(); {
		const inodeField = 9
		fields := strings.Fields(lines.Text())
		if len(fields) <= inodeField || fields[1]+" "+fields[2] != pair {
			continue
		}
		inode, err := strconv.ParseUint(fields[inodeField], 10, 64)
		return inode, err == nil
	}
	return 0, false
}

// tableAddress formats an address as the kernel's table does: the IP address as a number in the host's byte order.
func tableAddress(address net.Addr) string {
	tcp, ok := address.(*net.TCPAddr)
	if !ok || tcp.IP.To4() == nil {
		return ""
	}
	return fmt.Sprintf("%08X:%04X", binary.NativeEndian.Uint32(tcp.IP.To4()), tcp.Port)
}

// holdsSocket reports whether a process has a socket open.
func holdsSocket(pid int, inode uint64) bool {
	folder := fmt.Sprintf("/proc/%d/fd", pid)
	files, err := os.ReadDir(folder)
	if err != nil {
		return false
	}
	want := fmt.Sprintf("socket:[%d]", inode)
	for _, file := range files {
		if target, err := os.Readlink(filepath.Join(folder, file.Name())); err == nil && target == want {
			return true
		}
	}
	return false
}
