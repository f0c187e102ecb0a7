package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"sapphiregate.example/sapphiregate/state/bundle"
	"sapphiregate.example/sapphiregate/state/registry"
)

// maxBuiltFileBytes limits what is read of a file that 'bundle build' wrote. The members accept no larger update.
const maxBuiltFileBytes = registry.MaxUpdateBytes

// builtBundle is a validated bundle with the update that contains all of its parts, decoded and encoded.
type builtBundle struct {
	bundle  *bundle.Bundle
	update  bundle.Update
	encoded []byte
}

// openBundle reads and validates a bundle from a folder of bundle files or from a file that 'bundle build' wrote.
func openBundle(path string) (builtBundle, error) {
	info, err := os.Stat(path)
	if err != nil {
		return builtBundle{}, errors.Wrap(err, "open bundle")
	}
	if info.IsDir() {
		return buildFromFolder(path)
	}
	return readBuiltFile(path)
}

func buildFromFolder(folder string) (builtBundle, error) {
	b, err := bundle.Load(folder)
	if err != nil {
		return builtBundle{}, err
	}
	update, err := bundle.FullUpdate(b)
	if err != nil {
		return builtBundle{}, err
	}
	encoded, err := registry.EncodeUpdate(update)
	return builtBundle{bundle: b, update: update, encoded: encoded}, err
}

func readBuiltFile(file string) (builtBundle, error) {
	f, err := os.Open(file)
	if err != nil {
		return builtBundle{}, errors.Wrap(err, "open bundle")
	}
	defer f.Close()
	encoded, err := io.ReadAll(io.LimitReader(f, maxBuiltFileBytes))
	if err != nil {
		return builtBundle{}, errors.Wrap(err, "read bundle")
	}
	update, err := registry.DecodeUpdate(encoded)
	if err != nil {
		return builtBundle{}, errors.Wrapf(err, "%s is neither a folder nor a built bundle", file)
	}
	store := bundle.NewStore()
	if err := store.Add(update); err != nil {
		return builtBundle{}, errors.Wrapf(err, "%s is damaged", file)
	}
	b, err := store.Bundle(update.Target)
	if err != nil {
		return builtBundle{}, errors.Wrapf(err, "%s is damaged", file)
	}
	return builtBundle{bundle: b, update: update, encoded: encoded}, bundle.Validate(b).Err()
}

// fileMode returns the permissions of a built file. Only its owner may read the keys of teams.
func (b builtBundle) fileMode() os.FileMode {
	if len(b.bundle.Teams) > 0 {
		return 0o600
	}
	return 0o644
}

// summary is the output of bundle validate and bundle build. File is the path of the written file.
type summary struct {
	Digest    bundle.Digest `json:"digest"`
	Services  int           `json:"services"`
	Routes    int           `json:"routes"`
	Resources int           `json:"resources"`
	Teams     int           `json:"teams"`
	Access    bundle.Access `json:"access"`
	File      string        `json:"file,omitempty"`
}

func (b builtBundle) summary(file string) summary {
	return summary{Digest: b.update.Target, Services: len(b.bundle.Services), Routes: len(b.bundle.Routes),
		Resources: len(b.bundle.Resources), Teams: len(b.bundle.Teams), Access: b.bundle.Access, File: file}
}

func (s summary) print(w io.Writer) {
	fmt.Fprintf(w, "digest\t%s\n", s.Digest)
	fmt.Fprintf(w, "content\t%d services, %d routes, %d resources, %d teams\n", s.Services, s.Routes, s.Resources, s.Teams)
	fmt.Fprintf(w, "access\t%s\n", s.Access.Describe())
	if s.File != "" {
		fmt.Fprintf(w, "file\t%s\n", s.File)
	}
}

func (a *app) bundleCommand() *cobra.Command {
	return commandGroup("bundle", "Work on bundle files; needs no control member",
		a.validateCommand(), a.buildCommand(), a.diffCommand(), a.signCommand())
}

