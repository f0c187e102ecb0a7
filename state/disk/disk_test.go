package disk_test

import (
	"io"
	"math/rand"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/state/disk"
)

func TestDisk(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "disk")
}

func open(fs disk.FS, name string) disk.File {
	file, err := fs.Open(name)
	Expect(err).NotTo(HaveOccurred())
	return file
}

func write(file disk.File, data string) {
	_, err := file.Write([]byte(data))
	Expect(err).NotTo(HaveOccurred())
}

func content(fs disk.FS, name string) string {
	file := open(fs, name)
	size, err := file.Size()
	Expect(err).NotTo(HaveOccurred())
	data := make([]byte, size)
	_, err = io.ReadFull(io.NewSectionReader(file, 0, size), data)
	Expect(err).NotTo(HaveOccurred())
	return string(data)
}

var _ = Describe("both implementations", func() {
	// Guards against a fake whose behaviour without faults differs from real files.
	DescribeTable("append, truncate, rename, list and remove", func(create func() disk.FS) {
		fs := create()
		file := open(fs, "b")
		write(file, "hello ")
		write(file, "world")
		Expect(file.Sync()).To(Succeed())
		Expect(file.Truncate(5)).To(Succeed())
		write(file, "!")
		Expect(fs.Rename("b", "a")).To(Succeed())
		Expect(content(fs, "a")).To(Equal("hello!"))
		open(fs, "c")
		Expect(fs.SyncFolder()).To(Succeed())
		Expect(fs.List()).To(Equal([]string{"a", "c"}))
		Expect(fs.Remove("c")).To(Succeed())
		Expect(fs.Remove("c")).To(MatchError(disk.ErrNotFound))
		_, err := fs.Open("../a")
		Expect(err).To(MatchError(disk.ErrInvalidName))
	},
		Entry("real files", func() disk.FS {
			fs, err := disk.NewOS(GinkgoT().TempDir())
			Expect(err).NotTo(HaveOccurred())
			return fs
		}),
		Entry("fake", func() disk.FS { return disk.NewFake(rand.New(rand.NewSource(1))) }),
	)
})

var _ = Describe("Fake", func() {
	var fake *disk.Fake
	BeforeEach(func() { fake = disk.NewFake(rand.New(rand.NewSource(1))) })

	// Guards against a fake that keeps what a real disk may lose, which would hide faults in the code that uses it.
	It("loses unsynced writes, renames and creations on a crash", func() {
		file := open(fake, "a")
		write(file, "kept")
		Expect(file.Sync()).To(Succeed())
		Expect(fake.SyncFolder()).To(Succeed())
		write(file, "lost")
		Expect(fake.Rename("a", "b")).To(Succeed())
		Expect(open(fake, "c").Sync()).To(Succeed())
		fake.Crash()
		Expect(fake.List()).To(Equal([]string{"a"}))
		Expect(content(fake, "a")).To(Equal("kept"))
		_, err := file.Write([]byte("x"))
		Expect(err).To(MatchError(disk.ErrCrashed))
	})

	// Guards against a fake that never produces some of the states that a torn write can leave.
	It("keeps a prefix of an unsynced write, with a sector of zeros, or nothing", func() {
		seen := map[string]bool{}
		for range 300 {
			file := open(fake, "a")
			Expect(fake.SyncFolder()).To(Succeed())
			Expect(file.Truncate(0)).To(Succeed())
			Expect(file.Sync()).To(Succeed())
			write(file, string(make([]byte, 100)))
			written := make([]byte, 2000)
			for i := range written {
				written[i] = 'x'
			}
			write(file, string(written))
			fake.SetTornWrites(true)
			fake.Crash()
			after := content(fake, "a")
			seen["short"] = seen["short"] || len(after) > 100 && len(after) < 2100
			seen["zero sector"] = seen["zero sector"] || len(after) > 1100 && after[512] == 0 && after[1024] == 'x'
			seen["lost"] = seen["lost"] || len(after) == 0
		}
		Expect(seen).To(Equal(map[string]bool{"short": true, "zero sector": true, "lost": true}))
	})

	It("fails writes and syncs and flips bits as requested", func() {
		file := open(fake, "a")
		fake.FailSyncs(1)
		Expect(file.Sync()).To(MatchError(disk.ErrInjected))
		fake.FailWrites(1)
		_, err := file.Write([]byte("a"))
		Expect(err).To(MatchError(disk.ErrInjected))
		Expect(file.Truncate(0)).To(Succeed())
		write(file, "a")
		Expect(fake.FlipBit("a", 0, 1)).To(Succeed())
		Expect(content(fake, "a")).To(Equal("c"))
	})
})