func (a *app) validateCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "validate FOLDER|FILE",
		Short: "Check a bundle and list all of its errors",
		Args:  exactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			b, err := openBundle(args[0])
			if err != nil {
				return err
			}
			s := b.summary("")
			return a.print(c, s, s.print)
		},
	}
}

func (a *app) buildCommand() *cobra.Command {
	var file string
	command := &cobra.Command{
		Use:   "build FOLDER --file FILE",
		Short: "Write a bundle in canonical form into one file",
		Args:  exactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if file == "" {
				return usageError("--file is not set")
			}
			b, err := openBundle(args[0])
			if err != nil {
				return err
			}
			// The mode of a file that exists already is not changed by writing it.
			if err := os.Chmod(file, b.fileMode()); err != nil && !errors.Is(err, os.ErrNotExist) {
				return errors.Wrap(err, "write bundle")
			}
			if err := os.WriteFile(file, b.encoded, b.fileMode()); err != nil {
				return errors.Wrap(err, "write bundle")
			}
			s := b.summary(file)
			return a.print(c, s, s.print)
		},
	}
	command.Flags().StringVar(&file, "file", "", "file to write")
	return command
}

func (a *app) diffCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "diff OLD NEW",
		Short: "Show the differences between two bundles, each a folder or a built file",
		Args:  exactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			from, err := openBundle(args[0])
			if err != nil {
				return err
			}
			to, err := openBundle(args[1])
			if err != nil {
				return err
			}
			changes := append([]bundle.Change{}, bundle.Changes(from.bundle, to.bundle)...)
			return a.print(c, changes, func(w io.Writer) { printChanges(w, changes) })
		},
	}
}

func printChanges(w io.Writer, changes []bundle.Change) {
	if len(changes) == 0 {
		fmt.Fprintln(w, "no differences")
	}
	for _, change := range changes {
		fmt.Fprintln(w, change)
	}
}

func (a *app) signCommand() *cobra.Command {
	var version, replaces uint64
	var file string
	command := &cobra.Command{
		Use:   "sign FOLDER|FILE --version N",
		Short: "Write a signed approval, for 'approve --approval' on another instance",
		Args:  exactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			b, err := openBundle(args[0])
			if err != nil {
				return err
			}
			approval, err := a.sign(b.update.Target, version, replaces)
			if err != nil {
				return err
			}
			return a.writeApproval(c, approval, file)
		},
	}
	command.Flags().Uint64Var(&version, "version", 0, "version of the approval")
	command.Flags().Uint64Var(&replaces, "replaces", 0, "version that must still be the latest")
	command.Flags().StringVar(&file, "file", "", "file to write; default: standard output")
	return command
}

// sign returns an approval that is signed with the key of --key.
func (a *app) sign(digest bundle.Digest, version, replaces uint64) (bundle.Approval, error) {
	if version == 0 {
		return bundle.Approval{}, usageError("--version is not set")
	}
	key, err := a.loadKey()
	if err != nil {
		return bundle.Approval{}, err
	}
	return bundle.Sign(key.Key, bundle.Approval{
		Version: version, Digest: digest, Operator: key.Operator, Replaces: replaces,
	}), nil
}

func (a *app) writeApproval(c *cobra.Command, approval bundle.Approval, file string) error {
	data, err := json.MarshalIndent(approval, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode approval")
	}
	data = append(data, '\n')
	if file == "" {
		_, err = c.OutOrStdout().Write(data)
		return errors.Wrap(err, "write output")
	}
	if err := os.WriteFile(file, data, 0o644); err != nil {
		return errors.Wrap(err, "write approval")
	}
	return a.print(c, approval, func(w io.Writer) { fmt.Fprintf(w, "approval\t%s\n", file) })
}

// parseVersion parses the version that a command takes as an argument.
func parseVersion(text string) (uint64, error) {
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil || version == 0 {
		return 0, usageError("version %q: allowed: an integer of at least 1", text)
	}
	return version, nil
}
